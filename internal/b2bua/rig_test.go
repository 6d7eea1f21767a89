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
type fatalist interface {
	Helper()
	Fatalf(format string, args ...any)
}

type dialAsked struct {
	sw, ticket uint32
	address    string
}

// heardOf is what the two sides observed of one call. It is the reference model: every rule is checked on messages
// alone.
type heardOf struct {
	id, caller      string
	on              Conn
	deadline        policy.Tenths
	answers         int
	stood           bool // the caller received the answer
	left            bool
	callerReleased  int
	heardRelease    bool          // the caller has answered the release
	overAt          policy.Tenths // when its switch released it
	releasedOn      Conn          // where the caller was last released, 0 once that connection ended
	releasedAt      policy.Tenths // when it was first released
	bears           map[Conn]bool // connections on which the release was written
	excused         int           // further copies that were allowed at once, as their connection ended
	callerEnded     bool          // the caller released it
	tryOn           Conn          // connection of the try that is out
	trySwitch       uint32
	trySeq          uint32
	notBefore       policy.Tenths
	standsAt        uint32 // the switch that holds it
	standsOn        Conn
	switchReleased  int
	given           []givenUp
	ran             map[uint32]bool // an earlier try may have been carried out there, and be released by that switch
	strays          map[uint32]bool // an earlier try was answered late and is established there
	eitherReleased  bool            // a switch released an earlier try where the call is established
	body, switchSDP string
}

type givenUp struct {
	on  Conn
	sw  uint32
	seq uint32
}

func (k *heardOf) mayHaveRun(sw uint32) {
	if k.ran == nil {
		k.ran, k.strays = map[uint32]bool{}, map[uint32]bool{}
	}
	k.ran[sw] = true
}

// rig is a test harness: an agent with the real policy, and both sides played by the test.
type rig struct {
	t         fatalist
	a         *Agent
	now       policy.Tenths
	calls     map[string]*heardOf
	order     []string
	callers   []Conn
	links     map[Conn]uint32
	linkSeq   []Conn
	dials     []dialAsked
	drained   map[uint32]bool
	names     Conn
	closed    map[Conn]string
	notes     []string
	records   []Record
	wrote     []written
	version   uint64
	silent    map[Conn]bool          // peers that send nothing any more
	asked     []written              // keepalives that are unanswered
	byes      []written              // releases that callers have not answered yet
	finals    []written              // answers that callers have not acknowledged
	offeredOn map[Conn]bool          // connections on which set-ups came
	openedAt  map[Conn]policy.Tenths // callers' connections
	gone      map[string]bool        // ids whose callers have left without an event to the agent
	onSend    func(sw uint32)        // called for each set-up to a switch
	acked     map[Conn]bool          // callers on these have acknowledged an answer
	deaf      map[Conn]bool          // callers on these answer no release
}

type written struct {
	to Conn
	m  sip.Message
}

func settled() deployment.Settings {
	return deployment.Settings{BearerNames: []string{"voice", "fax"}, MaxOpenCalls: 100, MaxTriesPerConn: 1000, DialTimeout: 5000,
		Policy: policy.Deployment{Seed: 7, OwnExchange: 0, MaxTries: 4, ReleaseTime: releaseTime, MaxRetryAfter: 20000, CancelsAllowed: true,
			DrainGrace: 2500, InitialCapacity: 0.3, RampTime: 140000, OverloadMultiple: 3, OverloadWindow: 15000,
			Bearers: []policy.Bearer{{Revenue: 1, LateShare: 0.1, GoSTarget: 3000, AbandonTime: 30000},
				{Revenue: 5, LateShare: 0.25, GoSTarget: 3000, AbandonTime: 20000}}}}
}

func newRig(t fatalist) *rig {
	return newRigWithin(t, Bounds{Calls: 50, Octets: 1 << 16, Callers: 6, Links: 12})
}

