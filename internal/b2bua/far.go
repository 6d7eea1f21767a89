package b2bua

import (
	"fmt"
	"slices"

	"indigodrift/internal/board"
	"indigodrift/internal/reconnect"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

const (
	// A connection to a switch is probed with an OPTIONS keepalive after askAfter without a message, or after
	// askBusy while a set-up is out on it. The process at the other end answers at once, so the answer takes one
	// round-trip time, which each keepalive measures. After half of signTrips round trips without an answer the
	// connection takes no new set-up and another one is opened; after all of them it counts as lost. Keeping a
	// dead connection longer recovers nothing, and its set-ups make the switch look slow.
	askAfter  = policy.Tenths(8000)
	askBusy   = policy.Tenths(600)
	signTrips = 4
	signLeast = policy.Tenths(1200)  // tolerates a short stall of the switch
	signFirst = policy.Tenths(6000)  // before the first round trip is measured
	signMost  = policy.Tenths(20000) // keeps the connections of a slow network

	// silentKeep is how long a silent connection is kept if no set-up was written on it since its last message;
	// one with set-ups is closed, which abandons them. A switch that hung and recovers still sends its pending
	// messages on the old connection, and connections that are closed and opened meanwhile would only queue up in
	// front of it.
	silentKeep = goneAfter
	silentMost = 2 // per switch; silent connections beyond these are closed and replaced

	// partMost is how long a message of a switch may take to become complete, as it blocks the messages behind it.
	partMost = policy.Tenths(3000)

	// goneAfter is how long a switch may send nothing before its established calls count as disconnected: the
	// platform requires callers to be released within 8 s of the end of a call whose release could not be sent.
	goneAfter = policy.Tenths(55000)

	redialFirst = policy.Tenths(1000) // for dials that no call requested
	redialMost  = policy.Tenths(8000) // a switch that returns must be known before the releases of its calls are overdue

	// refetchEvery is how often another connection is opened to a switch with established calls whose own
	// connection is closed, while the last loss is less than lostKeep ago. A switch that believes the old
	// connection to be open sends a release there first, and repeats it only on the next connection that opens.
	// The platform allows 8 s for this.
	refetchEvery = policy.Tenths(30000)
	refetchSoon  = policy.Tenths(3000)   // after the first message of a switch that was silent
	lostKeep     = policy.Tenths(600000) // longer than a switch keeps an idle connection

	// A connection that lasted less than heldLeast was short. After a short one the redial is immediate, as
	// releases come on open connections only. After more than shortMost in a row it is delayed by up to
	// redialFetch, to avoid a dial loop with a switch that accepts and resets.
	heldLeast   = policy.Tenths(10000)
	shortMost   = 3
	redialFetch = policy.Tenths(10000)

	linksMost = 4    // per switch; switches report group states on no more connections than this
	owedMost  = 4096 // per switch
)

// link is one connection to a switch.
type link struct {
	conn    Conn
	openAt  policy.Tenths
	heardAt policy.Tenths
	askedAt policy.Tenths // since when the answer to a keepalive is expected, 0 if none is
	triedAt policy.Tenths // when a set-up or its cancellation was last written on it
	heard   bool          // any message came on it
	silent  bool          // keepalive timed out: the connection counts as lost and is only read from
	testAt  policy.Tenths // when the last keepalive was sent
	testID  string        // its Call-ID, "" once it was answered
	partAt  policy.Tenths // when the message that is being received began, 0 if none
	tries   int
	busyAt  policy.Tenths // since when there has always been a set-up out on it
	byes    []bye         // releases written on it recently
}

// unheard returns how long the answer to a keepalive has been missing, 0 if none is expected.
func (a *Agent) unheard(l *link) policy.Tenths {
	if l.askedAt == 0 {
		return 0
	}
	return a.silentFor(l.askedAt)
}

// signWithin returns the keepalive timeout of the connections to a switch.
func (f *farEnd) signWithin() policy.Tenths {
	if !f.measured {
		return signFirst
	}
	return min(signMost, max(signLeast, signTrips*f.trip))
}

// doubtful reports whether a connection should take no new messages.
func (a *Agent) doubtful(f *farEnd, l *link) bool {
	return a.unheard(l) > f.signWithin()/2
}

// tested handles the answer to a keepalive. Only the last keepalive counts, as an answer to an earlier one would
// measure too short a time. The estimate is the longest round trip measured, decayed by an eighth with each
// further measurement.
func (f *farEnd) tested(l *link, now policy.Tenths, id string) {
	if l.testID != "" && id == l.testID {
		l.byes = slices.DeleteFunc(l.byes, func(b bye) bool { return b.at < l.testAt }) // read by the switch before the keepalive
		f.trip, f.measured, l.testID = max(now-l.testAt, f.trip-f.trip/8), true, ""
	}
}

// farEnd is one listed switch and the connections to it.
type farEnd struct {
	entry   board.Switch
	links   []*link
	waiting []*routeTry // tries that wait for a connection
	owed    []sip.Message
	dialing bool
	ticket  uint32
	// fetchFrom is the lowest id of a dial whose connection makes the switch repeat the releases lost on a broken
	// connection: switches repeat them on the next connection that opens, and on no other. 0 if nothing was lost
	// since the last one opened.
	fetchFrom  uint32
	lostAt     policy.Tenths // when a connection that the switch may believe to be open was last lost, 0 if none was
	refetchAt  policy.Tenths // when the next connection is opened for calls whose own connection is closed
	resumes    bool          // no message came from the switch since a connection was lost
	lostRepeat lostRepeat
	pace       *reconnect.Pace
	dialAt     policy.Tenths     // next dial that no call requested
	heardAt    policy.Tenths     // last message on any connection
	short      int               // consecutive connections that lasted less than heldLeast
	told       policy.LoadReport // last reported circuits, for the log
	trip       policy.Tenths     // round-trip time, as keepalives measured it
	measured   bool
}

// room returns the connection for the next set-up: the least loaded one that is neither suspect nor to be avoided,
// nil if there is none.
func (a *Agent) room(f *farEnd, most int, avoid func(Conn) bool) *link {
	var best *link
	for _, l := range f.links {
		if !l.heard && a.suspects(f) { // the switch may hang, and would not read the set-up
			continue
		}
		if a.doubtful(f, l) || most > 0 && l.tries >= most || avoid(l.conn) {
			continue
		}
		if best == nil || l.tries < best.tries {
			best = l
		}
	}
	return best
}

// anyConn avoids no connection.
func anyConn(Conn) bool { return false }

func (f *farEnd) link(c Conn) *link {
	for _, l := range f.links {
		if l.conn == c {
			return l
		}
	}
	return nil
}

// dial opens one more connection, unless a dial is in progress. When all descriptors for switches are in use, it
// closes the idle connection to another switch that has been quiet longest; the only connection of a switch is
// closed only if calls or releases wait.
func (a *Agent) dial(f *farEnd) {
	if a.starting || f.dialing || len(f.links) >= linksMost || a.full() && !a.makeRoom(f) {
		return
	}
	a.tickets++
	a.dialled++
	f.dialing, f.ticket = true, a.tickets
	a.dialTo[f.ticket] = f.entry.Address
	a.out.Dial(f.entry.ID, f.ticket, f.entry.Address)
}

// full reports whether all descriptors for switches are in use.
func (a *Agent) full() bool { return len(a.linkOf)+a.dialled >= a.linkMost }

func (a *Agent) makeRoom(f *farEnd) bool {
	var worst *link
	for _, id := range a.farOrder {
		other := a.far[id]
		for _, l := range other.links {
			single := len(other.links) == 1
			if other == f || l.tries > 0 || single && len(f.waiting) == 0 && len(f.owed) == 0 {
				continue
			}
			if worst == nil || l.heardAt < worst.heardAt {
				worst = l
			}
		}
	}
	if worst == nil {
		return false
	}
	other := a.far[a.linkOf[worst.conn]]
	delete(a.linkOf, worst.conn)
	a.closing[worst.conn] = other.entry.ID
	other.links = slices.DeleteFunc(other.links, func(l *link) bool { return l == worst })
	other.dialAt = a.now + other.pace.Wait()
	a.out.Close(worst.conn, "descriptor needed for another switch")
	return true
}

// wanted reports whether connections to a switch are to be kept open.
func (a *Agent) wanted(f *farEnd) bool {
	return f.entry.Cell != a.set.Policy.OwnExchange && f.entry.State != board.Gone
}

// Dialled handles the result of a dial: a connection, a refusal (no process listens at the address), or a timeout.
func (a *Agent) Dialled(now policy.Tenths, sw, ticket uint32, c Conn, refused bool) {
	a.now = now
	a.dialled--
	address := a.dialTo[ticket]
	delete(a.dialTo, ticket)
	f := a.far[sw]
	if f == nil || f.ticket != ticket {
		if c != 0 {
			a.unasked(c, address)
		}
		return
	}
	f.dialing = false
	if c != 0 && ticket >= f.fetchFrom {
		f.fetchFrom = 0
	}
	if c == 0 {
		f.pace.Down(now)
		f.dialAt = now + f.pace.Wait()
		a.unreached(f)
		if refused && len(f.links) == 0 { // the process that held the calls established there is gone
			a.cutStanding(f, now+1, "its address refuses connections")
		}
		a.settle()
		return
	}
	f.pace.Up(now)
	l := &link{conn: c, openAt: now, heardAt: now}
	f.links = append(f.links, l)
	a.linkOf[c] = sw
	a.test(l)
	if a.suspects(f) {
		l.askedAt = now
	}
	for i := range f.owed {
		if m := &f.owed[i]; !a.openAt(f, m) {
			l.byes = append(l.byes, bye{now, *m})
			a.out.Write(c, m)
		}
	}
	f.owed = nil
	a.sendWaiting(f)
	if f.fetchFrom != 0 { // the dial was in progress already when the connection was lost
		a.fetch(f)
	}
	a.settle()
}

// openAt reports whether a call is being set up or is established at a switch, where a release of an earlier try
// would disconnect it.
func (a *Agent) openAt(f *farEnd, release *sip.Message) bool {
	id, err := readID(release.CallID)
	k := a.calls[id]
	return err == nil && k != nil && k.far() == f.entry.ID && (k.state == Trying || k.state == Standing)
}

// sendWaiting sends the set-ups that wait for a connection to a switch.
func (a *Agent) sendWaiting(f *farEnd) {
	waiting := f.waiting
	f.waiting = nil
	for _, t := range waiting {
		if t.state != tryWaiting {
			continue
		}
		if k := t.call; a.out.Left(k.caller, k.callID) {
			a.left(k)
			a.tally.Left++
			continue
		}
		a.place(t, f)
	}
}

// unreached ends the route tries that wait for a connection to a switch.
func (a *Agent) unreached(f *farEnd) {
	waiting := f.waiting
	f.waiting = nil
	for _, t := range waiting {
		a.drop(t, "switch not reached")
		a.endTry(t, policy.Unreachable)
	}
}

// LinkPart records since when a message on a connection to a switch is incomplete, 0 when none is.
func (a *Agent) LinkPart(c Conn, since policy.Tenths) {
	if f := a.far[a.linkOf[c]]; f != nil {
		if l := f.link(c); l != nil {
			l.partAt = since
		}
	}
}

// LinkDown handles the end of a connection to a switch. The set-ups open on it may have been carried out. whole
// means that the switch closed the connection and everything that it wrote was read; otherwise its last messages
// may be lost.
func (a *Agent) LinkDown(now policy.Tenths, c Conn, whole bool) {
	a.now = now
	delete(a.closing, c)
	sw, ok := a.linkOf[c]
	if !ok {
		return
	}
	delete(a.linkOf, c)
	if f := a.far[sw]; f != nil {
		l := f.link(c)
		if l != nil {
			if f.short++; now-l.openAt >= heldLeast {
				f.short = 0
			}
			a.oweAgain(f, l)
		}
		f.links = slices.DeleteFunc(f.links, func(other *link) bool { return other == l })
		f.pace.Down(now)
		f.dialAt = now
		if f.short > shortMost || l != nil && !l.heard {
			f.dialAt = now + min(f.pace.Wait(), redialFetch)
		}
		if !whole && l != nil && !l.silent {
			a.loses(f, l)
		} else if f.refetchAt == 0 && f.lostAt != 0 && now-f.lostAt < lostKeep {
			f.refetchAt = now + refetchEvery
		}
		if a.wanted(f) && now >= f.dialAt && (len(f.links) == 0 || f.fetchFrom != 0) {
			a.fetch(f)
		}
	}
	cut := a.inOrder(func(k *call) bool { return k.state == Trying && k.last().state == tryOut && k.last().conn == c })
	a.out.Record(Record{Kind: SwitchDown, Conn: c, Switch: sw, Why: fmt.Sprintf("%d open set-ups", len(cut))})
	for _, k := range cut {
		a.tries.Lost++
		a.advance(k.last(), eventAbandon, "connection ended")
		a.endTry(k.last(), policy.Disconnected)
	}
	a.settle()
}

// dropLinks closes the connections to a switch that match.
func (a *Agent) dropLinks(f *farEnd, why string, which func(*link) bool) {
	for _, l := range slices.Clone(f.links) {
		if which(l) {
			a.closeLink(f, l, why, false)
		}
	}
}

// closeLink closes a connection to a switch. whole means that the connection works, and messages that cross the
// close are still read.
func (a *Agent) closeLink(f *farEnd, l *link, why string, whole bool) {
	if l.conn == f.lostRepeat.conn {
		f.lostRepeat.closed = true
	}
	a.out.Close(l.conn, why)
	a.LinkDown(a.now, l.conn, whole)
	a.closing[l.conn] = f.entry.ID
}

// cutStanding ends the calls that were established at a switch before the given time, as their releases cannot
// come any more.
func (a *Agent) cutStanding(f *farEnd, before policy.Tenths, why string) {
	cut := a.inOrder(func(k *call) bool { return k.standsAt(f.entry.ID) && k.stoodAt < before })
	if len(cut) > 0 {
		a.out.Note(fmt.Sprintf("%d calls established at %s count as disconnected: %s", len(cut), board.FormatID(f.entry.ID), why))
	}
	for _, k := range cut {
		a.releaseCaller(k, causeTempFail)
		a.ended(k, policy.Disconnected, untold)
	}
}

// test sends a keepalive on a connection.
func (a *Agent) test(l *link) {
	l.testAt, l.testID = a.now, a.freshID()
	a.out.Write(l.conn, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: l.testID, CSeq: 1})
}

