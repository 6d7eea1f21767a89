package b2bua

import (
	"slices"

	"indigodrift/internal/board"
	"indigodrift/policy"
)

// oweAgain keeps the releases written lately on a connection that is lost for the next one.
func (a *Agent) oweAgain(f *farEnd, l *link) {
	for i := range l.byes {
		if b := &l.byes[i]; a.now-b.at <= byeCrosses && !a.openAt(f, &b.m) {
			a.owe(f, &b.m)
		}
	}
	l.byes = nil
}

// loses notes that a connection is lost, and with it perhaps what the switch wrote last.
func (a *Agent) loses(f *farEnd, l *link) {
	a.oweAgain(f, l)
	f.fetchFrom = a.tickets + 1
	f.resumes, f.lostAt = true, a.now
	f.refetchAt = a.now + refetchEvery
}

// fetch dials one more connection to a switch. Where it has as many as it may, the one that was heard last the longest ago and has nothing
// out on it makes room.
func (a *Agent) fetch(f *farEnd) {
	if !f.dialing && len(f.links) >= linksMost {
		var idle *link
		for _, l := range f.links {
			if l.tries == 0 && (idle == nil || l.heardAt < idle.heardAt) {
				idle = l
			}
		}
		if idle == nil {
			return
		}
		well := idle.heard && idle.askedAt == 0
		a.closeLink(f, idle, "a new connection to this switch is needed", well)
	}
	a.dial(f)
}

// heard notes that a switch said something. One that hung may release calls now that ended meanwhile, on connections that were given up, so
// the next is opened soon.
func (f *farEnd) heard(now policy.Tenths) {
	f.heardAt = now
	if f.resumes {
		f.resumes = false
		f.refetchAt = min(f.refetchAt, now+refetchSoon)
	}
}

// refetch asks for one more connection where calls stand whose own connection is not open.
func (a *Agent) refetch(f *farEnd) {
	f.refetchAt = a.now + refetchEvery
	for _, k := range a.calls {
		if !k.standsAt(f.entry.ID) {
			continue
		}
		if own := f.link(k.last().conn); own == nil || own.silent {
			f.fetchFrom = a.tickets + 1
			return
		}
	}
	f.refetchAt = 0
}

// suspects tells that a switch may hang: nothing was heard of it since a connection was lost or came in doubt.
func (a *Agent) suspects(f *farEnd) bool {
	return f.resumes || slices.ContainsFunc(f.links, func(l *link) bool { return a.doubtful(f, l) })
}

// awaited tells that the first word on a connection is awaited, on which what waits can go then.
func (a *Agent) awaited(f *farEnd) bool {
	return slices.ContainsFunc(f.links, func(l *link) bool { return !l.heard && !l.silent })
}

// unasked closes a connection that nobody asks for any more. Whichever switch stands at its address now may have taken it as the next on which
// its releases come again, so that one gets another.
func (a *Agent) unasked(c Conn, address string) {
	a.out.Close(c, "no longer asked for")
	for _, id := range a.farOrder {
		if f := a.far[id]; f.entry.Address == address && a.wanted(f) {
			a.closing[c] = id
			f.fetchFrom = a.tickets + 1
			a.fetch(f)
		}
	}
}

// silent acts on a connection that owes a sign of life for too long.
func (a *Agent) silent(f *farEnd, l *link) {
	if l.silent && a.unheard(l) <= silentKeep {
		return
	}
	a.out.Note("a connection to " + board.Text(f.entry.ID) + " gives no sign of life")
	if !l.heard { // those that wait for it were never sent
		a.unreached(f)
	}
	kept := 0
	for _, other := range f.links {
		if other.silent {
			kept++
		}
	}
	if l.triedAt >= l.heardAt && l.triedAt != 0 || l.silent || kept >= silentMost {
		a.closeLink(f, l, "no sign of life", false)
		return
	}
	l.silent = true
	a.loses(f, l)
}
