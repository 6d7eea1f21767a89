package b2bua

import (
	"slices"

	"indigodrift/internal/board"
	"indigodrift/policy"
)

// oweAgain queues the releases written recently on a lost connection for the next one.
func (a *Agent) oweAgain(f *farEnd, l *link) {
	for i := range l.byes {
		if b := &l.byes[i]; a.now-b.at <= byeCrosses && !a.openAt(f, &b.m) {
			a.owe(f, &b.m)
		}
	}
	l.byes = nil
}

// loses records that a connection is lost, perhaps with the last messages of the switch.
func (a *Agent) loses(f *farEnd, l *link) {
	a.oweAgain(f, l)
	f.fetchFrom = a.tickets + 1
	f.resumes, f.lostAt = true, a.now
	f.refetchAt = a.now + refetchEvery
}

// fetch opens one more connection to a switch. If the switch has the maximum already, the idle one that has been
// quiet longest is closed first.
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
		a.closeLink(f, idle, "replaced by a new connection to this switch", well)
	}
	a.dial(f)
}

// heard records that the switch sent a message. A switch that hung may now release calls that ended meanwhile on
// connections that were closed here, so the next connection is opened soon.
func (f *farEnd) heard(now policy.Tenths) {
	f.heardAt = now
	if f.resumes {
		f.resumes = false
		f.refetchAt = min(f.refetchAt, now+refetchSoon)
	}
}

// refetch schedules one more connection if calls are established whose own connection is closed.
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

// suspects reports whether a switch may hang: no message came since a connection was lost or became suspect.
func (a *Agent) suspects(f *farEnd) bool {
	return f.resumes || slices.ContainsFunc(f.links, func(l *link) bool { return a.doubtful(f, l) })
}

// awaited reports whether a connection awaits its first message, after which waiting set-ups can be sent on it.
func (a *Agent) awaited(f *farEnd) bool {
	return slices.ContainsFunc(f.links, func(l *link) bool { return !l.heard && !l.silent })
}

// unasked closes a connection whose dial is obsolete. The switch that listens at the address may have repeated its
// releases on it, so another connection is opened to that switch.
func (a *Agent) unasked(c Conn, address string) {
	a.out.Close(c, "no longer needed")
	for _, id := range a.farOrder {
		if f := a.far[id]; f.entry.Address == address && a.wanted(f) {
			a.closing[c] = id
			f.fetchFrom = a.tickets + 1
			a.fetch(f)
		}
	}
}

// silent handles a connection whose keepalive has timed out.
func (a *Agent) silent(f *farEnd, l *link) {
	if l.silent && a.unheard(l) <= silentKeep {
		return
	}
	a.out.Note("connection to " + board.FormatID(f.entry.ID) + " timed out without an answer to a keepalive")
	if !l.heard { // the waiting set-ups were never sent
		a.unreached(f)
	}
	kept := 0
	for _, other := range f.links {
		if other.silent {
			kept++
		}
	}
	if l.triedAt >= l.heardAt && l.triedAt != 0 || l.silent || kept >= silentMost {
		a.closeLink(f, l, "keepalive timeout", false)
		return
	}
	l.silent = true
	a.loses(f, l)
}
