package b2bua

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"indigodrift/internal/board"
	"indigodrift/internal/deployment"
	"indigodrift/internal/exchange"
	"indigodrift/internal/seeded"
	"indigodrift/internal/sip"
	"indigodrift/internal/sip/siptest"
	"indigodrift/policy"
)

func TestMain(m *testing.M) { seeded.Main(m, 4000) }

const releaseTime = policy.Tenths(1500)

// testReporter is the part of testing.T and rapid.T that the harness uses.
type testReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

type dialRequest struct {
	switchID, dialID uint32
	address          string
}

// observedCall is what the two sides observed of one call. It is the reference model: every rule is checked on messages
// alone.
type observedCall struct {
	id, caller         string
	conn               ConnID
	deadline           policy.Tenths
	answers            int
	answered           bool // the caller received the answer
	abandoned          bool
	callerReleases     int
	releaseAnswered    bool            // the caller has answered the release
	answeredAt         policy.Tenths   // when its switch answered
	endedAt            policy.Tenths   // when its switch released it
	releasedOn         ConnID          // where the caller was last released, 0 once that connection ended
	releasedAt         policy.Tenths   // when it was first released
	releaseConns       map[ConnID]bool // connections on which the release was written
	extraCopies        int             // further copies that were allowed at once, as their connection ended
	callerEnded        bool            // the caller released it
	tryConn            ConnID          // connection of the try that is out
	trySwitch          uint32
	trySeq             uint32
	notBefore          policy.Tenths
	establishedAt      uint32 // the switch that holds it
	establishedConn    ConnID
	switchReleases     int
	abandonedTries     []abandonedTryRef
	earlierTries       map[uint32]bool // an earlier try may have been carried out there, and be released by that switch
	orphanedTries      map[uint32]bool // an earlier try was answered late and is established there
	earlierTryReleased bool            // a switch released an earlier try where the call is established
	body, answerBody   string
}

type abandonedTryRef struct {
	conn     ConnID
	switchID uint32
	seq      uint32
}

func (c *observedCall) recordEarlierTry(switchID uint32) {
	if c.earlierTries == nil {
		c.earlierTries, c.orphanedTries = map[uint32]bool{}, map[uint32]bool{}
	}
	c.earlierTries[switchID] = true
}

// harness is a test harness: an agent with the real policy, and both sides played by the test.
type harness struct {
	t                     testReporter
	agent                 *Agent
	now                   policy.Tenths
	calls                 map[string]*observedCall
	order                 []string
	callers               []ConnID
	links                 map[ConnID]uint32
	unreadOpenings        map[ConnID]policy.Tenths // connections to switches on which no keepalive was answered, and when they opened
	lostOpenings          map[uint32]policy.Tenths // by switch, when the last connection opened that ended as such
	linkOrder             []ConnID
	dials                 []dialRequest
	unavailable           map[uint32]bool
	lastConn              ConnID
	closed                map[ConnID]string
	logged                []string
	records               []Record
	sentMessages          []sentMessage
	version               uint64
	silent                map[ConnID]bool          // peers that send nothing any more
	keepalives            []sentMessage            // keepalives that are unanswered
	unansweredReleases    []sentMessage            // releases that callers have not answered yet
	unacknowledgedAnswers []sentMessage            // answers that callers have not acknowledged
	setUpConns            map[ConnID]bool          // connections on which set-ups came
	openedAt              map[ConnID]policy.Tenths // callers' connections
	abandonedIDs          map[string]bool          // ids whose callers have abandoned the call without an event to the agent
	onSetUp               func(switchID uint32)    // called for each set-up to a switch
	acknowledged          map[ConnID]bool          // callers on these have acknowledged an answer
	unresponsive          map[ConnID]bool          // callers on these answer no release
	backlogs              map[ConnID]int           // octets that wait to be written
	unhandled             map[ConnID]bool          // callers on these have sent a message that is not handled yet
	nextBody              string                   // added to the description of the next set-up
	unwritten             map[ConnID]bool          // what is written on these is counted in backlogs
}

type sentMessage struct {
	to      ConnID
	message sip.Message
}

