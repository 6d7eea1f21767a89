package b2bua

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
)

// stateCase is one combination of a call's state and an event, with one switch to which the call can be routed.
type stateCase struct {
	*harness
	callerConn, otherConn ConnID // the caller's connection and another caller's
	call                  *observedCall
}

const stateCaseID = "00000000000003e8"

func newStateCase(t *testing.T) *stateCase {
	sc := &stateCase{harness: newHarness(t)}
	sc.completeDials(9, 9)
	sc.callerConn, sc.otherConn = sc.connectCaller(), sc.connectCaller()
	// A set-up marks it as a connection with set-ups.
	sc.agent.FromCaller(sc.now, sc.now, sc.otherConn, invite("00000000000000bb", "voice", 1000, "dest:9;width:1;via:-1", ""))
	return sc
}

func (sc *stateCase) sendSetUp() { sc.call = sc.harness.sendSetUp(sc.callerConn, 1, 2000) }

// The states of a call, by their names in the state table, and how they are reached.
var callStates = []struct {
	name  string
	apply func(*stateCase)
}{
	{"unknown", func(sc *stateCase) {}},
	{"offered", func(sc *stateCase) { sc.sendSetUp(); sc.answer(sc.call, sip.ServerTimeout) }}, // waits for the release time
	{"trying, to be dialled", func(sc *stateCase) { sc.disconnectLink(sc.mustLinkTo(1)); sc.sendSetUp() }},
	{"trying", func(sc *stateCase) { sc.sendSetUp() }},
	{"standing", func(sc *stateCase) { sc.sendSetUp(); sc.answer(sc.call, sip.OK) }},
	{"over, was standing", func(sc *stateCase) {
		sc.sendSetUp()
		sc.answer(sc.call, sip.OK)
		sc.releaseFromSwitch(sc.call)
		sc.advanceTime(10)
	}},
	{"over, abandoned", func(sc *stateCase) {
		sc.sendSetUp()
		sc.fromCaller(&sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: stateCaseID, CSeq: 1})
	}},
}

func (sc *stateCase) fromCaller(msg *sip.Message) {
	if sc.call != nil && msg.Method == sip.Cancel {
		sc.call.abandoned, sc.call.callerEnded = sc.call.answers == 0, sc.call.answers > 0
	}
	if sc.call != nil && msg.Method == sip.Bye {
		sc.call.callerEnded, sc.call.abandoned = true, sc.call.answers == 0
	}
	sc.agent.FromCaller(sc.now, sc.now, sc.callerConn, msg)
}

func (sc *stateCase) fromSwitch(msg *sip.Message) {
	if len(sc.linkOrder) == 0 || sc.linkOf(1) == 0 {
		return
	}
	if call := sc.call; call != nil && msg.Status == sip.OK && call.tryConn != 0 {
		call.tryConn, call.establishedAt, call.establishedConn, call.answerBody = 0, 1, call.tryConn, string(msg.Body)
	} else if call != nil && msg.Method == sip.Bye && call.establishedAt != 0 {
		call.establishedAt = 0
	} else if call != nil && call.tryConn != 0 {
		if call.tryConn = 0; msg.Status != sip.ServiceUnavailable { // such a set-up was never carried out
			call.notBefore = sc.now + releaseTime
		}
	}
	sc.agent.FromSwitch(sc.now, sc.linkOf(1), msg)
}

// linkOf returns the connection to a switch, 0 if there is none.
func (sc *stateCase) linkOf(switchID uint32) ConnID {
	i := slices.IndexFunc(sc.linkOrder, func(conn ConnID) bool { return sc.links[conn] == switchID })
	if i < 0 {
		return 0
	}
	return sc.linkOrder[i]
}

func answerOf(status int) *sip.Message {
	msg := &sip.Message{Status: status, CallID: stateCaseID, CSeq: 1, CSeqMethod: sip.Invite}
	if status == sip.OK {
		msg.Body = []byte("answer")
	}
	return msg
}