func newRigWithin(t fatalist, b Bounds) *rig {
	r := &rig{t: t, now: 17e12, calls: map[string]*heardOf{}, links: map[Conn]uint32{}, drained: map[uint32]bool{}, closed: map[Conn]string{}, silent: map[Conn]bool{}, deaf: map[Conn]bool{}, gone: map[string]bool{}, openedAt: map[Conn]policy.Tenths{}, offeredOn: map[Conn]bool{}, acked: map[Conn]bool{}}
	r.a = New(settled(), b, r, r.now,
		func(d policy.Deployment, x policy.Executor, now policy.Tenths) exchange.Decider {
			return policy.New(d, x, now)
		})
	r.list(true, board.Switch{ID: 0, Cell: 0, Address: "10.0.0.1:1"}, board.Switch{ID: 1, Cell: 1, Address: "10.0.0.2:1"},
		board.Switch{ID: 2, Cell: 2, Address: "10.0.0.3:1"}, board.Switch{ID: 3, Cell: 3, Address: "10.0.0.4:1"})
	return r
}

func (r *rig) list(whole bool, s ...board.Switch) {
	r.version++
	if whole { // switches that are not listed are gone
		for id := range r.drained {
			r.drained[id] = true
		}
	}
	for _, e := range s {
		r.drained[e.ID] = e.State != board.Ready
	}
	r.a.Listed(r.now, board.Event{Number: r.version, Complete: whole, Switches: s})
}

// pass lets time pass and runs the agent's timers.
func (r *rig) pass(span policy.Tenths) {
	until := r.now + span
	for next := r.a.Next(); next <= until; next = r.a.Next() {
		r.hear()
		r.now = max(r.now, next)
		r.a.Tick(r.now, 0)
		asked := r.asked
		r.asked = nil
		for _, w := range asked {
			if _, open := r.links[w.to]; open && !r.silent[w.to] {
				m := w.m.Response(sip.OK)
				r.a.FromSwitch(r.now, w.to, &m)
			}
		}
	}
	r.now = until
	r.hear()
	r.wantToldInTime()
}

// hear lets callers answer the releases and acknowledge the answers that they have received.
func (r *rig) hear() {
	for len(r.finals) > 0 {
		w := r.finals[0]
		r.finals = r.finals[1:]
		if slices.Contains(r.callers, w.to) && !r.deaf[w.to] {
			r.acked[w.to] = true
			r.a.FromCaller(r.now, r.now, w.to, &sip.Message{Method: sip.Ack, URI: "sip:x@net", CallID: w.m.CallID, CSeq: w.m.CSeq})
		}
	}
	for len(r.byes) > 0 {
		w := r.byes[0]
		r.byes = r.byes[1:]
		if slices.Contains(r.callers, w.to) && !r.deaf[w.to] {
			r.calls[w.m.CallID].heardRelease = true
			m := w.m.Response(sip.OK)
			r.a.FromCaller(r.now, r.now, w.to, &m)
		}
	}
}

func (r *rig) name() Conn { r.names++; return r.names }

func (r *rig) callerUp() Conn {
	c := r.name()
	r.callers, r.openedAt[c] = append(r.callers, c), r.now
	if !r.a.CallerUp(r.now, c) {
		r.drop(c)
	}
	return c
}

func (r *rig) drop(c Conn) {
	if i := slices.Index(r.callers, c); i >= 0 {
		r.callers = slices.Delete(r.callers, i, i+1)
	}
	for _, id := range r.order {
		k := r.calls[id]
		if k.on == c && k.answers == 0 {
			k.left = true
		}
		if k.bears[c] { // the caller may not have read it
			k.excused++
		}
		if k.releasedOn == c {
			k.releasedOn = 0
		}
	}
}

func (r *rig) callerDown(c Conn) {
	r.drop(c)
	r.a.CallerDown(r.now, c)
}

func (r *rig) dial(refused, up bool) Conn {
	d := r.dials[0]
	r.dials = r.dials[1:]
	if !up {
		r.a.Dialled(r.now, d.sw, d.ticket, 0, refused)
		return 0
	}
	c := r.name()
	r.links[c] = d.sw
	r.linkSeq = append(r.linkSeq, c)
	r.a.Dialled(r.now, d.sw, d.ticket, c, false)
	return c
}

// dialAll completes every dial, and reports the state of each group.
func (r *rig) dialAll(free, size int) {
	for len(r.dials) > 0 {
		if c := r.dial(false, true); r.closed[c] == "" {
			r.notify(c, free, size)
		}
	}
}

func (r *rig) notify(c Conn, free, size int) {
	m := siptest.LoadReport(free, size)
	r.a.FromSwitch(r.now, c, &m)
}

