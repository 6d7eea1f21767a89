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

func (k *observedCall) noteEarlierTry(sw uint32) {
	if k.earlierTries == nil {
		k.earlierTries, k.orphanedTries = map[uint32]bool{}, map[uint32]bool{}
	}
	k.earlierTries[sw] = true
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
	abandonedIDs          map[string]bool          // ids whose callers have left without an event to the agent
	onSetUp               func(sw uint32)          // called for each set-up to a switch
	acknowledged          map[ConnID]bool          // callers on these have acknowledged an answer
	unresponsive          map[ConnID]bool          // callers on these answer no release
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

func newHarnessWithBounds(t testReporter, b Bounds) *harness {
	r := &harness{t: t, now: 17e12, calls: map[string]*observedCall{}, links: map[ConnID]uint32{}, unavailable: map[uint32]bool{}, closed: map[ConnID]string{}, silent: map[ConnID]bool{}, unresponsive: map[ConnID]bool{}, abandonedIDs: map[string]bool{}, openedAt: map[ConnID]policy.Tenths{}, setUpConns: map[ConnID]bool{}, acknowledged: map[ConnID]bool{}}
	r.agent = New(testSettings(), b, r, r.now,
		func(d policy.Deployment, x policy.Executor, now policy.Tenths) exchange.Decider {
			return policy.New(d, x, now)
		})
	r.updateSwitches(true, board.Switch{ID: 0, Cell: 0, Address: "10.0.0.1:1"}, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1"},
		board.Switch{ID: 2, Cell: 2, Address: "10.0.0.3:1"}, board.Switch{ID: 3, Cell: 3, Address: "10.0.0.4:1"})
	return r
}

func (r *harness) updateSwitches(whole bool, s ...board.Switch) {
	r.version++
	if whole { // switches that are not listed are gone
		for id := range r.unavailable {
			r.unavailable[id] = true
		}
	}
	for _, e := range s {
		r.unavailable[e.ID] = e.State != board.Ready
	}
	r.agent.UpdateSwitches(r.now, board.Event{Number: r.version, Complete: whole, Switches: s})
}

// advanceTime lets time pass and runs the agent's timers.
func (r *harness) advanceTime(span policy.Tenths) {
	until := r.now + span
	for next := r.agent.NextTick(); next <= until; next = r.agent.NextTick() {
		r.answerPending()
		r.now = max(r.now, next)
		r.agent.Tick(r.now, 0)
		asked := r.keepalives
		r.keepalives = nil
		for _, w := range asked {
			if _, open := r.links[w.to]; open && !r.silent[w.to] {
				m := w.message.Response(sip.OK)
				r.agent.FromSwitch(r.now, w.to, &m)
			}
		}
	}
	r.now = until
	r.answerPending()
	r.checkReleasedInTime()
}

// answerPending lets callers answer the releases and acknowledge the answers that they have received.
func (r *harness) answerPending() {
	for len(r.unacknowledgedAnswers) > 0 {
		w := r.unacknowledgedAnswers[0]
		r.unacknowledgedAnswers = r.unacknowledgedAnswers[1:]
		if slices.Contains(r.callers, w.to) && !r.unresponsive[w.to] {
			r.acknowledged[w.to] = true
			r.agent.FromCaller(r.now, r.now, w.to, &sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: w.message.CallID, CSeq: w.message.CSeq})
		}
	}
	for len(r.unansweredReleases) > 0 {
		w := r.unansweredReleases[0]
		r.unansweredReleases = r.unansweredReleases[1:]
		if slices.Contains(r.callers, w.to) && !r.unresponsive[w.to] {
			r.calls[w.message.CallID].releaseAnswered = true
			m := w.message.Response(sip.OK)
			r.agent.FromCaller(r.now, r.now, w.to, &m)
		}
	}
}

func (r *harness) newConn() ConnID { r.lastConn++; return r.lastConn }

func (r *harness) connectCaller() ConnID {
	c := r.newConn()
	r.callers, r.openedAt[c] = append(r.callers, c), r.now
	if !r.agent.CallerConnected(r.now, c) {
		r.forgetCaller(c)
	}
	return c
}

func (r *harness) forgetCaller(c ConnID) {
	if i := slices.Index(r.callers, c); i >= 0 {
		r.callers = slices.Delete(r.callers, i, i+1)
	}
	for _, id := range r.order {
		k := r.calls[id]
		if k.conn == c && k.answers == 0 {
			k.abandoned = true
		}
		if k.releaseConns[c] { // the caller may not have read it
			k.extraCopies++
		}
		if k.releasedOn == c {
			k.releasedOn = 0
		}
	}
}

func (r *harness) disconnectCaller(c ConnID) {
	r.forgetCaller(c)
	r.agent.CallerDisconnected(r.now, c)
}