var callEvents = []struct {
	name  string
	apply func(*stateCase)
}{
	{"set-up under its id", func(sc *stateCase) {
		sc.agent.FromCaller(sc.now, sc.now, sc.otherConn, invite(stateCaseID, "voice", 1000, "dest:9;width:1;via:-1", ""))
	}},
	{"set-up with at", func(sc *stateCase) {
		if sc.call != nil { // the caller has not received the release
			sc.call.answered, sc.call.releaseAnswered, sc.call.releasedOn, sc.call.callerReleases, sc.call.releaseConns = true, false, 0, 0, nil
		}
		sc.agent.FromCaller(sc.now, sc.now, sc.otherConn, invite(stateCaseID, "voice", 1000, "dest:1;width:1;at:s-00000001", ""))
	}},
	{"CANCEL", func(sc *stateCase) {
		sc.fromCaller(&sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: stateCaseID, CSeq: 1})
	}},
	{"CANCEL by another caller", func(sc *stateCase) {
		sc.agent.FromCaller(sc.now, sc.now, sc.otherConn, &sip.Message{Method: sip.Cancel, URI: "sip:x@net", CallID: stateCaseID, CSeq: 1})
	}},
	{"BYE of the caller", func(sc *stateCase) { sc.fromCaller(sc.newRelease(stateCaseID, 16)) }},
	{"end of the caller's connection", func(sc *stateCase) { sc.disconnectCaller(sc.callerConn) }},
	{"200", func(sc *stateCase) { sc.fromSwitch(answerOf(sip.OK)) }},
	{"503", func(sc *stateCase) { sc.fromSwitch(answerOf(sip.ServiceUnavailable)) }},
	{"504", func(sc *stateCase) { sc.fromSwitch(answerOf(sip.ServerTimeout)) }},
	{"BYE of the switch", func(sc *stateCase) { sc.fromSwitch(sc.newRelease(stateCaseID, 16)) }},
	{"end of the switch's connection", func(sc *stateCase) {
		if c := sc.linkOf(1); c != 0 {
			sc.disconnectLink(c)
		}
	}},
	{"connection comes up", func(sc *stateCase) { sc.completeDials(9, 9) }},
	{"connection is refused", func(sc *stateCase) {
		for len(sc.dials) > 0 {
			sc.completeDial(true, false)
		}
	}},
	{"switch drains", func(sc *stateCase) {
		sc.updateSwitches(false, board.Switch{ID: 1, Exchange: 1, Address: "10.0.0.2:1", State: board.Draining})
	}},
	{"switch is gone", func(sc *stateCase) {
		sc.updateSwitches(false, board.Switch{ID: 1, Exchange: 1, Address: "10.0.0.2:1", State: board.Gone})
	}},
	{"deadline of the caller passes", func(sc *stateCase) { sc.advanceTime(20000) }},
	{"the process ends", func(sc *stateCase) { sc.agent.FailOpenCalls(sc.now) }},
}

// result returns the state of the call after an event and the messages that were written for it.
func (sc *stateCase) result(from int) string {
	state := "unknown"
	if call := sc.agent.calls[0x3e8]; call != nil {
		state = [...]string{"offered", "trying", "standing", "over"}[call.state]
	}
	var messages []string
	for _, sent := range sc.sentMessages[from:] {
		if sent.message.CallID != stateCaseID {
			continue
		}
		peer, name := "caller", sent.message.Method
		if _, link := sc.links[sent.to]; link || sent.to < sc.callerConn {
			peer = "switch"
		} else if sent.to != sc.callerConn {
			peer = "another caller"
		}
		if sent.message.Status != 0 {
			name = fmt.Sprint(sent.message.Status)
		}
		messages = append(messages, name+" to "+peer)
	}
	return strings.TrimSpace(state + "; " + strings.Join(messages, ", "))
}

// TestEveryEventInEveryState checks the state table: the next state for each event in each state, and the messages
// that are written. A row with a state alone means that nothing is written.
func TestEveryEventInEveryState(t *testing.T) {
	var lines []string
	for _, state := range callStates {
		for _, event := range callEvents {
			sc := newStateCase(t)
			state.apply(sc)
			from := len(sc.sentMessages)
			event.apply(sc)
			lines = append(lines, fmt.Sprintf("%s | %s | %s", state.name, event.name, strings.TrimSuffix(sc.result(from), ";")))
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
unknown | deadline of the caller passes | unknown
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
offered | deadline of the caller passes | over; INVITE to switch, CANCEL to switch, 503 to caller
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
trying, to be dialled | deadline of the caller passes | over; 503 to caller
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
trying | deadline of the caller passes | over; CANCEL to switch, 503 to caller
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
standing | deadline of the caller passes | standing
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
over, was standing | deadline of the caller passes | over
over, was standing | the process ends | over
over, abandoned | set-up under its id | over; 400 to another caller
over, abandoned | set-up with at | over; BYE to caller
over, abandoned | CANCEL | over
over, abandoned | CANCEL by another caller | over; 481 to another caller
over, abandoned | BYE of the caller | over; 200 to caller
over, abandoned | end of the caller's connection | over
over, abandoned | 200 | over; ACK to switch, BYE to switch
over, abandoned | 503 | over; ACK to switch
over, abandoned | 504 | over; ACK to switch
over, abandoned | BYE of the switch | over; 200 to switch
over, abandoned | end of the switch's connection | over
over, abandoned | connection comes up | over
over, abandoned | connection is refused | over
over, abandoned | switch drains | over
over, abandoned | switch is gone | over
over, abandoned | deadline of the caller passes | over
over, abandoned | the process ends | over
`