func testSettings() deployment.Settings {
	return deployment.Settings{BearerNames: []string{"voice", "fax"}, MaxOpenCalls: 100, MaxTriesPerConn: 1000, DialTimeout: 5000,
		Policy: policy.Deployment{Seed: 7, OwnExchange: 0, MaxTries: 4, ReleaseTime: releaseTime, MaxRetryAfter: 20000, CancelsAllowed: true,
			DrainGrace: 2500, InitialCapacity: 0.3, RampTime: 140000, OverloadMultiple: 3, OverloadWindow: 15000,
			Bearers: []policy.Bearer{{Revenue: 1, LateShare: 0.1, GoSTarget: 3000, AbandonTime: 30000},
				{Revenue: 5, LateShare: 0.25, GoSTarget: 3000, AbandonTime: 20000}}}}
}

func newHarness(t testReporter) *harness {
	return newHarnessWithBounds(t, Bounds{Calls: 50, Octets: 1 << 16, Callers: 6, Links: 12})
}

func newHarnessWithBounds(t testReporter, bounds Bounds) *harness {
	h := &harness{t: t, now: 17e12, calls: map[string]*observedCall{}, links: map[ConnID]uint32{}, unreadOpenings: map[ConnID]policy.Tenths{}, lostOpenings: map[uint32]policy.Tenths{}, unavailable: map[uint32]bool{}, closed: map[ConnID]string{}, silent: map[ConnID]bool{}, unresponsive: map[ConnID]bool{}, backlogs: map[ConnID]int{}, unwritten: map[ConnID]bool{}, abandonedIDs: map[string]bool{}, openedAt: map[ConnID]policy.Tenths{}, setUpConns: map[ConnID]bool{}, acknowledged: map[ConnID]bool{}}
	h.agent = New(testSettings(), bounds, h, h.now,
		func(d policy.Deployment, output policy.Executor, now policy.Tenths) exchange.Decider {
			return policy.New(d, output, now)
		})
	h.updateSwitches(true, board.Switch{ID: 0, Exchange: 0, Address: "10.0.0.1:1"}, board.Switch{ID: 1, Exchange: 1, Address: "10.0.0.2:1"},
		board.Switch{ID: 2, Exchange: 2, Address: "10.0.0.3:1"}, board.Switch{ID: 3, Exchange: 3, Address: "10.0.0.4:1"})
	return h
}

func (h *harness) updateSwitches(whole bool, entries ...board.Switch) {
	h.version++
	if whole { // switches that are not listed are gone
		for id := range h.unavailable {
			h.unavailable[id] = true
		}
	}
	for _, entry := range entries {
		h.unavailable[entry.ID] = entry.State != board.Ready
	}
	h.agent.UpdateSwitches(h.now, board.Event{Number: h.version, Complete: whole, Switches: entries})
}

// advanceTime lets time pass and runs the agent's timers.
func (h *harness) advanceTime(span policy.Tenths) {
	until := h.now + span
	for next := h.agent.NextTick(); next <= until; next = h.agent.NextTick() {
		h.answerPending()
		h.now = max(h.now, next)
		h.agent.Tick(h.now, 0)
		keepalives := h.keepalives
		h.keepalives = nil
		for _, sent := range keepalives {
			if _, open := h.links[sent.to]; open && !h.silent[sent.to] {
				msg := sent.message.Response(sip.OK)
				delete(h.unreadOpenings, sent.to)
				h.agent.FromSwitch(h.now, sent.to, &msg)
			}
		}
	}
	h.now = until
	h.answerPending()
	h.checkReleasedInTime()
}

// answerPending lets callers answer the releases and acknowledge the answers that they have received.
func (h *harness) answerPending() {
	for len(h.unacknowledgedAnswers) > 0 {
		sent := h.unacknowledgedAnswers[0]
		h.unacknowledgedAnswers = h.unacknowledgedAnswers[1:]
		if slices.Contains(h.callers, sent.to) && !h.unresponsive[sent.to] {
			h.acknowledged[sent.to] = true
			h.agent.FromCaller(h.now, h.now, sent.to, &sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: sent.message.CallID, CSeq: sent.message.CSeq})
		}
	}
	for len(h.unansweredReleases) > 0 {
		sent := h.unansweredReleases[0]
		h.unansweredReleases = h.unansweredReleases[1:]
		if slices.Contains(h.callers, sent.to) && !h.unresponsive[sent.to] {
			h.calls[sent.message.CallID].releaseAnswered = true
			msg := sent.message.Response(sip.OK)
			h.agent.FromCaller(h.now, h.now, sent.to, &msg)
		}
	}
}