func (r *harness) completeDial(refused, up bool) ConnID {
	d := r.dials[0]
	r.dials = r.dials[1:]
	if !up {
		r.agent.DialDone(r.now, d.switchID, d.dialID, 0, refused)
		return 0
	}
	c := r.newConn()
	r.links[c] = d.switchID
	r.linkOrder = append(r.linkOrder, c)
	r.agent.DialDone(r.now, d.switchID, d.dialID, c, false)
	return c
}

// completeDials completes every dial, and reports the state of each group.
func (r *harness) completeDials(free, size int) {
	for len(r.dials) > 0 {
		if c := r.completeDial(false, true); r.closed[c] == "" {
			r.reportCircuits(c, free, size)
		}
	}
}

func (r *harness) reportCircuits(c ConnID, free, size int) {
	m := siptest.LoadReport(free, size)
	r.agent.FromSwitch(r.now, c, &m)
}

func (r *harness) disconnectLink(c ConnID) {
	r.forgetLink(c)
	r.agent.SwitchDisconnected(r.now, c, false)
}

func (r *harness) forgetLink(c ConnID) {
	delete(r.links, c)
	if i := slices.Index(r.linkOrder, c); i >= 0 {
		r.linkOrder = slices.Delete(r.linkOrder, i, i+1)
	}
	for _, id := range r.order {
		if k := r.calls[id]; k.tryConn == c {
			k.tryConn, k.notBefore = 0, r.now+releaseTime
			k.noteEarlierTry(k.trySwitch)
		}
	}
}

func invite(id, class string, expiresMS int, info string, body string) *sip.Message {
	m := siptest.SetUp(id, class, expiresMS, info, body)
	return &m
}

func (r *harness) sendSetUp(c ConnID, dest int, expiresMS int) *observedCall {
	id := fmt.Sprintf("%016x", 1000+len(r.order))
	r.setUpConns[c] = true
	k := &observedCall{id: id, conn: c, deadline: r.now + policy.Tenths(expiresMS)*10, body: "offer of " + id}
	r.calls[id], r.order = k, append(r.order, id)
	r.agent.FromCaller(r.now, r.now, c, invite(id, "voice", expiresMS, fmt.Sprintf("dest:%d;width:1;via:-1", dest), k.body))
	r.answerPending()
	return k
}

// answer lets a switch answer the try of a call that is out; header fields follow in pairs.
func (r *harness) answer(k *observedCall, status int, fields ...string) {
	m := &sip.Message{Status: status, CallID: k.id, CSeq: 1, CSeqMethod: sip.Invite} // the CSeq of the set-up does not matter
	for i := 0; i < len(fields); i += 2 {
		m.Fields = append(m.Fields, sip.Field{Name: fields[i], Value: fields[i+1]})
	}
	on := k.tryConn
	if k.tryConn = 0; status == sip.OK {
		k.establishedAt, k.establishedConn, k.answerBody = k.trySwitch, on, "answer to "+k.id
		m.Body = []byte(k.answerBody)
	}
	if status == sip.ServerTimeout {
		k.notBefore = r.now + releaseTime
	}
	r.agent.FromSwitch(r.now, on, m)
	r.answerPending()
}

func (r *harness) newRelease(id string, cause int) *sip.Message {
	m := siptest.Release(id, cause)
	return &m
}

// Write checks every message that the agent sends.
func (r *harness) Write(to ConnID, m *sip.Message) {
	r.sentMessages = append(r.sentMessages, sentMessage{to, *m})
	if m.Method == sip.Options {
		r.keepalives = append(r.keepalives, sentMessage{to, *m})
	}
	if _, link := r.links[to]; !link && m.CSeqMethod == sip.Invite && m.Status >= 200 {
		r.unacknowledgedAnswers = append(r.unacknowledgedAnswers, sentMessage{to, *m})
	}
	k := r.calls[m.CallID]
	if k == nil {
		return
	}
	if sw, ok := r.links[to]; ok {
		r.checkSwitchMessage(k, to, sw, m)
		return
	}
	switch {
	case to != k.conn && m.Status >= 400: // another caller used its id
	case m.CSeqMethod == sip.Invite && m.Status >= 200:
		if k.answers++; k.answers > 1 || k.abandoned || to != k.conn || r.now > k.deadline {
			r.t.Fatalf("call %s: answer %d with status %d, left %v, %d past its time", k.id, k.answers, m.Status, k.abandoned, r.now-k.deadline)
		}
		if m.Status == sip.OK {
			if k.answered = true; k.establishedAt == 0 || string(m.Body) != k.answerBody {
				r.t.Fatalf("call %s: answered with %q, which no switch sent", k.id, m.Body)
			}
		}
	case m.Method == sip.Bye:
		k.callerReleases++
		if !k.answered || k.releaseAnswered || k.callerEnded || k.releaseConns[to] || k.callerReleases > r.copiesAllowed(k, to) {
			r.t.Fatalf("call %s: release %d, on connection %d, of a call that is not established for its caller, or too soon: %d after the first, %+v, deaf %v, acked %v", k.id, k.callerReleases, to, r.now-k.releasedAt, *k, r.unresponsive, r.acknowledged)
		}
		if k.callerReleases == 1 {
			k.releasedAt, k.releaseConns = r.now, map[ConnID]bool{}
		}
		k.releaseConns[to], k.releasedOn = true, to
		r.unansweredReleases = append(r.unansweredReleases, sentMessage{to, *m})
	}
}