func (r *rig) linkDown(c Conn) {
	r.forgetLink(c)
	r.a.LinkDown(r.now, c, false)
}

func (r *rig) forgetLink(c Conn) {
	delete(r.links, c)
	if i := slices.Index(r.linkSeq, c); i >= 0 {
		r.linkSeq = slices.Delete(r.linkSeq, i, i+1)
	}
	for _, id := range r.order {
		if k := r.calls[id]; k.tryOn == c {
			k.tryOn, k.notBefore = 0, r.now+releaseTime
			k.mayHaveRun(k.trySwitch)
		}
	}
}

func invite(id, class string, expiresMS int, info string, body string) *sip.Message {
	m := siptest.SetUp(id, class, expiresMS, info, body)
	return &m
}

func (r *rig) offer(c Conn, dest int, expiresMS int) *heardOf {
	id := fmt.Sprintf("%016x", 1000+len(r.order))
	r.offeredOn[c] = true
	k := &heardOf{id: id, on: c, deadline: r.now + policy.Tenths(expiresMS)*10, body: "offer of " + id}
	r.calls[id], r.order = k, append(r.order, id)
	r.a.FromCaller(r.now, r.now, c, invite(id, "voice", expiresMS, fmt.Sprintf("dest:%d;width:1;via:-1", dest), k.body))
	r.hear()
	return k
}

// answer lets a switch answer the try of a call that is out; header fields follow in pairs.
func (r *rig) answer(k *heardOf, status int, fields ...string) {
	m := &sip.Message{Status: status, CallID: k.id, CSeq: 1, CSeqMethod: sip.Invite} // the CSeq of the set-up does not matter
	for i := 0; i < len(fields); i += 2 {
		m.Fields = append(m.Fields, sip.Field{Name: fields[i], Value: fields[i+1]})
	}
	on := k.tryOn
	if k.tryOn = 0; status == sip.OK {
		k.standsAt, k.standsOn, k.switchSDP = k.trySwitch, on, "answer to "+k.id
		m.Body = []byte(k.switchSDP)
	}
	if status == sip.ServerTimeout {
		k.notBefore = r.now + releaseTime
	}
	r.a.FromSwitch(r.now, on, m)
	r.hear()
}

func (r *rig) bye(id string, cause int) *sip.Message {
	m := siptest.Release(id, cause)
	return &m
}

// Write checks every message that the agent sends.
func (r *rig) Write(to Conn, m *sip.Message) {
	r.wrote = append(r.wrote, written{to, *m})
	if m.Method == sip.Options {
		r.asked = append(r.asked, written{to, *m})
	}
	if _, link := r.links[to]; !link && m.CSeqMethod == sip.Invite && m.Status >= 200 {
		r.finals = append(r.finals, written{to, *m})
	}
	k := r.calls[m.CallID]
	if k == nil {
		return
	}
	if sw, ok := r.links[to]; ok {
		r.toSwitch(k, to, sw, m)
		return
	}
	switch {
	case to != k.on && m.Status >= 400: // another caller used its id
	case m.CSeqMethod == sip.Invite && m.Status >= 200:
		if k.answers++; k.answers > 1 || k.left || to != k.on || r.now > k.deadline {
			r.t.Fatalf("call %s: answer %d with status %d, left %v, %d past its time", k.id, k.answers, m.Status, k.left, r.now-k.deadline)
		}
		if m.Status == sip.OK {
			if k.stood = true; k.standsAt == 0 || string(m.Body) != k.switchSDP {
				r.t.Fatalf("call %s: answered with %q, which no switch sent", k.id, m.Body)
			}
		}
	case m.Method == sip.Bye:
		k.callerReleased++
		if !k.stood || k.heardRelease || k.callerEnded || k.bears[to] || k.callerReleased > r.copiesAllowed(k, to) {
			r.t.Fatalf("call %s: release %d, on connection %d, of a call that is not established for its caller, or too soon: %d after the first, %+v, deaf %v, acked %v", k.id, k.callerReleased, to, r.now-k.releasedAt, *k, r.deaf, r.acked)
		}
		if k.callerReleased == 1 {
			k.releasedAt, k.bears = r.now, map[Conn]bool{}
		}
		k.bears[to], k.releasedOn = true, to
		r.byes = append(r.byes, written{to, *m})
	}
}

