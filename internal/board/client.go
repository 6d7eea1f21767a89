package board

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

const (
	// silentMost closes a connection on which nothing arrived for this long. The board sends a keepalive frame each second, and
	// controllers are expected to know its events 4 s after it fell silent, so a dead connection is closed at about half of that.
	silentMost = 2200 * time.Millisecond

	dialMost   = time.Second
	retryAfter = 150 * time.Millisecond // events count as known 2 s after a disconnect, so the first retry comes well before
	retryMost  = time.Second
)

// ErrMissing reports a gap in the event numbers.
var ErrMissing = errors.New("events are missing")

// Client receives events from a notice board and reconnects until its context ends.
type Client struct {
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Took    func(Event)              // called for each event once, in order
	Change  func(up bool, why error) // called when the connection is established or lost
	Address <-chan string            // new addresses of the board
	Seed    uint64                   // of the random retry delays, which spread the clients of a failed board
	last    uint64
}

// Keep follows the board at an address, from the event after last, until ctx ends.
func (c *Client) Keep(ctx context.Context, address string, last uint64) {
	c.last = last
	chance := rand.New(rand.NewPCG(c.Seed, 0x12))
	spread := func(span time.Duration) time.Duration { return span/2 + time.Duration(chance.Int64N(int64(span/2))) }
	wait := retryAfter
	for ctx.Err() == nil {
		began := time.Now()
		conn, moved, err := c.open(ctx, address)
		if conn != nil {
			c.Change(true, nil)
			moved, err = c.follow(ctx, conn, address)
		}
		if ctx.Err() != nil {
			return
		}
		if moved != address {
			address, wait = moved, retryAfter
			continue
		}
		c.Change(false, err)
		pause := spread(wait)
		if conn != nil && time.Since(began) > retryMost { // reconnect fast, but spread the load: all clients of the board may have lost it
			wait, pause = retryAfter, spread(retryAfter/2)
		} else {
			wait = min(2*wait, retryMost)
		}
		select {
		case <-ctx.Done():
		case address = <-c.Address:
			wait = retryAfter
		case <-time.After(pause):
		}
	}
}

// open connects to the board and requests its events. A new address cancels the attempt: the old board may no longer accept
// connections, and the events of the new one must not wait for that.
func (c *Client) open(ctx context.Context, address string) (conn net.Conn, next string, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialMost)
	defer cancel()
	type dialled struct {
		conn net.Conn
		err  error
	}
	up := make(chan dialled, 1)
	go func() {
		conn, err := c.Dial(ctx, address)
		up <- dialled{conn, err}
	}()
	for {
		select {
		case next := <-c.Address:
			if next == address {
				continue
			}
			go func() {
				if d := <-up; d.conn != nil {
					d.conn.Close()
				}
			}()
			return nil, next, nil
		case d := <-up:
			if d.err != nil {
				return nil, address, fmt.Errorf("dial %s: %w", address, d.err)
			}
			if _, err := d.conn.Write(AppendAsk(nil, c.last)); err != nil {
				d.conn.Close()
				return nil, address, fmt.Errorf("send request to %s: %w", address, err)
			}
			return d.conn, address, nil
		}
	}
}

// arrival is the result of reading one frame.
type arrival struct {
	e         Event
	something bool
	err       error
}

// follow receives events from a connection until it fails or the address changes, and returns the address to connect to next.
// Events that the old board had yet to send come from the new one: the numbering is continuous.
func (c *Client) follow(ctx context.Context, conn net.Conn, address string) (string, error) {
	stop := make(chan struct{})
	defer close(stop)
	defer conn.Close()
	in := make(chan arrival)
	go func() {
		r := bufio.NewReaderSize(conn, 4<<10)
		for {
			var a arrival
			a.e, a.something, a.err = ReadFrame(r)
			select {
			case in <- a:
			case <-stop:
				return
			}
			if a.err != nil {
				return
			}
		}
	}()
	silent := time.NewTimer(silentMost)
	defer silent.Stop()
	for {
		select {
		case <-ctx.Done():
			return address, nil
		case next := <-c.Address:
			if next != address {
				return next, nil
			}
		case <-silent.C:
			return address, fmt.Errorf("board %s: nothing received for %v", address, silentMost)
		case a := <-in:
			if a.err != nil {
				return address, fmt.Errorf("board %s: %w", address, a.err)
			}
			silent.Reset(silentMost)
			if a.something {
				if err := c.take(a.e); err != nil {
					return address, fmt.Errorf("board %s: %w", address, err)
				}
			}
		}
	}
}

// take passes on each event once. It ignores repeated events. Only an event with the complete list may skip numbers.
func (c *Client) take(e Event) error {
	switch {
	case e.Number <= c.last:
		return nil
	case e.Number != c.last+1 && !e.Whole:
		return fmt.Errorf("%w: received %d after %d", ErrMissing, e.Number, c.last)
	}
	c.last = e.Number
	c.Took(e)
	return nil
}
