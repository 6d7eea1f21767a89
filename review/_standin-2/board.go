package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"indigodrift/internal/board"
)

// noticeBoard is a notice board.
type noticeBoard struct {
	run     *run
	ln      net.Listener
	mu      sync.Mutex
	events  []board.Event
	changed chan struct{}
}

// newBoard starts a notice board whose first event lists some switches.
func (r *run) newBoard(switches ...board.Switch) *noticeBoard {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		r.giveUp("%v", err)
	}
	b := &noticeBoard{run: r, ln: ln, changed: make(chan struct{})}
	b.events = []board.Event{{Number: 1, Complete: true, Switches: switches}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *noticeBoard) address() string { return b.ln.Addr().String() }

// tell adds an event with changes.
func (b *noticeBoard) tell(what string, switches ...board.Switch) {
	b.mu.Lock()
	b.events = append(b.events, board.Event{Number: uint64(len(b.events) + 1), Switches: switches})
	close(b.changed)
	b.changed = make(chan struct{})
	b.mu.Unlock()
	b.run.note("board tells: %s", what)
}

// after returns the events after a number, and a channel that is closed when there are more.
func (b *noticeBoard) after(number uint64) ([]board.Event, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.events[min(number, uint64(len(b.events))):], b.changed
}

// serve tells one call controller all events after the number that it asks for, and an empty frame each second.
func (b *noticeBoard) serve(conn net.Conn) {
	defer conn.Close()
	var request [8]byte
	if _, err := io.ReadFull(conn, request[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(request[:])
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		events, changed := b.after(last)
		for _, event := range events {
			frame, err := board.AppendFrame(nil, event)
			if err != nil {
				return
			}
			if _, err := conn.Write(frame); err != nil {
				return
			}
			last = event.Number
		}
		select {
		case <-changed:
		case <-second.C:
			if _, err := conn.Write(board.AppendKeepalive(nil, last)); err != nil {
				return
			}
		}
	}
}

// known returns the events up to now as the configuration holds them.
func (b *noticeBoard) known() map[string]any {
	events, _ := b.after(0)
	var notices []any
	for _, event := range events {
		var instances []any
		for _, s := range event.Switches {
			instances = append(instances, map[string]any{"instanceId": board.FormatID(s.ID), "hostPort": s.Address, "zone": "riga", "machineType": "single-core",
				"cell": s.Exchange, "lifecycle": lifecycles[s.State], "weight": 1, "startedAtMs": s.StartedMS})
		}
		notices = append(notices, map[string]any{"rev": event.Number, "pool": map[string]any{"generation": event.Number, "reset": event.Complete, "instances": instances}})
	}
	return map[string]any{"rev": len(events), "notices": notices}
}
