package b2bua

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

// cell is one combination of a call's state and an event, with one switch to which the call can be routed.
type cell struct {
	*rig
	c, other Conn // the caller's connection and another caller's
	k        *heardOf
}

const cellID = "00000000000003e8"

func newCell(t *testing.T) *cell {
	x := &cell{rig: newRig(t)}
	x.dialAll(9, 9)
	x.c, x.other = x.callerUp(), x.callerUp()
	x.a.FromCaller(x.now, x.now, x.other, invite("00000000000000bb", "voice", 1000, "dest:9;width:1;via:-1", "")) // marks it as a connection with set-ups
	return x
}

func (x *cell) offer() { x.k = x.rig.offer(x.c, 1, 2000) }

// The states of a call, by their names in the state table, and how they are reached.
var cellStates = []struct {
	name string
	come func(*cell)
}{
	{"unknown", func(x *cell) {}},
	{"offered", func(x *cell) { x.offer(); x.answer(x.k, sip.ServerTimeout) }}, // waits for the release time
	{"trying, to be dialled", func(x *cell) { x.linkDown(x.linkTo(1)); x.offer() }},
	{"trying", func(x *cell) { x.offer() }},
	{"standing", func(x *cell) { x.offer(); x.answer(x.k, sip.OK) }},
	{"over, was standing", func(x *cell) { x.offer(); x.answer(x.k, sip.OK); x.switchReleases(x.k); x.pass(10) }},
	{"over, given up", func(x *cell) {
		x.offer()
		x.fromCaller(&sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: cellID, CSeq: 1})
	}},
}

func (x *cell) fromCaller(m *sip.Message) {
	if x.k != nil && m.Method == sip.Cancel {
		x.k.left, x.k.callerEnded = x.k.answers == 0, x.k.answers > 0
	}
	if x.k != nil && m.Method == sip.Bye {
		x.k.callerEnded, x.k.left = true, x.k.answers == 0
	}
	x.a.FromCaller(x.now, x.now, x.c, m)
}

func (x *cell) fromSwitch(m *sip.Message) {
	if len(x.linkSeq) == 0 || x.linkOf(1) == 0 {
		return
	}
	if k := x.k; k != nil && m.Status == sip.OK && k.tryOn != 0 {
		k.tryOn, k.standsAt, k.standsOn, k.switchSDP = 0, 1, k.tryOn, string(m.Body)
	} else if k != nil && m.Method == sip.Bye && k.standsAt != 0 {
		k.standsAt = 0
	} else if k != nil && k.tryOn != 0 {
		if k.tryOn = 0; m.Status != sip.ServiceUnavailable { // such a set-up was never carried out
			k.notBefore = x.now + releaseTime
		}
	}
	x.a.FromSwitch(x.now, x.linkOf(1), m)
}

// linkOf returns the connection to a switch, 0 if there is none.
func (x *cell) linkOf(sw uint32) Conn {
	i := slices.IndexFunc(x.linkSeq, func(c Conn) bool { return x.links[c] == sw })
	if i < 0 {
		return 0
	}
	return x.linkSeq[i]
}

func answerOf(status int) *sip.Message {
	m := &sip.Message{Status: status, CallID: cellID, CSeq: 1, CSeqMethod: sip.Invite}
	if status == sip.OK {
		m.Body = []byte("answer")
	}
	return m
}

