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
	// silentMost is how long the board may say nothing: its empty frame comes each second. What it would have told counts
	// as told 4 s after it fell silent, so a dead connection is given up at about half of that.
	silentMost = 2200 * time.Millisecond

	dialMost   = time.Second
	retryAfter = 150 * time.Millisecond // between two dials: a board that broke off is asked again within its 2 s
	retryMost  = time.Second
)

// ErrMissing tells that events are missing between two that came.
var ErrMissing = errors.New("events are missing")

// Client asks a notice board for its events, again and again, until its context ends.
type Client struct {
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Took    func(Event)              // each event once, in order
	Change  func(up bool, why error) // the connection came up, or broke
	Address <-chan string            // the board's address, whenever it is told anew
	Seed    uint64                   // spreads the dials of many who lose the board at once
	last    uint64
}

// Keep follows the board at an address, from the event after last.
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
		if conn != nil && time.Since(began) > retryMost { // its news are overdue, but the board broke off for all who follow it
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

// open connects to the board and asks. An address told meanwhile ends the attempt: the old board may take no connection any more,
// and what the new one has to tell must not wait for that.
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
				return nil, address, fmt.Errorf("ask %s: %w", address, err)
			}
			return d.conn, address, nil
		}
	}
}

// arrival is what came of one read.
type arrival struct {
	e         Event
	something bool
	err       error
}

// follow takes events from a connection until it breaks or another address is told, and returns the address to ask next. What
// the old board may still tell then, the new one tells as well: the numbers go on.
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
			return address, fmt.Errorf("board %s: nothing for %v", address, silentMost)
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

// take passes an event on once. One that came before is passed over; a whole list may skip numbers.
func (c *Client) take(e Event) error {
	switch {
	case e.Number <= c.last:
		return nil
	case e.Number != c.last+1 && !e.Whole:
		return fmt.Errorf("%w: %d after %d", ErrMissing, e.Number, c.last)
	}
	c.last = e.Number
	c.Took(e)
	return nil
}