// copiesAllowed returns how many copies of a release may have been written, including the next one on a
// connection: twice as many with each wait for an answer, one more for each connection that ended, one more if a
// caller with a copy answers nothing, and one each if only the next connection has acknowledged or sent a set-up.
func (r *harness) copiesAllowed(k *observedCall, next ConnID) int {
	if k.callerReleases == 1 {
		return 1
	}
	allowed := k.extraCopies + 1<<min(4, (r.now-k.releasedAt)/releaseRoundInterval)
	deaf, acked, asked := false, false, false
	for c := range k.releaseConns {
		asked = asked || r.setUpConns[c]
		deaf = deaf || r.unresponsive[c]
		acked = acked || r.acknowledged[c]
	}
	if deaf {
		allowed++
	}
	if !acked && r.acknowledged[next] {
		allowed++
	}
	if !asked && r.setUpConns[next] {
		allowed++
	}
	if r.now-k.releasedAt >= releaseRoundInterval { // and every connection that comes after the first round
		allowed = maxRoundCopies + maxOfferedCopies
	}
	return min(maxRoundCopies+maxOfferedCopies+maxProvedCopies, allowed)
}

// checkReleasedInTime checks that callers that read, and were connected when their call was released, receive the
// release in time.
func (r *harness) checkReleasedInTime() {
	for _, id := range r.order {
		k := r.calls[id]
		if k.endedAt == 0 || !k.answered || k.releaseAnswered || k.callerEnded || r.now-k.endedAt < callerReleaseLimit {
			continue
		}
		for _, c := range r.callers {
			if !r.unresponsive[c] && r.openedAt[c] <= k.endedAt {
				r.t.Fatalf("call %s ended %d ago, and connection %d, which reads, received no release", id, r.now-k.endedAt, c)
			}
		}
	}
}

func (r *harness) checkSwitchMessage(k *observedCall, on ConnID, sw uint32, m *sip.Message) {
	switch m.Method {
	case sip.Invite:
		switch {
		case k.tryConn != 0:
			r.t.Fatalf("call %s: two tries out at once", k.id)
		case r.now < k.notBefore:
			r.t.Fatalf("call %s: retried %d before the release time has passed", k.id, k.notBefore-r.now)
		case r.unavailable[sw]:
			r.t.Fatalf("call %s: sent to switch %d, which is draining or gone", k.id, sw)
		case k.answers > 0 || k.abandoned || string(m.Body) != k.body:
			r.t.Fatalf("call %s: sent although over, or with %q", k.id, m.Body)
		}
		k.tryConn, k.trySwitch, k.trySeq = on, sw, m.CSeq
		if r.onSetUp != nil {
			r.onSetUp(sw)
		}
	case sip.Cancel:
		if k.tryConn == on && m.CSeq == k.trySeq {
			k.abandonedTries = append(k.abandonedTries, abandonedTryRef{on, sw, m.CSeq})
			k.noteEarlierTry(sw)
			k.tryConn, k.notBefore = 0, r.now+releaseTime
		}
	case sip.Bye:
		delete(k.earlierTries, sw)
		delete(k.orphanedTries, sw)
		if k.tryConn != 0 && k.trySwitch == sw {
			r.t.Fatalf("call %s: a release is written to switch %d while a try is out there", k.id, sw)
		}
		if k.establishedAt == sw {
			if k.answered && !k.callerEnded && k.callerReleases == 0 && !k.earlierTryReleased {
				r.t.Fatalf("call %s: disconnected although established and not ended by either side", k.id)
			}
			k.establishedAt = 0
			k.switchReleases++
		}
	}
}

// Close closes a connection.
func (r *harness) Close(c ConnID, why string) {
	r.closed[c] = why
	if _, ok := r.links[c]; ok {
		r.forgetLink(c)
		return
	}
	r.forgetCaller(c)
}

func (r *harness) Dial(sw, ticket uint32, address string) {
	r.dials = append(r.dials, dialRequest{sw, ticket, address})
}
func (r *harness) Abandoned(caller ConnID, callID string) bool { return r.abandonedIDs[callID] }
func (r *harness) Note(text string)                            { r.logged = append(r.logged, text) }

func (r *harness) Record(e Record) { r.records = append(r.records, e) }

// sentTo lists the messages to a connection by method or status.
func (r *harness) sentTo(to ConnID) string {
	var all []string
	for _, w := range r.sentMessages {
		if w.to == to {
			if w.message.Status != 0 {
				all = append(all, fmt.Sprint(w.message.Status))
			} else {
				all = append(all, w.message.Method)
			}
		}
	}
	return strings.Join(all, " ")
}
