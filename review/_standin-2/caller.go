package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"indigodrift/internal/sip"
)

// callerIdle is how long a caller keeps a connection with no call on it.
const callerIdle = 4 * time.Second

// caller makes calls over one connection at a time. It keeps its connection as long as a call is on it, closes it after 4 s with none,
// and opens another one when it has something to send and none is open.
type caller struct {
	run    *run
	name   string
	listen string
	mu     sync.Mutex
	conn   net.Conn
	calls  map[string]*call
	idle   *time.Timer
}

// call is what a caller knows of one of its calls.
type call struct {
	id         string
	sentAt     time.Duration
	answers    []string      // status lines of final answers
	body       string        // of the answer that the call stands
	answeredAt time.Duration // 0 if it does not stand
	releasedAt time.Duration // first release that came, 0 if none
	releases   int
	over       bool
}

func (r *run) newCaller(name string, c *controller) *caller {
	return &caller{run: r, name: name, listen: c.listen, calls: map[string]*call{}}
}

// connectLocked returns the open connection, a new one if there is none.
func (c *caller) connectLocked() (net.Conn, error) {
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := net.DialTimeout("tcp4", c.listen, time.Second)
	if err != nil {
		return nil, err
	}
	c.run.note("%s: a connection opens", c.name)
	c.conn = conn
	go c.read(conn)
	return conn, nil
}

func (c *caller) send(msg *sip.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sendLocked(msg)
}

func (c *caller) sendLocked(msg *sip.Message) error {
	conn, err := c.connectLocked()
	if err != nil {
		return err
	}
	_, err = conn.Write(sip.Append(nil, msg))
	return err
}

func (c *caller) setUp(id string, dest int, extra string) *call {
	msg := &sip.Message{Method: sip.Invite, URI: "sip:" + id + "@net", CallID: id, CSeq: 1, Body: []byte("offer of " + id + "\r\n"),
		Fields: []sip.Field{{Name: "Priority-Class", Value: className}, {Name: "Expires-Ms", Value: "3000"}, {Name: "P-Trunk-Info", Value: fmt.Sprintf("dest:%d;width:1;via:-1%s", dest, extra)}}}
	c.mu.Lock()
	defer c.mu.Unlock()
	made := c.calls[id]
	if made == nil {
		made = &call{id: id, sentAt: c.run.since()}
		c.calls[id] = made
	}
	c.run.note("%s: set-up %s to exchange %d%s", c.name, id, dest, extra)
	if err := c.sendLocked(msg); err != nil {
		c.run.note("%s: %v", c.name, err)
	}
	return made
}

// hangUp releases a call that stands.
func (c *caller) hangUp(made *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.run.note("%s: hangs up %s", c.name, made.id)
	made.over = true
	msg := &sip.Message{Method: sip.Bye, URI: "sip:" + made.id + "@net", CallID: made.id, CSeq: 2, Fields: []sip.Field{{Name: "Reason", Value: "Q.850;cause=16"}}}
	if err := c.sendLocked(msg); err != nil {
		c.run.note("%s: %v", c.name, err)
	}
	c.watchIdleLocked()
}

// watchIdleLocked closes the connection after 4 s with no call on it.
func (c *caller) watchIdleLocked() {
	if c.idle != nil {
		c.idle.Stop()
	}
	c.idle = time.AfterFunc(callerIdle, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, made := range c.calls {
			if !made.over {
				return
			}
		}
		if c.conn != nil {
			c.run.note("%s: closes its connection, no call is on it", c.name)
			c.conn.Close()
			c.conn = nil
		}
	})
}

func (c *caller) read(conn net.Conn) {
	reader := sip.NewReader(conn)
	for {
		msg, err := reader.Read()
		if err != nil {
			break
		}
		c.handle(conn, &msg)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.Close()
	if c.conn == conn {
		c.conn = nil
		c.run.note("%s: the call controller has ended the connection", c.name)
	}
}

func (c *caller) handle(conn net.Conn, msg *sip.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := c.calls[msg.CallID]
	write := func(out *sip.Message) { conn.Write(sip.Append(nil, out)) } //nolint:errcheck // the reader sees the end
	switch {
	case msg.Status >= sip.OK && msg.CSeqMethod == sip.Invite:
		c.run.note("%s: answer %d to %s", c.name, msg.Status, msg.CallID)
		write(&sip.Message{Method: sip.Ack, URI: "sip:" + msg.CallID + "@net", CallID: msg.CallID, CSeq: msg.CSeq})
		if made == nil {
			return
		}
		made.answers = append(made.answers, fmt.Sprint(msg.Status))
		if msg.Status == sip.OK {
			made.answeredAt, made.body = c.run.since(), string(msg.Body)
			return
		}
		made.over = true
		c.watchIdleLocked()
	case msg.Method == sip.Bye && made != nil:
		response := msg.Response(sip.OK)
		write(&response)
		made.releases++
		c.run.note("%s: release of %s arrives, %s", c.name, msg.CallID, msg.Get("Reason"))
		if made.releasedAt == 0 {
			made.releasedAt = c.run.since()
		}
		made.over = true
		c.watchIdleLocked()
	case msg.Method == sip.Bye:
		response := msg.Response(sip.CallDoesNotExist)
		write(&response)
	case msg.Method == sip.Options:
		response := msg.Response(sip.OK)
		write(&response)
	}
}

// look returns a copy of what the caller knows of a call.
func (c *caller) look(made *call) call {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := *made
	seen.answers = slices.Clone(made.answers)
	return seen
}

// mustStand waits until a call stands for its caller.
func (c *caller) mustStand(made *call, by time.Duration) {
	if !c.run.wait(by, func() bool { return c.look(made).answeredAt != 0 }) {
		c.run.giveUp("call %s does not stand", made.id)
	}
}