// keep maintains the connections to all switches.
func (a *Agent) keep() {
	for _, id := range a.farOrder {
		f := a.far[id]
		if !a.wanted(f) {
			continue
		}
		for _, l := range slices.Clone(f.links) {
			if a.doubtful(f, l) {
				f.suspectRepeat(l)
			}
			quiet, most := a.silentFor(l.heardAt), askAfter
			if l.tries > 0 {
				quiet, most = a.silentFor(max(l.heardAt, l.busyAt)), askBusy
			}
			switch {
			case l.partAt != 0 && a.silentFor(l.partAt) > partMost:
				a.closeLink(f, l, "incomplete message", false)
			case a.unheard(l) > f.signWithin():
				a.silent(f, l)
			case l.askedAt == 0 && quiet > most:
				l.askedAt = a.now
				a.out.Record(Record{Kind: SwitchSuspect, Conn: l.conn, Switch: id, Waited: quiet, Why: fmt.Sprintf("%d open set-ups", l.tries)})
				a.test(l)
			}
		}
		if f.refetchAt != 0 && a.now >= f.refetchAt {
			a.refetch(f)
		}
		needed := f.fetchFrom != 0 || a.room(f, 0, anyConn) == nil && !a.awaited(f)
		if len(f.waiting) > 0 && !a.awaited(f) || needed && a.now >= f.dialAt {
			a.fetch(f)
		}
		a.repeatDue(f)
		if a.silentFor(f.heardAt) > goneAfter {
			a.cutStanding(f, a.now, "no message received")
		}
	}
}