var cellEvents = []struct {
	name string
	come func(*cell)
}{
	{"set-up under its id", func(x *cell) {
		x.a.FromCaller(x.now, x.now, x.other, invite(cellID, "voice", 1000, "dest:9;width:1;via:-1", ""))
	}},
	{"set-up with at", func(x *cell) {
		if x.k != nil { // the caller has not received the release
			x.k.stood, x.k.heardRelease, x.k.releasedOn, x.k.callerReleased, x.k.bears = true, false, 0, 0, nil
		}
		x.a.FromCaller(x.now, x.now, x.other, invite(cellID, "voice", 1000, "dest:1;width:1;at:s-00000001", ""))
	}},
	{"CANCEL", func(x *cell) {
		x.fromCaller(&sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: cellID, CSeq: 1})
	}},
	{"CANCEL by another caller", func(x *cell) {
		x.a.FromCaller(x.now, x.now, x.other, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: cellID, CSeq: 1})
	}},
	{"BYE of the caller", func(x *cell) { x.fromCaller(x.bye(cellID, 16)) }},
	{"end of the caller's connection", func(x *cell) { x.callerDown(x.c) }},
	{"200", func(x *cell) { x.fromSwitch(answerOf(sip.OK)) }},
	{"503", func(x *cell) { x.fromSwitch(answerOf(sip.ServiceUnavailable)) }},
	{"504", func(x *cell) { x.fromSwitch(answerOf(sip.ServerTimeout)) }},
	{"BYE of the switch", func(x *cell) { x.fromSwitch(x.bye(cellID, 16)) }},
	{"end of the switch's connection", func(x *cell) {
		if c := x.linkOf(1); c != 0 {
			x.linkDown(c)
		}
	}},
	{"connection comes up", func(x *cell) { x.dialAll(9, 9) }},
	{"connection is refused", func(x *cell) {
		for len(x.dials) > 0 {
			x.dial(true, false)
		}
	}},
	{"switch drains", func(x *cell) {
		x.list(false, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1", State: board.Draining})
	}},
	{"switch is gone", func(x *cell) { x.list(false, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1", State: board.Gone}) }},
	{"time of the caller is up", func(x *cell) { x.pass(20000) }},
	{"the process ends", func(x *cell) { x.a.FailOpen(x.now) }},
}

// outcome returns the state of the call after an event and the messages that were written for it.
func (x *cell) outcome(from int) string {
	state := "unknown"
	if k := x.a.calls[0x3e8]; k != nil {
		state = [...]string{"offered", "trying", "standing", "over"}[k.state]
	}
	var wrote []string
	for _, w := range x.wrote[from:] {
		if w.m.CallID != cellID {
			continue
		}
		who, what := "caller", w.m.Method
		if _, link := x.links[w.to]; link || w.to < x.c {
			who = "switch"
		} else if w.to != x.c {
			who = "another caller"
		}
		if w.m.Status != 0 {
			what = fmt.Sprint(w.m.Status)
		}
		wrote = append(wrote, what+" to "+who)
	}
	return strings.TrimSpace(state + "; " + strings.Join(wrote, ", "))
}

// TestEveryEventInEveryState checks the state table: the next state for each event in each state, and the messages
// that are written. A row with a state alone means that nothing is written.
func TestEveryEventInEveryState(t *testing.T) {
	var lines []string
	for _, s := range cellStates {
		for _, e := range cellEvents {
			x := newCell(t)
			s.come(x)
			from := len(x.wrote)
			e.come(x)
			lines = append(lines, fmt.Sprintf("%s | %s | %s", s.name, e.name, strings.TrimSuffix(x.outcome(from), ";")))
		}
	}
	want := strings.Split(strings.TrimSpace(stateTable), "\n")
	for i, line := range lines {
		if i >= len(want) || line != want[i] {
			t.Errorf("cell %d is\n%s", i, line)
		}
	}
	if len(lines) != len(want) {
		t.Errorf("%d cells, %d in the table", len(lines), len(want))
	}
}

const stateTable = `
unknown | set-up under its id | over; 503 to another caller
unknown | set-up with at | standing
unknown | CANCEL | unknown; 481 to caller
unknown | CANCEL by another caller | unknown; 481 to another caller
unknown | BYE of the caller | unknown; 481 to caller
unknown | end of the caller's connection | unknown
unknown | 200 | unknown
unknown | 503 | unknown
unknown | 504 | unknown
unknown | BYE of the switch | over; 200 to switch, BYE to another caller
unknown | end of the switch's connection | unknown
unknown | connection comes up | unknown
unknown | connection is refused | unknown
unknown | switch drains | unknown
unknown | switch is gone | unknown
unknown | time of the caller is up | unknown
unknown | the process ends | unknown
offered | set-up under its id | offered; 400 to another caller
offered | set-up with at | offered
offered | CANCEL | over
offered | CANCEL by another caller | offered; 481 to another caller
offered | BYE of the caller | over; 200 to caller
offered | end of the caller's connection | over
offered | 200 | offered; ACK to switch
offered | 503 | offered; ACK to switch
offered | 504 | offered; ACK to switch
offered | BYE of the switch | offered; 200 to switch
offered | end of the switch's connection | offered
offered | connection comes up | offered
offered | connection is refused | offered
offered | switch drains | offered
offered | switch is gone | offered
offered | time of the caller is up | over; INVITE to switch, CANCEL to switch, 503 to caller
offered | the process ends | over; 500 to caller
trying, to be dialled | set-up under its id | trying; 400 to another caller
trying, to be dialled | set-up with at | trying
trying, to be dialled | CANCEL | over
trying, to be dialled | CANCEL by another caller | trying; 481 to another caller
trying, to be dialled | BYE of the caller | over; 200 to caller
trying, to be dialled | end of the caller's connection | over
trying, to be dialled | 200 | trying
trying, to be dialled | 503 | trying
trying, to be dialled | 504 | trying
trying, to be dialled | BYE of the switch | trying
trying, to be dialled | end of the switch's connection | trying
trying, to be dialled | connection comes up | trying; INVITE to switch
trying, to be dialled | connection is refused | over; 503 to caller
trying, to be dialled | switch drains | over; 503 to caller
trying, to be dialled | switch is gone | over; 503 to caller
trying, to be dialled | time of the caller is up | over; 503 to caller
trying, to be dialled | the process ends | over; 500 to caller
trying | set-up under its id | trying; 400 to another caller
trying | set-up with at | trying
trying | CANCEL | over; CANCEL to switch
trying | CANCEL by another caller | trying; 481 to another caller
trying | BYE of the caller | over; 200 to caller, CANCEL to switch
trying | end of the caller's connection | over; CANCEL to switch
trying | 200 | standing; ACK to switch, 200 to caller
trying | 503 | trying; ACK to switch, INVITE to switch
trying | 504 | offered; ACK to switch
trying | BYE of the switch | over; 200 to switch, CANCEL to switch, 500 to caller
trying | end of the switch's connection | offered
trying | connection comes up | trying
trying | connection is refused | trying
trying | switch drains | trying
trying | switch is gone | offered
trying | time of the caller is up | over; CANCEL to switch, 503 to caller
trying | the process ends | over; 500 to caller, CANCEL to switch
standing | set-up under its id | standing; 400 to another caller
standing | set-up with at | standing
standing | CANCEL | over; BYE to switch
standing | CANCEL by another caller | standing; 481 to another caller
standing | BYE of the caller | over; 200 to caller, BYE to switch
standing | end of the caller's connection | standing
standing | 200 | standing; ACK to switch
standing | 503 | standing; ACK to switch
standing | 504 | standing; ACK to switch
standing | BYE of the switch | over; 200 to switch, BYE to caller
standing | end of the switch's connection | standing
standing | connection comes up | standing
standing | connection is refused | standing
standing | switch drains | standing
standing | switch is gone | over; BYE to caller
standing | time of the caller is up | standing
standing | the process ends | standing
over, was standing | set-up under its id | over; 400 to another caller
over, was standing | set-up with at | over; BYE to caller
over, was standing | CANCEL | over
over, was standing | CANCEL by another caller | over; 481 to another caller
over, was standing | BYE of the caller | over; 200 to caller
over, was standing | end of the caller's connection | over
over, was standing | 200 | over; ACK to switch
over, was standing | 503 | over; ACK to switch
over, was standing | 504 | over; ACK to switch
over, was standing | BYE of the switch | over; 200 to switch
over, was standing | end of the switch's connection | over
over, was standing | connection comes up | over
over, was standing | connection is refused | over
over, was standing | switch drains | over
over, was standing | switch is gone | over
over, was standing | time of the caller is up | over
over, was standing | the process ends | over
over, given up | set-up under its id | over; 400 to another caller
over, given up | set-up with at | over; BYE to caller
over, given up | CANCEL | over
over, given up | CANCEL by another caller | over; 481 to another caller
over, given up | BYE of the caller | over; 200 to caller
over, given up | end of the caller's connection | over
over, given up | 200 | over; ACK to switch, BYE to switch
over, given up | 503 | over; ACK to switch
over, given up | 504 | over; ACK to switch
over, given up | BYE of the switch | over; 200 to switch
over, given up | end of the switch's connection | over
over, given up | connection comes up | over
over, given up | connection is refused | over
over, given up | switch drains | over
over, given up | switch is gone | over
over, given up | time of the caller is up | over
over, given up | the process ends | over
`
