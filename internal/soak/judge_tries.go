package soak

import (
	"strings"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

// try is one set-up at a switch.
type try struct {
	arrived Event
	ended   time.Duration // never where it did not end
	end     Kind
	status  int
	lost    bool // its connection is silent: the switch cannot know of its end
	delayed bool // it may have lain unread
}

// tries judges the tries of a call.
func (j *judge) tries(k *callView) {
	if strings.HasPrefix(k.id, badPrefix) { // a bad client's, which may be passed on where it can be read
		return
	}
	var all []*try
	for _, e := range k.events {
		switch e.Kind {
		case TryArrived:
			all = append(all, &try{arrived: e, ended: never, delayed: e.Span > 0})
		case TryEnded, TryGivenUp:
			for _, t := range all {
				if t.arrived.Conn == e.Conn && t.arrived.Switch == e.Switch && t.arrived.Number == e.Number && t.ended == never {
					t.ended, t.end, t.status = e.At, e.Kind, e.Status
					break
				}
			}
		}
	}
	sent, placed := k.first(CallSent)
	for i, t := range all {
		if lost, ok := j.lostAt[t.arrived.Conn]; ok && lost <= t.ended {
			t.lost, t.ended, t.end = j.silent[t.arrived.Conn], lost, TryGivenUp
		}
		if shut, ok := j.shutAt[t.arrived.Conn]; ok && shut < t.ended { // a close gives up what is open, though the switch may see it late
			t.ended, t.end = shut, TryGivenUp
		}
		own := int(t.arrived.Switch&0xffff) <= j.plan.Controllers && int(t.arrived.Switch&0xffff)-1 == k.controller
		if !placed || sent.At > t.arrived.At || t.arrived.Text != "offer of "+k.id || own {
			j.breach(RuleNoCaller, k, k.controller, "a set-up at %s that no caller sent, with %q", board.FormatID(t.arrived.Switch), t.arrived.Text)
		}
		if sent.Cell > 0 && j.cellOf[t.arrived.Switch] != sent.Cell-1 {
			j.breach(RuleNoCaller, k, k.controller, "a call in transit to cell %d at %s", sent.Cell-1, board.FormatID(t.arrived.Switch))
		}
		if i > 0 && !t.delayed && !all[i-1].delayed {
			j.follows(k, all[i-1], t)
		}
	}
}

// follows judges a try against the one before it.
func (j *judge) follows(k *callView, before, t *try) {
	room := slack + passMost + j.late(before.arrived.At, t.arrived.At)
	if before.ended > t.arrived.At+room {
		j.breach(RuleOneTry, k, k.controller, "a set-up at %s at %.3f while one is out at %s since %.3f", board.FormatID(t.arrived.Switch), t.arrived.At.Seconds(),
			board.FormatID(before.arrived.Switch), before.arrived.At.Seconds())
		return
	}
	if room := j.releaseRoom(before, t); before.mustRest() && t.arrived.At-before.ended < releaseGuard-room {
		j.breach(RuleReleaseTime, k, k.controller, "sent again %v after the end of the try (%s, status %d)", (t.arrived.At - before.ended).Round(time.Millisecond), before.end, before.status)
	}
}

// mustRest tells that a further try has to wait out the release time: all but a refusal that came whole is a time-out, a reset or a cancel. An answer
// counts as well, since who sends again after it has not taken it.
func (t *try) mustRest() bool {
	switch t.status {
	case sip.ServiceUnavailable, sip.TemporarilyUnavailable, sip.BusyHere, sip.ServerInternalError:
		return t.end != TryEnded
	}
	return !t.lost
}

// releaseRoom is by how much the release time may look shorter at the switches than it was at the controller: a CANCEL may have a longer way
// than the set-up after it.
func (j *judge) releaseRoom(before, t *try) time.Duration {
	room := slack + rigMost + j.plan.Jitter + j.late(before.arrived.At, t.arrived.At)
	if before.arrived.Switch != t.arrived.Switch {
		room += wayMost
	}
	if j.plan.PieceMost > 0 {
		room += pieceAll
	}
	return room
}
