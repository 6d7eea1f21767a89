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
	// A connection to a switch is asked for a sign of life when it has been quiet for askAfter, or, with a set-up out on
	// it, for askBusy. A test passes at once wherever there is a process, so the answer takes the way there and back, which
	// each test measures, the first as the connection comes up: unheard for signTrips such ways the connection is closed,
	// unheard for half of that it takes no new set-up and another is made. What was sent on a silent connection is lost
	// however long it is kept, and as long as it is, its set-ups look like a switch that answers late.
	askAfter  = policy.Tenths(8000)
	askBusy   = policy.Tenths(600)
	signTrips = 4
	signLeast = policy.Tenths(1200)  // a machine that stands still for a moment is not gone
	signFirst = policy.Tenths(6000)  // where no test was answered yet
	signMost  = policy.Tenths(20000) // a slow network must not have every connection closed again and again

	// silentKeep is how long a silent connection is kept on which no set-up was written since it was heard last. Set-ups are given up by its
	// close, but where its switch hangs, what that says when it goes on still comes there, and connections that are closed and opened
	// meanwhile would only lie before it.
	silentKeep = goneAfter
	silentMost = 2 // so many to one switch; those beyond are closed and dialled again

	// partMost is how long a message of a switch may take to be whole: what comes after it on the connection waits.
	partMost = policy.Tenths(3000)

	// goneAfter is how long nothing at all may be heard of a switch until what stood there is taken as cut: the platform
	// wants callers released within 8 s of the end of a call whose release could not be sent.
	goneAfter = policy.Tenths(55000)

	redialFirst = policy.Tenths(1000) // waits between dials that no call asked for
	redialMost  = policy.Tenths(8000) // a switch that is back must be known before its calls' releases are overdue

	// refetchEvery is how often one more connection is opened to a switch where calls stand whose own is not open, when one has broken
	// within lostKeep. Their release may come on that first, as long as the switch takes it for open, and on the next that opens: the
	// platform allows 8 s.
	refetchEvery = policy.Tenths(30000)
	refetchSoon  = policy.Tenths(3000)   // and after the first word of a switch that was silent
	lostKeep     = policy.Tenths(600000) // longer than a switch keeps an idle connection

	// A connection that held for less than heldLeast was short. After one a dial comes at once, since releases come on open connections
	// only; after shortMost in a row it waits, redialFetch at most, so that a switch that accepts and resets is not dialled in a loop.
	heldLeast   = policy.Tenths(10000)
	shortMost   = 3
	redialFetch = policy.Tenths(10000)

	linksMost = 4    // connections to one switch; states of groups come on no more
	owedMost  = 4096 // releases kept for a switch or for callers that cannot be reached
)

// link is one connection to a switch.
type link struct {
	conn    Conn
	openAt  policy.Tenths
	heardAt policy.Tenths
	askedAt policy.Tenths // 0 when no sign of life is asked for
	triedAt policy.Tenths // when a set-up or the end of one was written on it last
	heard   bool          // anything came on it
	silent  bool          // it was owed for too long: the connection counts as lost, and is only listened to
	testAt  policy.Tenths // when the last test was sent
	testID  string        // and its id, "" once it was answered
	partAt  policy.Tenths // since when a message lies half read, 0 when none does
	tries   int
	busyAt  policy.Tenths // since when set-ups have been out on it without a break
	byes    []bye         // releases written on it lately
}

// unheard is how long a sign of life has been owed on a connection, 0 when none is.
func (a *Agent) unheard(l *link) policy.Tenths {
	if l.askedAt == 0 {
		return 0
	}
	return a.silentFor(l.askedAt)
}

// signWithin is how long a sign of life may be owed on a connection to a switch.
func (f *farEnd) signWithin() policy.Tenths {
	if !f.measured {
		return signFirst
	}
	return min(signMost, max(signLeast, signTrips*f.trip))
}

// doubtful tells that a connection should take nothing new.
func (a *Agent) doubtful(f *farEnd, l *link) bool {
	return a.unheard(l) > f.signWithin()/2
}

