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
	// silenceTimeout ends a connection without input. The board sends a keepalive frame each second. A controller counts as
	// knowing its events from 4 s after it fell silent, so a dead connection is closed at about half of that.
	silenceTimeout = 2200 * time.Millisecond

	dialTimeout = time.Second

	// initialRetryDelay makes the first retry come well before 2 s after a disconnect, from when on a controller counts as
	// knowing the events of the board.
	initialRetryDelay = 150 * time.Millisecond
	maxRetryDelay     = time.Second
)

// ErrGap reports a gap in the event numbers.
var ErrGap = errors.New("events are missing")

// Client receives events from a notice board and reconnects until its context ends.
type Client struct {
	Dial       func(ctx context.Context, address string) (net.Conn, error)
	OnEvent    func(Event)              // called for each event once, in order
	OnStatus   func(up bool, err error) // called when the connection is established or lost
	Addresses  <-chan string            // new addresses of the board
	Seed       uint64                   // of the random retry delays, which spread the clients of a failed board
	lastNumber uint64
}

// Run follows the board at an address, from the event after last, until ctx ends.
func (c *Client) Run(ctx context.Context, address string, last uint64) {
	c.lastNumber = last
	random := rand.New(rand.NewPCG(c.Seed, 0x12))
	jitter := func(span time.Duration) time.Duration { return span/2 + time.Duration(random.Int64N(int64(span/2))) }
	delay := initialRetryDelay
	for ctx.Err() == nil {
		start := time.Now()
		conn, next, err := c.connect(ctx, address)
		if conn != nil {
			c.OnStatus(true, nil)
			next, err = c.receive(ctx, conn, address)
		}
		if ctx.Err() != nil {
			return
		}
		if next != address {
			address, delay = next, initialRetryDelay
			continue
		}
		c.OnStatus(false, err)
		pause := jitter(delay)
		// After a longer connection the retry comes soon but at a random time, since all clients of the board may have lost it.
		if conn != nil && time.Since(start) > maxRetryDelay {
			delay, pause = initialRetryDelay, jitter(initialRetryDelay/2)
		} else {
			delay = min(2*delay, maxRetryDelay)
		}
		select {
		case <-ctx.Done():
		case address = <-c.Addresses:
			delay = initialRetryDelay
		case <-time.After(pause):
		}
	}
}

// connect dials the board and requests its events. A new address cancels the attempt: the old board may no longer accept
// connections, and the events of the new one must not wait for that.
func (c *Client) connect(ctx context.Context, address string) (conn net.Conn, next string, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	type dialResult struct {
		conn net.Conn
		err  error
	}
	results := make(chan dialResult, 1)
	go func() {
		conn, err := c.Dial(ctx, address)
		results <- dialResult{conn, err}
	}()
	for {
		select {
		case next := <-c.Addresses:
			if next == address {
				continue
			}
			go func() {
				if result := <-results; result.conn != nil {
					result.conn.Close()
				}
			}()
			return nil, next, nil
		case result := <-results:
			if result.err != nil {
				return nil, address, fmt.Errorf("dial %s: %w", address, result.err)
			}
			if _, err := result.conn.Write(AppendRequest(nil, c.lastNumber)); err != nil {
				result.conn.Close()
				return nil, address, fmt.Errorf("send request to %s: %w", address, err)
			}
			return result.conn, address, nil
		}
	}
}

// frameResult is the result of reading one frame.
type frameResult struct {
	event   Event
	isEvent bool
	err     error
}

// receive delivers the events of a connection until it fails or the address changes, and returns the address to connect to next.
// Events that the old board had yet to send come from the new one, which continues the numbering.
func (c *Client) receive(ctx context.Context, conn net.Conn, address string) (string, error) {
	stop := make(chan struct{})
	defer close(stop)
	defer conn.Close()
	frames := make(chan frameResult)
	go func() {
		r := bufio.NewReaderSize(conn, 4<<10)
		for {
			var result frameResult
			result.event, result.isEvent, result.err = ReadFrame(r)
			select {
			case frames <- result:
			case <-stop:
				return
			}
			if result.err != nil {
				return
			}
		}
	}()
	silence := time.NewTimer(silenceTimeout)
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			return address, nil
		case next := <-c.Addresses:
			if next != address {
				return next, nil
			}
		case <-silence.C:
			return address, fmt.Errorf("board %s: nothing received for %v", address, silenceTimeout)
		case result := <-frames:
			if result.err != nil {
				return address, fmt.Errorf("board %s: %w", address, result.err)
			}
			silence.Reset(silenceTimeout)
			if result.isEvent {
				if err := c.deliver(result.event); err != nil {
					return address, fmt.Errorf("board %s: %w", address, err)
				}
			}
		}
	}
}

// deliver passes on each event once and ignores repeated ones. Only an event with the complete list may skip numbers.
func (c *Client) deliver(e Event) error {
	switch {
	case e.Number <= c.lastNumber:
		return nil
	case e.Number != c.lastNumber+1 && !e.Complete:
		return fmt.Errorf("%w: received %d after %d", ErrGap, e.Number, c.lastNumber)
	}
	c.lastNumber = e.Number
	c.OnEvent(e)
	return nil
}