func (h *harness) newConn() ConnID { h.lastConn++; return h.lastConn }

func (h *harness) connectCaller() ConnID {
	conn := h.newConn()
	h.callers, h.openedAt[conn] = append(h.callers, conn), h.now
	if !h.agent.CallerConnected(h.now, conn) {
		h.forgetCaller(conn)
	}
	return conn
}

func (h *harness) forgetCaller(conn ConnID) {
	if i := slices.Index(h.callers, conn); i >= 0 {
		h.callers = slices.Delete(h.callers, i, i+1)
	}
	for _, id := range h.order {
		call := h.calls[id]
		if call.conn == conn && call.answers == 0 {
			call.abandoned = true
		}
		if call.releaseConns[conn] { // the caller may not have read it
			call.extraCopies++
		}
		if call.releasedOn == conn {
			call.releasedOn = 0
		}
	}
}

func (h *harness) disconnectCaller(conn ConnID) {
	h.forgetCaller(conn)
	h.agent.CallerDisconnected(h.now, conn)
}

func (h *harness) completeDial(refused, up bool) ConnID {
	request := h.dials[0]
	h.dials = h.dials[1:]
	if !up {
		outcome := DialTimedOut
		if refused {
			outcome = DialRefused
		}
		h.agent.DialDone(h.now, request.switchID, request.dialID, 0, outcome)
		return 0
	}
	conn := h.newConn()
	h.links[conn], h.unreadOpenings[conn] = request.switchID, h.now
	h.linkOrder = append(h.linkOrder, conn)
	h.agent.DialDone(h.now, request.switchID, request.dialID, conn, DialConnected)
	return conn
}

// completeDials completes every dial, and reports the state of each group.
func (h *harness) completeDials(free, size int) {
	for len(h.dials) > 0 {
		if conn := h.completeDial(false, true); h.closed[conn] == "" {
			h.reportCircuits(conn, free, size)
		}
	}
}

func (h *harness) reportCircuits(conn ConnID, free, size int) {
	msg := siptest.LoadReport(free, size)
	h.agent.FromSwitch(h.now, conn, &msg)
}

func (h *harness) disconnectLink(conn ConnID) {
	h.forgetLink(conn)
	h.agent.SwitchDisconnected(h.now, conn, false)
}

func (h *harness) forgetLink(conn ConnID) {
	if openedAt, unread := h.unreadOpenings[conn]; unread {
		h.lostOpenings[h.links[conn]] = max(openedAt, h.lostOpenings[h.links[conn]])
		delete(h.unreadOpenings, conn)
	}
	delete(h.links, conn)
	if i := slices.Index(h.linkOrder, conn); i >= 0 {
		h.linkOrder = slices.Delete(h.linkOrder, i, i+1)
	}
	for _, id := range h.order {
		if call := h.calls[id]; call.tryConn == conn {
			call.tryConn, call.notBefore = 0, h.now+releaseTime
			call.recordEarlierTry(call.trySwitch)
		}
	}
}

func invite(id, bearerType string, expiresMS int, info string, body string) *sip.Message {
	msg := siptest.SetUp(id, bearerType, expiresMS, info, body)
	return &msg
}

func (h *harness) sendSetUp(conn ConnID, dest int, expiresMS int) *observedCall {
	id := fmt.Sprintf("%016x", 1000+len(h.order))
	h.setUpConns[conn] = true
	call := &observedCall{id: id, conn: conn, deadline: h.now + policy.Tenths(expiresMS)*10, body: "offer of " + id + h.nextBody}
	h.nextBody = ""
	h.calls[id], h.order = call, append(h.order, id)
	h.agent.FromCaller(h.now, h.now, conn, invite(id, "voice", expiresMS, fmt.Sprintf("dest:%d;width:1;via:-1", dest), call.body))
	h.answerPending()
	return call
}

// answer lets a switch answer the try of a call that is out; header fields follow in pairs.
func (h *harness) answer(call *observedCall, status int, fields ...string) {
	msg := &sip.Message{Status: status, CallID: call.id, CSeq: 1, CSeqMethod: sip.Invite} // the CSeq of the set-up does not matter
	for i := 0; i < len(fields); i += 2 {
		msg.Fields = append(msg.Fields, sip.Field{Name: fields[i], Value: fields[i+1]})
	}
	conn := call.tryConn
	if call.tryConn = 0; status == sip.OK {
		call.establishedAt, call.establishedConn, call.answerBody = call.trySwitch, conn, "answer to "+call.id
		call.answeredAt = h.now
		msg.Body = []byte(call.answerBody)
	}
	if status == sip.ServerTimeout {
		call.notBefore = h.now + releaseTime
	}
	h.agent.FromSwitch(h.now, conn, msg)
	h.answerPending()
}

