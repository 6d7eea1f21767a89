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
	RegisterLost(err error) // the connection failed or could not be established
}

// Client maintains a connection to the register.
type Client struct {
	exchange int
	address  string
	dial     trunk.Dialer
	clock    trunk.Clock
	handler  Handler
	backoff  *reconnect.Backoff
	outgoing chan Message
}

// NewClient creates a client for an exchange. Run runs it.
func NewClient(exchange int, address string, seed uint64, links int, dial trunk.Dialer, clock trunk.Clock, handler Handler) *Client {
	return &Client{exchange: exchange, address: address, dial: dial, clock: clock, handler: handler,
		backoff: reconnect.NewBackoff(seed, links), outgoing: make(chan Message, 16)}
}

// RequestList requests the full list. The request is dropped if the register does not read; its next list makes up for it.
func (c *Client) RequestList() { c.enqueue(Message{RequestList: true}) }

// Ack reports that a version is in force. Like a request, it may be dropped.
func (c *Client) Ack(version uint64) { c.enqueue(Message{AckVersion: version}) }

// enqueue queues a message without blocking.
func (c *Client) enqueue(message Message) {
	select {
	case c.outgoing <- message:
	default:
	}
}

// Run connects to the register, and again after each failure, until the context ends.
func (c *Client) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(trunk.Duration(c.backoff.NextDelay())):
		}
		err := c.serveOnce(ctx)
		c.backoff.Down(c.clock.Now())
		if ctx.Err() == nil {
			c.handler.RegisterLost(err)
		}
	}
}

// serveOnce dials the register and serves one connection.
func (c *Client) serveOnce(ctx context.Context) error {
	conn, err := c.dial(ctx, c.address)
	if err != nil {
		return fmt.Errorf("dial register %s: %w", c.address, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer func() {
		cancel()
		conn.Close()
		wg.Wait()
	}()
	c.backoff.Up(c.clock.Now())
	wg.Go(func() {
		<-ctx.Done()
		conn.Close()
	})
	wg.Go(func() {
		defer cancel()
		encoder := json.NewEncoder(conn)
		for message := (Message{Exchange: &c.exchange}); ; {
			if err := encoder.Encode(message); err != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case message = <-c.outgoing:
			}
		}
	})
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(make([]byte, 0, 1<<14), MaxMessageLength)
	for scanner.Scan() {
		var message Message
		if err := json.Unmarshal(scanner.Bytes(), &message); err != nil {
			return fmt.Errorf("decode message of register %s: %w", c.address, err)
		}
		if message.List != nil {
			c.handler.HandleList(*message.List)
		}
		if message.Advice != nil {
			c.handler.HandleAdvice(message.Advice)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read from register %s: %w", c.address, err)
	}
	return errors.New("register closed the connection")
}
