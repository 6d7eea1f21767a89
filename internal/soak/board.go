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
	boardKeepaliveInterval = time.Second
	movedBoardLinger       = 1500 * time.Millisecond // open connections are closed so long after the board has moved

	// Times by which a controller must know of updates again: after the board was silent or moved, closed its connections, or was away.
	silenceRecoveryTime    = 4 * time.Second
	truncationRecoveryTime = 2 * time.Second
	outageRecoveryTime     = 6 * time.Second
)

// Board simulates the notice board of one controller.
type Board struct {
	log        *Log
	controller int
	duplicate  bool // each event is written twice

	mu       sync.Mutex
	events   []board.Event
	listener net.Listener
	address  string
	conns    map[*boardConn]struct{}
	outages  int // stops that are not restarted yet
}

// boardConn is a connection of the controller to its board.
type boardConn struct {
	netConn  net.Conn
	mu       sync.Mutex
	silenced bool
	lastSent uint64 // number of the last event sent
	closed   chan struct{}
}

func newBoard(log *Log, controller int, duplicate bool) *Board {
	return &Board{log: log, controller: controller, duplicate: duplicate, conns: map[*boardConn]struct{}{}}
}

// listen accepts connections at an address, which becomes the address of the board.
func (b *Board) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for notice board: %w", err)
	}
	b.mu.Lock()
	b.listener, b.address = ln, address
	b.mu.Unlock()
	go func() {
		for {
			netConn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(&boardConn{netConn: netConn, closed: make(chan struct{})})
		}
	}()
	return nil
}

// serve sends the events after the one that the controller requests on a connection, later events as they are published, and keepalives.
func (b *Board) serve(conn *boardConn) {
	var lastSeen [8]byte
	if _, err := io.ReadFull(conn.netConn, lastSeen[:]); err != nil {
		conn.netConn.Close()
		return
	}
	conn.lastSent = binary.BigEndian.Uint64(lastSeen[:])
	b.mu.Lock()
	b.conns[conn] = struct{}{}
	b.mu.Unlock()
	go func() { // the controller sends nothing more; detects the end of the connection
		_, _ = io.Copy(io.Discard, conn.netConn)
		close(conn.closed)
	}()
	b.sendPending(conn)
	for {
		select {
		case <-conn.closed:
			b.mu.Lock()
			delete(b.conns, conn)
			b.mu.Unlock()
			conn.netConn.Close()
			return
		case <-time.After(boardKeepaliveInterval):
			b.sendPending(conn)
			conn.write(board.AppendKeepalive(nil, conn.lastSent))
		}
	}
}

// write writes a frame. It returns false if the connection is silenced or lost.
func (c *boardConn) write(frame []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silenced {
		return false
	}
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)) // the reader detects a lost connection
	_, err := c.netConn.Write(frame)
	return err == nil
}

// sendPending sends the events that were not sent on a connection yet.
func (b *Board) sendPending(conn *boardConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, event := range b.events {
		if event.Number <= conn.lastSent {
			continue
		}
		frame, err := board.AppendFrame(nil, event)
		if err != nil || !conn.write(frame) || b.duplicate && !conn.write(frame) {
			return
		}
		conn.lastSent = event.Number
		b.log.Add(Event{Kind: ListSent, Controller: b.controller, Number: event.Number})
	}
}

// publish adds an event and sends it on all connections.
func (b *Board) publish(event board.Event) {
	b.mu.Lock()
	b.events = append(b.events, event)
	conns := b.openConns()
	b.mu.Unlock()
	for _, c := range conns {
		b.sendPending(c)
	}
}

// openConns returns the open connections. b.mu must be held.
func (b *Board) openConns() []*boardConn {
	var conns []*boardConn
	for c := range b.conns {
		conns = append(conns, c)
	}
	return conns
}

// snapshot returns the events so far and the board's address, for the start configuration of the controller.
func (b *Board) snapshot() ([]board.Event, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]board.Event(nil), b.events...), b.address
}

// silence stops all writes on the open connections. They stay open.
func (b *Board) silence() {
	b.log.Add(Event{Kind: BoardLost, Controller: b.controller, Duration: silenceRecoveryTime, Detail: "silent"})
	b.silenceConns()
	b.log.Add(Event{Kind: BoardRestored, Controller: b.controller})
}

// silenceConns stops all writes on the open connections and returns them.
func (b *Board) silenceConns() []*boardConn {
	b.mu.Lock()
	conns := b.openConns()
	b.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		c.silenced = true
		c.mu.Unlock()
	}
	return conns
}

// truncateEvent closes the open connections in the middle of a frame.
func (b *Board) truncateEvent() {
	b.log.Add(Event{Kind: BoardLost, Controller: b.controller, Duration: truncationRecoveryTime, Detail: "closed within a frame"})
	frame := board.AppendKeepalive(nil, 1)
	b.mu.Lock()
	conns := b.openConns()
	b.mu.Unlock()
	for _, c := range conns {
		c.write(frame[:len(frame)/2])
		c.netConn.Close()
	}
	b.log.Add(Event{Kind: BoardRestored, Controller: b.controller})
}

// stop closes the listener and the open connections until the returned function is called.
func (b *Board) stop() (restart func() error) {
	b.log.Add(Event{Kind: BoardLost, Controller: b.controller, Duration: outageRecoveryTime, Detail: "away"})
	b.mu.Lock()
	b.listener.Close()
	b.outages++
	conns := b.openConns()
	b.mu.Unlock()
	for _, c := range conns {
		c.netConn.Close()
	}
	return func() error {
		b.mu.Lock()
		b.outages--
		address, outages := b.address, b.outages
		b.mu.Unlock()
		if outages == 0 {
			if err := b.listen(address); err != nil {
				return err
			}
		}
		b.log.Add(Event{Kind: BoardRestored, Controller: b.controller})
		return nil
	}
}

// move makes the board listen at another address. Nothing more is written on the open connections, which are closed later.
func (b *Board) move(address string) error {
	b.log.Add(Event{Kind: BoardLost, Controller: b.controller, Duration: silenceRecoveryTime, Detail: "moved"})
	b.mu.Lock()
	b.listener.Close()
	b.address = address
	outages := b.outages
	b.mu.Unlock()
	for _, c := range b.silenceConns() {
		time.AfterFunc(movedBoardLinger, func() { c.netConn.Close() })
	}
	if outages == 0 { // else restart listens there
		if err := b.listen(address); err != nil {
			return err
		}
	}
	b.log.Add(Event{Kind: BoardRestored, Controller: b.controller})
	return nil
}

// close closes the listener and all connections.
func (b *Board) close() {
	b.mu.Lock()
	b.listener.Close()
	conns := b.openConns()
	b.mu.Unlock()
	for _, c := range conns {
		c.netConn.Close()
	}
}