// bootAt returns the start time of a switch, 0 if none is reported.
func bootAt(s board.Switch) policy.Tenths { return policy.Tenths(max(0, s.StartedMS)) * 10 }

// Known handles the events that are known at the start, all of them before anything is dialled: a connection for
// an entry that a later event replaces would open at the address of the new switch and be closed at once.
func (a *Agent) Known(now policy.Tenths, events []board.Event) {
	a.starting = true
	for _, e := range events {
		a.Listed(now, e)
	}
	a.starting = false
	a.keep()
	a.settle()
}

// Listed handles an event of the notice board.
func (a *Agent) Listed(now policy.Tenths, e board.Event) {
	a.now = now
	named := map[uint32]bool{}
	var list []policy.Switch
	for _, s := range e.Switches {
		named[s.ID] = true
		list = append(list, policy.Switch{ID: s.ID, Number: s.Cell, Ready: s.State == board.Ready,
			Draining: s.State == board.Draining, BootAt: bootAt(s)})
	}
	a.decide.ListReceived(now, e.Complete, list)
	if e.Complete {
		for _, id := range slices.Clone(a.farOrder) {
			if !named[id] {
				a.leave(a.far[id])
			}
		}
	}
	for _, s := range e.Switches {
		f := a.far[s.ID]
		if s.State == board.Gone {
			if f != nil {
				f.entry.State = s.State
				a.leave(f)
			}
			continue
		}
		if f == nil {
			f = &farEnd{entry: s, heardAt: now, dialAt: now}
			f.pace = reconnect.NewPaceBetween(a.set.Policy.Seed^uint64(s.ID), redialFirst, redialMost)
			a.far[s.ID] = f
			a.farOrder = append(a.farOrder, s.ID)
		}
		anew := bootAt(f.entry) != bootAt(s)
		moved := f.entry.Address != s.Address
		f.entry = s
		if anew || moved { // a new process: connections and calls of the previous one are over
			f.ticket, f.dialing, f.dialAt = 0, false, now
			a.dropLinks(f, "the switch restarted", func(l *link) bool { return moved || l.openAt < bootAt(s) })
			a.cutStanding(f, bootAt(s), "it restarted")
		}
		if s.State == board.Draining {
			a.unreached(f)
		}
	}
	a.keep()
	a.settle()
}

// leave removes a switch that is gone.
func (a *Agent) leave(f *farEnd) {
	f.entry.State = board.Gone
	a.unreached(f)
	a.dropLinks(f, "the switch is gone", func(*link) bool { return true })
	a.cutStanding(f, a.now+1, "it is gone")
	delete(a.far, f.entry.ID)
	a.farOrder = slices.DeleteFunc(a.farOrder, func(id uint32) bool { return id == f.entry.ID })
}
