package platform

import (
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"indigodrift/internal/b2bua"
	"indigodrift/internal/sip"
	"indigodrift/internal/tcpstate"
)

const (
	writeTimeout        = 2 * time.Second
	closingWriteTimeout = 500 * time.Millisecond // of a connection that is being closed, whose slot others wait for

	// lingerTimeout is how long input is still read and discarded after the write side is closed: closing a socket with unread
	// input sends a reset, which destroys an answer that the peer has not read yet.
	lingerTimeout = 100 * time.Millisecond

	maxUnhandledCancels = 1024 // CANCELs read on one connection and not yet handled by the event loop
	maxCancelIDSize     = 16   // octets of a call's id
)

// connection is a connection to a caller or switch with its write queue. Queueing never blocks: a peer that reads too slowly
// loses its connection, after writeTimeout or when maxQueued octets wait.
type connection struct {
	id         b2bua.ConnID
	netConn    net.Conn
	socket     syscall.RawConn // of netConn, nil if it has none
	maxQueued  int
	budget     *writeBudget // of all connections, nil if there is none
	wake       chan struct{}
	inputEnded atomic.Bool // the peer has ended the stream, though octets that came before may be unread

	// unhandledMessages counts the messages that the reader has passed to the event loop, and that it has not handled.
	unhandledMessages atomic.Int32

	mu               sync.Mutex
	queue            []byte
	writing          int           // octets of the write in progress
	discarded        bool          // nothing is queued any more
	queuedSetUps     []queuedSetUp // positions of the set-ups in queue
	unhandledCancels map[string]struct{}
	closing          bool
	wrote            bool
	writeStartedAt   time.Time // when the write in progress started, zero if none is
}

// queuedSetUp is the position of a set-up in the queued octets.
type queuedSetUp struct {
	start, end int
	callID     string
	cseq       uint32
}

func newConnection(id b2bua.ConnID, netConn net.Conn, maxQueued int) *connection {
	return &connection{id: id, netConn: netConn, socket: tcpstate.Raw(netConn), maxQueued: maxQueued, wake: make(chan struct{}, 1)}
}

// enqueue queues a message. A CANCEL removes its set-up from the queue if that is not written yet: the try would begin long after
// its caller has abandoned the call. It returns false if the queue is full, and closes the connection.
func (c *connection) enqueue(m *sip.Message) bool {
	c.mu.Lock()
	start := len(c.queue)
	if !c.closing && !c.discarded && !(m.Method == sip.Cancel && c.removeSetUp(m)) {
		c.queue = sip.Append(c.queue, m)
		if m.Method == sip.Invite {
			c.queuedSetUps = append(c.queuedSetUps, queuedSetUp{start, len(c.queue), m.CallID, m.CSeq})
		}
	}
	c.budget.add(len(c.queue) - start)
	full := len(c.queue) > c.maxQueued
	c.mu.Unlock()
	if full {
		c.netConn.Close()
		return false
	}
	c.wakeWriter()
	return true
}

// discard drops what is queued. Nothing is queued any more.
func (c *connection) discard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.add(-len(c.queue))
	c.discarded, c.queue, c.queuedSetUps = true, nil, nil
}

// removeSetUp removes the set-up of a CANCEL from the queue. It returns false if the set-up is not in the queue.
func (c *connection) removeSetUp(m *sip.Message) bool {
	i := slices.IndexFunc(c.queuedSetUps, func(s queuedSetUp) bool { return s.callID == m.CallID && s.cseq == m.CSeq })
	if i < 0 {
		return false
	}
	removed := c.queuedSetUps[i]
	c.queue = slices.Delete(c.queue, removed.start, removed.end)
	c.queuedSetUps = slices.Delete(c.queuedSetUps, i, i+1)
	for j := i; j < len(c.queuedSetUps); j++ {
		c.queuedSetUps[j].start -= removed.end - removed.start
		c.queuedSetUps[j].end -= removed.end - removed.start
	}
	return true
}

// closeAfterWrite closes the connection after writing what is queued.
func (c *connection) closeAfterWrite() {
	c.mu.Lock()
	c.closing = true
	if c.writing > 0 {
		c.netConn.SetWriteDeadline(time.Now().Add(closingWriteTimeout)) //nolint:errcheck // the write in progress ends by its own timeout
	}
	c.mu.Unlock()
	c.wakeWriter()
}

func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// queuedOctets returns the octets that wait to be written.
func (c *connection) queuedOctets() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) + c.writing
}

// addCancel records a CANCEL as soon as it is read: it may wait in the inbox, and no try may begin in the meantime.
func (c *connection) addCancel(callID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(callID) > maxCancelIDSize { // no call has such an id
		return
	}
	if c.unhandledCancels == nil {
		c.unhandledCancels = map[string]struct{}{}
	}
	if len(c.unhandledCancels) < maxUnhandledCancels {
		c.unhandledCancels[strings.Clone(callID)] = struct{}{}
	}
}

// removeCancel removes the record of a CANCEL that the event loop has handled.
func (c *connection) removeCancel(callID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unhandledCancels, callID)
}

// abandoned reports whether the peer has closed the connection or cancelled a call, even if the event loop has not seen that,
// or the reader has not read so far.
func (c *connection) abandoned(callID string) bool {
	if c.inputEnded.Load() || c.cancelled(callID) {
		return true
	}
	if !tcpstate.Of(c.socket).EndedByPeer() {
		return false
	}
	c.inputEnded.Store(true)
	return true
}

// cancelled reports whether the peer has cancelled a call, even if the event loop has not seen that.
func (c *connection) cancelled(callID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.unhandledCancels[callID]
	return ok
}

func (c *connection) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes the queue until the connection fails or closeAfterWrite is called. It then closes the connection or, after a
// half-close, leaves that to the reader.
func (c *connection) writeLoop() {
	defer c.discard()
	var buf []byte
	for range c.wake {
		var closing bool
		buf, closing = c.takeQueue(buf[:0])
		if len(buf) > 0 {
			_, err := c.netConn.Write(buf)
			c.writeEnded()
			if err != nil {
				break
			}
		}
		if closing {
			if c.wrote && c.halfClose() {
				return
			}
			break
		}
		if cap(buf) > 4<<10 { // idle connections keep no large buffer
			buf = nil
		}
	}
	c.netConn.Close()
}

// takeQueue takes what is queued, to be written now, and leaves an empty buffer in its place. closing means that nothing follows.
func (c *connection) takeQueue(empty []byte) (queue []byte, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue, c.queue, c.queuedSetUps = c.queue, empty, c.queuedSetUps[:0]
	if c.writing = len(queue); c.writing == 0 {
		return queue, c.closing
	}
	c.wrote, c.writeStartedAt = true, time.Now()
	timeout := writeTimeout
	if c.closing {
		timeout = closingWriteTimeout
	}
	c.netConn.SetWriteDeadline(time.Now().Add(timeout)) //nolint:errcheck // the write reports that the connection is closed
	return queue, c.closing
}

// writeEnded records that the write in progress has ended.
func (c *connection) writeEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.add(-c.writing)
	c.writing, c.writeStartedAt = 0, time.Time{}
}

// unreadFor returns how long the peer has not taken the write in progress, 0 if none is.
func (c *connection) unreadFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeStartedAt.IsZero() {
		return 0
	}
	return time.Since(c.writeStartedAt)
}

// halfClose closes the write side of the connection and sets a deadline for its reader. It returns false if that fails.
func (c *connection) halfClose() bool {
	writer, ok := c.netConn.(interface{ CloseWrite() error })
	return ok && writer.CloseWrite() == nil && c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil
}