func (h *harness) newRelease(id string, cause int) *sip.Message {
	msg := siptest.Release(id, cause)
	return &msg
}

// Write checks every message that the agent sends.
func (h *harness) Write(to ConnID, msg *sip.Message) {
	h.sentMessages = append(h.sentMessages, sentMessage{to, *msg})
	if h.unwritten[to] {
		h.backlogs[to] += len(sip.Append(nil, msg))
	}
	if msg.Method == sip.Options {
		h.keepalives = append(h.keepalives, sentMessage{to, *msg})
	}
	if _, isLink := h.links[to]; !isLink && msg.CSeqMethod == sip.Invite && msg.Status >= 200 {
		h.unacknowledgedAnswers = append(h.unacknowledgedAnswers, sentMessage{to, *msg})
	}
	call := h.calls[msg.CallID]
	if call == nil {
		return
	}
	if switchID, ok := h.links[to]; ok {
		h.checkSwitchMessage(call, to, switchID, msg)
		return
	}
	switch {
	case to != call.conn && msg.Status >= 400: // another caller used its id
	case msg.CSeqMethod == sip.Invite && msg.Status >= 200:
		if call.answers++; call.answers > 1 || call.abandoned || to != call.conn || h.now > call.deadline {
			h.t.Fatalf("call %s: answer %d with status %d, abandoned %v, %d past its deadline", call.id, call.answers, msg.Status, call.abandoned, h.now-call.deadline)
		}
		if msg.Status == sip.OK {
			if call.answered = true; call.establishedAt == 0 || string(msg.Body) != call.answerBody {
				h.t.Fatalf("call %s: answered with %q, which no switch sent", call.id, msg.Body)
			}
		}
	case msg.Method == sip.Bye:
		call.callerReleases++
		if !call.answered || call.releaseAnswered || call.callerEnded || call.releaseConns[to] || call.callerReleases > h.copiesAllowed(call, to) {
			h.t.Fatalf("call %s: release %d, on connection %d, of a call that is not established for its caller, or too soon: %d after the first, %+v, unresponsive %v, acknowledged %v", call.id, call.callerReleases, to, h.now-call.releasedAt, *call, h.unresponsive, h.acknowledged)
		}
		if call.callerReleases == 1 {
			call.releasedAt, call.releaseConns = h.now, map[ConnID]bool{}
		}
		call.releaseConns[to], call.releasedOn = true, to
		h.unansweredReleases = append(h.unansweredReleases, sentMessage{to, *msg})
	}
}

// copiesAllowed returns how many copies of a release may have been written, including the next one on a
// connection: twice as many with each wait for an answer, one more for each connection that ended, one more if a
// caller with a copy answers nothing, and one each if only the next connection has acknowledged or sent a set-up.
func (h *harness) copiesAllowed(call *observedCall, next ConnID) int {
	if call.callerReleases == 1 {
		return 1
	}
	allowed := call.extraCopies + 1<<min(4, (h.now-call.releasedAt)/releaseRoundInterval)
	unresponsive, acknowledged, setUpSeen := false, false, false
	for conn := range call.releaseConns {
		setUpSeen = setUpSeen || h.setUpConns[conn]
		unresponsive = unresponsive || h.unresponsive[conn]
		acknowledged = acknowledged || h.acknowledged[conn]
	}
	if unresponsive {
		allowed++
	}
	if !acknowledged && h.acknowledged[next] {
		allowed++
	}
	if !setUpSeen && h.setUpConns[next] {
		allowed++
	}
	if h.now-call.releasedAt >= releaseRoundInterval { // and every connection that comes after the first round
		allowed = maxRoundCopies + maxOfferedCopies
	}
	return min(maxRoundCopies+maxOfferedCopies+maxProvedCopies, allowed)
}

