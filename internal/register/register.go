// Package register speaks with the register of switches and the centre that advises: lines of JSON over TCP, as
// docs/protocol.md has them. It reads and writes; whether a list is to be trusted is internal/membership's.
package register

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"indigodrift/internal/membership"
	"indigodrift/internal/reconnect"
	"indigodrift/internal/trunk"
)

// Word is one line of either direction; what is not said is absent.
type Word struct {
	Exchange *int             `json:"exchange,omitempty"` // controller: who calls
	Ask      bool             `json:"ask,omitempty"`      // controller: the whole list, please
	Ack      uint64           `json:"ack,omitempty"`      // controller: this version is in force here
	List     *membership.List `json:"list,omitempty"`     // register
	Advice   map[int]int      `json:"advice,omitempty"`   // register: for each destination a tandem
}

// LineMost is the longest line taken, in octets: a list of some thousand switches.
const LineMost = 1 << 20

// Sink takes what the register says.
type Sink interface {
	List(l membership.List)
	Advice(a map[int]int)
	Lost(err error)
}

// Client keeps a connection to the register.
type Client struct {
	exchange int
	address  string
	dial     trunk.Dialer
	clock    trunk.Clock
	sink     Sink
	pace     *reconnect.Pace
	words    chan Word
}

// NewClient makes a client for an exchange; Keep runs it.
func NewClient(exchange int, address string, seed uint64, links int, dial trunk.Dialer, clock trunk.Clock, sink Sink) *Client {
	return &Client{exchange: exchange, address: address, dial: dial, clock: clock, sink: sink,
		pace: reconnect.NewPace(seed, links), words: make(chan Word, 16)}
}

// Ask wants the whole list anew; Ack says that a version is in force. A register that does not read loses such words:
// the next list makes up for them.
func (c *Client) Ask()               { c.say(Word{Ask: true}) }
func (c *Client) Ack(version uint64) { c.say(Word{Ack: version}) }

func (c *Client) say(w Word) {
	select {
	case c.words <- w:
	default:
	}
}

// Keep talks with the register until the context ends.
func (c *Client) Keep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(trunk.Span(c.pace.Wait())):
		}
		err := c.once(ctx)
		c.pace.Down(c.clock.Now())
		if ctx.Err() == nil {
			c.sink.Lost(err)
		}
	}
}

func (c *Client) once(ctx context.Context) error {
	conn, err := c.dial(ctx, c.address)
	if err != nil {
		return fmt.Errorf("dial register %s: %w", c.address, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer func() {
		cancel()
		conn.Close()
		all.Wait()
	}()
	c.pace.Up(c.clock.Now())
	all.Go(func() {
		<-ctx.Done()
		conn.Close()
	})
	all.Go(func() {
		defer cancel()
		out := json.NewEncoder(conn)
		for w := (Word{Exchange: &c.exchange}); ; {
			if err := out.Encode(w); err != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case w = <-c.words:
			}
		}
	})
	in := bufio.NewScanner(conn)
	in.Buffer(make([]byte, 0, 1<<14), LineMost)
	for in.Scan() {
		var w Word
		if err := json.Unmarshal(in.Bytes(), &w); err != nil {
			return fmt.Errorf("register %s: %w", c.address, err)
		}
		if w.List != nil {
			c.sink.List(*w.List)
		}
		if w.Advice != nil {
			c.sink.Advice(w.Advice)
		}
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("register %s: %w", c.address, err)
	}
	return errors.New("the register closed the connection")
}
