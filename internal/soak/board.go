package soak

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"indigodrift/internal/board"
)

const (
	boardBeat     = time.Second
	boardOldStays = 1500 * time.Millisecond // how long open connections stay after the board has moved

	// When news count as told, from the page: after the board's silence or a new configuration, after a break, and after it was away.
	toldAfterSilence = 4 * time.Second
	toldAfterBreak   = 2 * time.Second
	toldAfterLoss    = 6 * time.Second
)

// Board is the notice board as one controller reaches it.
type Board struct {
	log        *Log
	controller int
	twice      bool // events are written twice

	mu     sync.Mutex
	events []board.Event
	ln     net.Listener
	at     string
	conns  map[*boardConn]struct{}
	away   int // losses that are not over
}

type boardConn struct {
	c     net.Conn
	mu    sync.Mutex
	mute  bool
	told  uint64
	ended chan struct{}
}

func newBoard(log *Log, controller int, twice bool) *Board {
	return &Board{log: log, controller: controller, twice: twice, conns: map[*boardConn]struct{}{}}
}

// listen takes connections at an address, and at none that it had before.
func (b *Board) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("notice board: %w", err)
	}
	b.mu.Lock()
	b.ln, b.at = ln, address
	b.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(&boardConn{c: c, ended: make(chan struct{})})
		}
	}()
	return nil
}

// serve tells one connection all events after the one that it names, and the later ones as they come.
func (b *Board) serve(c *boardConn) {
	var from [8]byte
	if _, err := io.ReadFull(c.c, from[:]); err != nil {
		c.c.Close()
		return
	}
	c.told = binary.BigEndian.Uint64(from[:])
	b.mu.Lock()
	b.conns[c] = struct{}{}
	b.mu.Unlock()
	go func() { // it says nothing more; its end ends the care
		_, _ = io.Copy(io.Discard, c.c) // only the end matters
		close(c.ended)
	}()
	b.push(c)
	for {
		select {
		case <-c.ended:
			b.mu.Lock()
			delete(b.conns, c)
			b.mu.Unlock()
			c.c.Close()
			return
		case <-time.After(boardBeat):
			b.push(c)
			c.write(board.AppendKeepalive(nil, c.told))
		}
	}
}

func (c *boardConn) write(frame []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mute {
		return false
	}
	_ = c.c.SetWriteDeadline(time.Now().Add(writeWithin)) // a connection that is gone is found by its reader
	_, err := c.c.Write(frame)
	return err == nil
}

// push tells a connection what it was not told yet.
func (b *Board) push(c *boardConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.events {
		if e.Number <= c.told {
			continue
		}
		frame, err := board.AppendFrame(nil, e)
		if err != nil || !c.write(frame) || b.twice && !c.write(frame) {
			return
		}
		c.told = e.Number
		b.log.Add(Event{Kind: ListTold, Controller: b.controller, Number: e.Number})
	}
}

// tell adds an event and tells it to all.
func (b *Board) tell(e board.Event) {
	b.mu.Lock()
	b.events = append(b.events, e)
	conns := b.open()
	b.mu.Unlock()
	for _, c := range conns {
		b.push(c)
	}
}

// open lists the connections; b.mu is held.
func (b *Board) open() []*boardConn {
	var conns []*boardConn
	for c := range b.conns {
		conns = append(conns, c)
	}
	return conns
}

// known is what a controller is told at its start, and the board's address.
func (b *Board) known() ([]board.Event, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]board.Event(nil), b.events...), b.at
}

// silence has the open connections say nothing more. They stay open.
func (b *Board) silence() {
	b.log.Add(Event{Kind: BoardLost, Controller: b.controller, Span: toldAfterSilence, Text: "silent"})
	b.mute()
	b.log.Add(Event{Kind: BoardBack, Controller: b.controller})
}

func (b *Board) mute() []*boardConn {
	b.mu.Lock()
	conns := b.open()
	b.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		c.mute = true
		c.mu.Unlock()
	}
	return conns
}

// breakOff ends the open connections within an event.
func (b *Board) breakOff() {
	b.log.Add(Event{Kind: BoardLost, Controller: b.controller, Span: toldAfterBreak, Text: "breaks off"})
	half := board.AppendKeepalive(nil, 1)
	b.mu.Lock()
	conns := b.open()
	b.mu.Unlock()
	for _, c := range conns {
		c.write(half[:len(half)/2])
		c.c.Close()
	}
	b.log.Add(Event{Kind: BoardBack, Controller: b.controller})
}

// lose has the board refuse connections and reset those that are open, until the returned function is called.
func (b *Board) lose() (back func() error) {
	b.log.Add(Event{Kind: BoardLost, Controller: b.controller, Span: toldAfterLoss, Text: "away"})
	b.mu.Lock()
	b.ln.Close()
	b.away++
	conns := b.open()
	b.mu.Unlock()
	for _, c := range conns {
		c.c.Close()
	}
	return func() error {
		b.mu.Lock()
		b.away--
		at, away := b.at, b.away
		b.mu.Unlock()
		if away == 0 {
			if err := b.listen(at); err != nil {
				return err
			}
		}
		b.log.Add(Event{Kind: BoardBack, Controller: b.controller})
		return nil
	}
}

// move has the board listen at another address. The old one takes no connection and tells nothing more; its open ones close later.
func (b *Board) move(address string) error {
	b.log.Add(Event{Kind: BoardLost, Controller: b.controller, Span: toldAfterSilence, Text: "moved"})
	b.mu.Lock()
	b.ln.Close()
	b.at = address
	away := b.away
	b.mu.Unlock()
	for _, c := range b.mute() {
		time.AfterFunc(boardOldStays, func() { c.c.Close() })
	}
	if away == 0 { // else it listens there once it is back
		if err := b.listen(address); err != nil {
			return err
		}
	}
	b.log.Add(Event{Kind: BoardBack, Controller: b.controller})
	return nil
}

// end closes the board.
func (b *Board) end() {
	b.mu.Lock()
	b.ln.Close()
	conns := b.open()
	b.mu.Unlock()
	for _, c := range conns {
		c.c.Close()
	}
}