// tested takes the answer to a test; that to one before the last would measure too short a way. Of the ways measured the
// longest counts, less by an eighth with each later test.
func (f *farEnd) tested(l *link, now policy.Tenths, id string) {
	if l.testID != "" && id == l.testID {
		l.byes = slices.DeleteFunc(l.byes, func(b bye) bool { return b.at < l.testAt }) // they were read before it
		f.trip, f.measured, l.testID = max(now-l.testAt, f.trip-f.trip/8), true, ""
	}
}

// farEnd is one listed switch and the connections to it.
type farEnd struct {
	entry   board.Switch
	links   []*link
	waiting []*routeTry // those that wait for a connection
	owed    []sip.Message
	dialing bool
	ticket  uint32
	// fetchFrom is the least ticket of a dial whose connection brings again what was lost on one that broke: switches repeat their
	// releases on the next connection that opens, and on no other. 0: nothing was lost since the last one opened.
	fetchFrom  uint32
	lostAt     policy.Tenths // when a connection broke last, which the switch may take for open; 0 when none did
	refetchAt  policy.Tenths // when the next connection is opened for calls whose own is not open
	resumes    bool          // nothing was heard of the switch since a connection broke
	lostRepeat lostRepeat
	pace       *reconnect.Pace
	dialAt     policy.Tenths // the next dial that no call asks for
	heardAt    policy.Tenths // of the switch, on any connection
	short      int           // connections in a row that held for less than heldLeast
	told       policy.Report // free circuits and size last told, for the log
	trip       policy.Tenths // the way there and back, as tests measured it
	measured   bool
}

// room is the connection on which the next set-up goes: the least laden of those in no doubt that are not to be avoided, nil when there is none.
func (a *Agent) room(f *farEnd, most int, avoid func(Conn) bool) *link {
	var best *link
	for _, l := range f.links {
		if !l.heard && a.suspects(f) { // the switch may hang, and what is sent would lie there
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

// dial asks for one more connection, unless one is being made. Where the descriptors for switches are all in use, one to a switch
// that has others, on which nothing is out, makes room; else one that has been quiet longest, if calls or releases wait.
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

// full tells that the descriptors for switches are all in use.
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
	a.out.Close(worst.conn, "its descriptor is needed for another switch")
	return true
}

// wanted tells whether connections to a switch are to be kept.
func (a *Agent) wanted(f *farEnd) bool {
	return f.entry.Cell != a.set.Module.Own && f.entry.State != board.Gone
}

// Dialled tells how a dial ended: a connection, or refused (nothing listens there) or not up in time.
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
		if refused && len(f.links) == 0 { // the process that held what stood there is gone
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
	if f.fetchFrom != 0 { // it was under way already when something was lost
		a.fetch(f)
	}
	a.settle()
}

// openAt tells that a call is being set up or stands at a switch: a release of an earlier try there would cut it.
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
		a.drop(t, "its switch is not reached")
		a.endTry(t, policy.Unreached)
	}
}

// LinkPart tells that a message lies half read on a connection to a switch since an instant.
func (a *Agent) LinkPart(c Conn, since policy.Tenths) {
	if f := a.far[a.linkOf[c]]; f != nil {
		if l := f.link(c); l != nil {
			l.partAt = since
		}
	}
}

// LinkDown tells that a connection to a switch broke or was closed: the set-ups open on it may have run. With whole its far end closed it,
// and all that it had written was read; else what it wrote last may be lost.
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
	a.out.Record(Record{Kind: SwitchDown, Conn: c, Switch: sw, Why: fmt.Sprintf("%d set-ups open on it", len(cut))})
	for _, k := range cut {
		a.tries.Lost++
		a.advance(k.last(), eventAbandon, "its connection has ended")
		a.endTry(k.last(), policy.Cut)
	}
	a.settle()
}

// dropLinks closes the connections to a switch that the choice names.
func (a *Agent) dropLinks(f *farEnd, why string, which func(*link) bool) {
	for _, l := range slices.Clone(f.links) {
		if which(l) {
			a.closeLink(f, l, why, false)
		}
	}
}