// copiesAllowed returns how many copies of a release may have been written, including the next one on a
// connection: twice as many with each wait for an answer, one more for each connection that ended, one more if a
// caller with a copy answers nothing, and one each if only the next connection has acknowledged or sent a set-up.
func (r *rig) copiesAllowed(k *heardOf, next Conn) int {
	if k.callerReleased == 1 {
		return 1
	}
	allowed := k.excused + 1<<min(4, (r.now-k.releasedAt)/copyEvery)
	deaf, acked, asked := false, false, false
	for c := range k.bears {
		asked = asked || r.offeredOn[c]
		deaf = deaf || r.deaf[c]
		acked = acked || r.acked[c]
	}
	if deaf {
		allowed++
	}
	if !acked && r.acked[next] {
		allowed++
	}
	if !asked && r.offeredOn[next] {
		allowed++
	}
	if r.now-k.releasedAt >= copyEvery { // and every connection that comes after the first round
		allowed = copiesMost + offersMost
	}
	return min(copiesMost+offersMost+provedMost, allowed)
}

// wantToldInTime checks that callers that read, and were connected when their call was released, receive the
// release in time.
func (r *rig) wantToldInTime() {
	for _, id := range r.order {
		k := r.calls[id]
		if k.overAt == 0 || !k.stood || k.heardRelease || k.callerEnded || r.now-k.overAt < tellWithin {
			continue
		}
		for _, c := range r.callers {
			if !r.deaf[c] && r.openedAt[c] <= k.overAt {
				r.t.Fatalf("call %s ended %d ago, and connection %d, which reads, received no release", id, r.now-k.overAt, c)
			}
		}
	}
}

func (r *rig) toSwitch(k *heardOf, on Conn, sw uint32, m *sip.Message) {
	switch m.Method {
	case sip.Invite:
		switch {
		case k.tryOn != 0:
			r.t.Fatalf("call %s: two tries out at once", k.id)
		case r.now < k.notBefore:
			r.t.Fatalf("call %s: retried %d before the release time has passed", k.id, k.notBefore-r.now)
		case r.drained[sw]:
			r.t.Fatalf("call %s: sent to switch %d, which is draining or gone", k.id, sw)
		case k.answers > 0 || k.left || string(m.Body) != k.body:
			r.t.Fatalf("call %s: sent although over, or with %q", k.id, m.Body)
		}
		k.tryOn, k.trySwitch, k.trySeq = on, sw, m.CSeq
		if r.onSend != nil {
			r.onSend(sw)
		}
	case sip.Cancel:
		if k.tryOn == on && m.CSeq == k.trySeq {
			k.given = append(k.given, givenUp{on, sw, m.CSeq})
			k.mayHaveRun(sw)
			k.tryOn, k.notBefore = 0, r.now+releaseTime
		}
	case sip.Bye:
		delete(k.ran, sw)
		delete(k.strays, sw)
		if k.tryOn != 0 && k.trySwitch == sw {
			r.t.Fatalf("call %s: a release is written to switch %d while a try is out there", k.id, sw)
		}
		if k.standsAt == sw {
			if k.stood && !k.callerEnded && k.callerReleased == 0 && !k.eitherReleased {
				r.t.Fatalf("call %s: disconnected although established and not ended by either side", k.id)
			}
			k.standsAt = 0
			k.switchReleased++
		}
	}
}

// Close closes a connection.
func (r *rig) Close(c Conn, why string) {
	r.closed[c] = why
	if _, ok := r.links[c]; ok {
		r.forgetLink(c)
		return
	}
	r.drop(c)
}

func (r *rig) Dial(sw, ticket uint32, address string) {
	r.dials = append(r.dials, dialAsked{sw, ticket, address})
}
func (r *rig) Left(caller Conn, callID string) bool { return r.gone[callID] }
func (r *rig) Note(text string)                     { r.notes = append(r.notes, text) }

func (r *rig) Record(e Record) { r.records = append(r.records, e) }

// sent lists the messages to a connection by method or status.
func (r *rig) sent(to Conn) string {
	var all []string
	for _, w := range r.wrote {
		if w.to == to {
			if w.m.Status != 0 {
				all = append(all, fmt.Sprint(w.m.Status))
			} else {
				all = append(all, w.m.Method)
			}
		}
	}
	return strings.Join(all, " ")
}