// checkReleasedInTime checks that callers that read, and were connected when their call was released, receive the
// release in time.
func (h *harness) checkReleasedInTime() {
	for _, id := range h.order {
		call := h.calls[id]
		if call.endedAt == 0 || !call.answered || call.releaseAnswered || call.callerEnded || h.now-call.endedAt < callerReleaseLimit {
			continue
		}
		for _, conn := range h.callers {
			if !h.unresponsive[conn] && h.openedAt[conn] <= call.endedAt {
				h.t.Fatalf("call %s ended %d ago, and connection %d, which reads, received no release", id, h.now-call.endedAt, conn)
			}
		}
	}
}

func (h *harness) checkSwitchMessage(call *observedCall, conn ConnID, switchID uint32, msg *sip.Message) {
	switch msg.Method {
	case sip.Invite:
		switch {
		case call.tryConn != 0:
			h.t.Fatalf("call %s: two tries out at once", call.id)
		case h.now < call.notBefore:
			h.t.Fatalf("call %s: retried %d before the release time has passed", call.id, call.notBefore-h.now)
		case h.unavailable[switchID]:
			h.t.Fatalf("call %s: sent to switch %d, which is draining or gone", call.id, switchID)
		case call.answers > 0 || call.abandoned || string(msg.Body) != call.body:
			h.t.Fatalf("call %s: sent although ended, or with %q", call.id, msg.Body)
		}
		call.tryConn, call.trySwitch, call.trySeq = conn, switchID, msg.CSeq
		if h.onSetUp != nil {
			h.onSetUp(switchID)
		}
	case sip.Cancel:
		if call.tryConn == conn && msg.CSeq == call.trySeq {
			call.abandonedTries = append(call.abandonedTries, abandonedTryRef{conn, switchID, msg.CSeq})
			call.recordEarlierTry(switchID)
			call.tryConn, call.notBefore = 0, h.now+releaseTime
		}
	case sip.Bye:
		delete(call.earlierTries, switchID)
		delete(call.orphanedTries, switchID)
		if call.tryConn != 0 && call.trySwitch == switchID {
			h.t.Fatalf("call %s: a release is written to switch %d while a try is out there", call.id, switchID)
		}
		if call.establishedAt == switchID {
			if call.answered && !call.callerEnded && call.callerReleases == 0 && !call.earlierTryReleased && !h.releaseMayBeLost(call) {
				h.t.Fatalf("call %s: disconnected although established and not ended by either side", call.id)
			}
			call.establishedAt = 0
			call.switchReleases++
		}
	}
}

// releaseMayBeLost reports whether the switch of a call may have written its release on connections that were lost and on
// no other: its own connection is closed or silent, and another one that opened later was lost before anything showed
// that it was read.
func (h *harness) releaseMayBeLost(call *observedCall) bool {
	if _, open := h.links[call.establishedConn]; open && !h.silent[call.establishedConn] {
		return false
	}
	lostAt := h.lostOpenings[call.establishedAt]
	for conn, openedAt := range h.unreadOpenings {
		if h.links[conn] == call.establishedAt && h.silent[conn] {
			lostAt = max(lostAt, openedAt)
		}
	}
	return lostAt > call.answeredAt
}

// Close closes a connection.
func (h *harness) Close(conn ConnID, reason string) {
	h.closed[conn] = reason
	if _, ok := h.links[conn]; ok {
		h.forgetLink(conn)
		return
	}
	h.forgetCaller(conn)
}

func (h *harness) Dial(switchID, dialID uint32, address string) {
	h.dials = append(h.dials, dialRequest{switchID, dialID, address})
}
func (h *harness) Abandoned(caller ConnID, callID string) bool { return h.abandonedIDs[callID] }
func (h *harness) Unhandled(caller ConnID) bool                { return h.unhandled[caller] }
func (h *harness) Backlog(conn ConnID) int                     { return h.backlogs[conn] }
func (h *harness) Log(text string)                             { h.logged = append(h.logged, text) }

func (h *harness) Record(record Record) { h.records = append(h.records, record) }

// sentTo lists the messages to a connection by method or status.
func (h *harness) sentTo(to ConnID) string {
	var names []string
	for _, sent := range h.sentMessages {
		if sent.to == to {
			if sent.message.Status != 0 {
				names = append(names, fmt.Sprint(sent.message.Status))
			} else {
				names = append(names, sent.message.Method)
			}
		}
	}
	return strings.Join(names, " ")
}

// copyCount returns the number of copies that the queue counts, of all classes.
func (q *releaseQueue) copyCount() (total int) {
	for _, copies := range q.copies {
		total += copies
	}
	return total
}