// closeLink closes a connection to a switch. With whole it works: what crosses the close is still read.
func (a *Agent) closeLink(f *farEnd, l *link, why string, whole bool) {
	if l.conn == f.lostRepeat.conn {
		f.lostRepeat.closed = true
	}
	a.out.Close(l.conn, why)
	a.LinkDown(a.now, l.conn, whole)
	a.closing[l.conn] = f.entry.ID
}

// cutStanding ends the calls that stood at a switch before an instant: their release cannot come any more.
func (a *Agent) cutStanding(f *farEnd, before policy.Tenths, why string) {
	cut := a.inOrder(func(k *call) bool { return k.standsAt(f.entry.ID) && k.stoodAt < before })
	if len(cut) > 0 {
		a.out.Note(fmt.Sprintf("%d calls that stood at %s are taken as cut: %s", len(cut), board.Text(f.entry.ID), why))
	}
	for _, k := range cut {
		a.releaseCaller(k, causeTempFail)
		a.ended(k, policy.Cut, untold)
	}
}

// test asks the far end of a connection for a sign of life.
func (a *Agent) test(l *link) {
	l.testAt, l.testID = a.now, a.freshID()
	a.out.Write(l.conn, &sip.Message{Method: sip.Options, URI: "sip:ping@net", CallID: l.testID, CSeq: 1})
}

// keep looks after the connections to every switch.
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
				a.closeLink(f, l, "half a message and no more", false)
			case a.unheard(l) > f.signWithin():
				a.silent(f, l)
			case l.askedAt == 0 && quiet > most:
				l.askedAt = a.now
				a.out.Record(Record{Kind: SwitchSuspect, Conn: l.conn, Switch: id, Waited: quiet, Why: fmt.Sprintf("%d set-ups open on it", l.tries)})
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
			a.cutStanding(f, a.now, "nothing is heard of it")
		}
	}
}

// bootAt is when a switch that started late did so, 0 where none is told.
func bootAt(s board.Switch) policy.Tenths { return policy.Tenths(max(0, s.StartedMS)) * 10 }

// Known takes the events that are known at the start, all of them before anything is dialled: a connection to a switch that a later one
// replaces would open at the address of the new one, and be closed at once.
func (a *Agent) Known(now policy.Tenths, events []board.Event) {
	a.starting = true
	for _, e := range events {
		a.Listed(now, e)
	}
	a.starting = false
	a.keep()
	a.settle()
}

// Listed takes an event of the notice board.
func (a *Agent) Listed(now policy.Tenths, e board.Event) {
	a.now = now
	named := map[uint32]bool{}
	var list []policy.Switch
	for _, s := range e.Switches {
		named[s.ID] = true
		list = append(list, policy.Switch{ID: s.ID, Number: s.Cell, Ready: s.State == board.Ready,
			Draining: s.State == board.Draining, BootAt: bootAt(s)})
	}
	a.decide.Listed(now, e.Whole, list)
	if e.Whole {
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
			f.pace = reconnect.NewPaceBetween(a.set.Module.Seed^uint64(s.ID), redialFirst, redialMost)
			a.far[s.ID] = f
			a.farOrder = append(a.farOrder, s.ID)
		}
		anew := bootAt(f.entry) != bootAt(s)
		moved := f.entry.Address != s.Address
		f.entry = s
		if anew || moved { // another process: connections and calls of the one before are over
			f.ticket, f.dialing, f.dialAt = 0, false, now
			a.dropLinks(f, "the switch started anew", func(l *link) bool { return moved || l.openAt < bootAt(s) })
			a.cutStanding(f, bootAt(s), "it started anew")
		}
		if s.State == board.Draining {
			a.unreached(f)
		}
	}
	a.keep()
	a.settle()
}

// leave forgets a switch that is gone.
func (a *Agent) leave(f *farEnd) {
	f.entry.State = board.Gone
	a.unreached(f)
	a.dropLinks(f, "the switch is gone", func(*link) bool { return true })
	a.cutStanding(f, a.now+1, "it is gone")
	delete(a.far, f.entry.ID)
	a.farOrder = slices.DeleteFunc(a.farOrder, func(id uint32) bool { return id == f.entry.ID })
}
