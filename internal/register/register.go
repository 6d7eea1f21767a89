// Package register is the client of the register of switches, which also sends routing advice. The protocol is lines of
// JSON over TCP, described in docs/protocol.md. internal/membership decides whether a list is valid.
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

// Message is one message in either direction. Absent fields are left out.
type Message struct {
	Exchange    *int             `json:"exchange,omitempty"` // controller: its exchange
	RequestList bool             `json:"ask,omitempty"`      // controller: requests the full list
	AckVersion  uint64           `json:"ack,omitempty"`      // controller: the version that it has in force
	List        *membership.List `json:"list,omitempty"`     // register
	Advice      map[int]int      `json:"advice,omitempty"`   // register: a tandem for each destination
}

// MaxMessageLength is the maximum length of a message in octets, enough for a list of some thousand switches.
const MaxMessageLength = 1 << 20

// Handler receives what the register sends.
type Handler interface {
	HandleList(l membership.List)
	HandleAdvice(a map[int]int)
	RegisterLost(err error)
}

// Client maintains a connection to the register.
type Client struct {
	exchange int
	address  string
	dial     trunk.Dialer
	clock    trunk.Clock
	sink     Handler
	pace     *reconnect.Backoff
	words    chan Message
}

// NewClient creates a client for an exchange. Keep runs it.
func NewClient(exchange int, address string, seed uint64, links int, dial trunk.Dialer, clock trunk.Clock, sink Handler) *Client {
	return &Client{exchange: exchange, address: address, dial: dial, clock: clock, sink: sink,
		pace: reconnect.NewBackoff(seed, links), words: make(chan Message, 16)}
}

// RequestList requests the full list. The request is dropped if the register does not read; its next list makes up for it.
func (c *Client) RequestList() { c.say(Message{RequestList: true}) }

// Ack reports that a version is in force. Like a request, it may be dropped.
func (c *Client) Ack(version uint64) { c.say(Message{AckVersion: version}) }

// say queues a message without blocking.
func (c *Client) say(w Message) {
	select {
	case c.words <- w:
	default:
	}
}

// Run connects to the register, again and again, until the context ends.
func (c *Client) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(trunk.Duration(c.pace.NextDelay())):
		}
		err := c.once(ctx)
		c.pace.Down(c.clock.Now())
		if ctx.Err() == nil {
			c.sink.RegisterLost(err)
		}
	}
}

// once dials the register and serves one connection.
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
		for w := (Message{Exchange: &c.exchange}); ; {
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
	in.Buffer(make([]byte, 0, 1<<14), MaxMessageLength)
	for in.Scan() {
		var w Message
		if err := json.Unmarshal(in.Bytes(), &w); err != nil {
			return fmt.Errorf("decode message of register %s: %w", c.address, err)
		}
		if w.List != nil {
			c.sink.HandleList(*w.List)
		}
		if w.Advice != nil {
			c.sink.HandleAdvice(w.Advice)
		}
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("read from register %s: %w", c.address, err)
	}
	return errors.New("register closed the connection")
}
