package platform

import (
	"io"
	"syscall"
	"time"
)

// soonDelay is how long the octets behind a message may take. What a peer writes at once arrives in several segments, and
// their spacing on a network of one site is shorter.
const soonDelay = time.Millisecond

// readSoon reads what has arrived on the connection, or arrives within soonDelay. It returns 0 and no error if nothing did.
func (c *connection) readSoon(buf []byte) (int, error) {
	n, err := c.readArrived(buf)
	if n == 0 && err == nil {
		time.Sleep(soonDelay)
		n, err = c.readArrived(buf)
	}
	return n, err
}

// readArrived reads what has arrived on the connection. It returns 0 and no error if nothing has.
func (c *connection) readArrived(buf []byte) (int, error) {
	if c.socket == nil {
		return 0, nil
	}
	var n int
	var err error
	controlErr := c.socket.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), buf)
		return true
	})
	switch {
	case controlErr != nil:
		return 0, controlErr
	case err == syscall.EAGAIN, err == syscall.EINTR: //nolint:errorlint // errors of system calls are not wrapped
		return 0, nil
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
