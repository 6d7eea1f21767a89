package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the pages.
const (
	slack       = 50 * time.Millisecond  // every time limit grows by it
	crossing    = 50 * time.Millisecond  // a set-up that crosses a close within it goes again on a new connection, once
	answerGrace = 500 * time.Millisecond // a final answer up to this after its time only earns nothing
	releaseTime = time.Second            // from the switch's release to the release towards the client
)

var classes = []string{"ride-status", "ride-status", "ride-status", "ride-slot", "dialysis-pickup"}

// callers are the usual clients of a call controller: they keep connections and open a new one in place of one that ended.
type callers struct {
	rec   *record
	addr  string
	mu    sync.Mutex
	conns []*client
	calls []*placed
	byID  map[string]*call
	stop  chan struct{}
	wg    sync.WaitGroup
}

// placed is a call of the usual clients, with the set-up that went again, if any.
type placed struct {
	first, again *call
	noConnection bool // no connection came up: nothing was taken
}

// run places calls at a rate on a number of connections until end is called.
func (g *callers) run(connections, perSecond int, dests []int) {
	g.stop, g.byID = make(chan struct{}), map[string]*call{}
	g.conns = make([]*client, connections)
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		for n := 0; ; n++ {
			select {
			case <-g.stop:
				return
			case <-time.After(time.Duration(float64(time.Second) * rand.ExpFloat64() / float64(perSecond))):
			}
			g.wg.Add(1)
			go func() {
				defer g.wg.Done()
				g.call(n%connections, dests[rand.IntN(len(dests))])
			}()
		}
	}()
}

// conn returns an open connection, a new one if the last has ended.
func (g *callers) conn(i int) *client {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cl := g.conns[i]; cl != nil && !cl.closed() {
		return cl
	}
	cl, err := dialClient(g.addr)
	if err != nil {
		return nil
	}
	cl.find = g.find
	g.conns[i] = cl
	return cl
}

// find returns a call that stands, by its id: its release may come on any connection.
func (g *callers) find(callID string) *call {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byID[callID]
}

func (g *callers) call(i, dest int) {
	p := &placed{}
	g.mu.Lock()
	g.calls = append(g.calls, p)
	g.mu.Unlock()
	k := g.send(i, dest)
	g.mu.Lock()
	p.first, p.noConnection = k, k == nil
	g.mu.Unlock()
	if k == nil {
		return
	}
	k.wait()
	if k.ended != nil && k.endedAt.Sub(k.sentAt) <= crossing { // it crossed the close
		again := g.send(i, dest)
		g.mu.Lock()
		p.again = again
		g.mu.Unlock()
		if again != nil {
			again.wait()
		}
	}
}

func (g *callers) send(i, dest int) *call {
	cl := g.conn(i)
	if cl == nil {
		return nil
	}
	class := classes[rand.IntN(len(classes))]
	expires := 3200 // a try is given up after 30 to 40 % of the deadline of 9000 ms
	if class == "dialysis-pickup" {
		expires = 2100
	}
	k, err := cl.place(class, dest, expires)
	if err != nil { // the connection had ended before the set-up was written
		return nil
	}
	g.mu.Lock()
	g.byID[k.id] = k
	g.mu.Unlock()
	g.rec.add("call %s: set-up, %s, exchange %d, Expires-Ms %d, number %d on its connection", k.id, class, dest, expires, k.number)
	return k
}

// wait waits for the final answer, the end of the connection or the last time for an answer.
func (k *call) wait() {
	select {
	case <-k.done:
	case <-time.After(k.expires + answerGrace + slack + time.Second):
	}
}

// end stops the usual clients and waits until their calls have ended.
func (g *callers) end() {
	close(g.stop)
	g.wg.Wait()
}

// verdict is how the calls of usual clients went.
type verdict struct {
	stood, refused, excused, lost, late, second, unreleased, lateRelease int
	slowest                                                              time.Duration
}

func (v verdict) String() string {
	return fmt.Sprintf("usual calls: %d stood, %d refused or failed, %d excused; lost %d (connection ended without an answer), answered too late or never %d, answered twice %d, not released within 1 s %d, never released %d; slowest answer %v",
		v.stood, v.refused, v.excused, v.lost, v.late, v.second, v.lateRelease, v.unreleased, v.slowest.Round(time.Millisecond))
}

// broken reports whether a call was lost: its connection ended without an answer, without excuse. What else is counted is only told.
func (v verdict) broken() bool { return v.lost > 0 }

// judge checks the calls against the rules, with their excuses.
func (g *callers) judge(switches []*farSwitch) (v verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.calls {
		if p.noConnection {
			v.excused++
			continue
		}
		for n, k := range []*call{p.first, p.again} {
			if k == nil {
				continue
			}
			k.client.mu.Lock()
			sentOn := false
			var releasedAt time.Time
			for _, s := range switches {
				s.mu.Lock()
				if s.seen[k.id] {
					sentOn = true
				}
				if at, ok := s.releasedAt[k.id]; ok {
					releasedAt = at
				}
				s.mu.Unlock()
			}
			switch {
			case k.answers > 1:
				v.second++
				g.rec.add("call %s: %d final answers (told, not counted)", k.id, k.answers)
			case k.answers == 1 && k.answered.Sub(k.sentAt) > k.expires+answerGrace+slack:
				v.late++
				g.rec.add("call %s: answered %d after %v, Expires-Ms %d (told, not counted)", k.id, k.status, k.answered.Sub(k.sentAt), k.expires.Milliseconds())
			case k.answers == 1 && k.status == 200:
				v.stood++
				v.slowest = max(v.slowest, k.answered.Sub(k.sentAt))
				g.rec.add("call %s: stood after %v, released by its switch %v, towards its client %v", k.id, k.answered.Sub(k.sentAt).Round(time.Millisecond), since(g.rec, releasedAt), since(g.rec, k.released))
				if !releasedAt.IsZero() && k.released.IsZero() {
					v.unreleased++
					g.rec.add("call %s: never released (told, not counted)", k.id)
				} else if !releasedAt.IsZero() && k.released.Sub(releasedAt) > releaseTime+slack {
					v.lateRelease++
					g.rec.add("call %s: released %v after its switch (told, not counted)", k.id, k.released.Sub(releasedAt))
				}
			case k.answers == 1:
				v.refused++
				v.slowest = max(v.slowest, k.answered.Sub(k.sentAt))
				g.rec.add("call %s: answered %d after %v", k.id, k.status, k.answered.Sub(k.sentAt).Round(time.Millisecond))
			case k.ended != nil && k.endedAt.Sub(k.sentAt) <= crossing && n == 0:
				v.excused++
				g.rec.add("call %s: connection ended %v after the set-up, it goes again", k.id, k.endedAt.Sub(k.sentAt).Round(time.Millisecond))
			case k.ended != nil && !sentOn && k.number == 1: // the first one on a connection, and nothing was sent on for it
				v.excused++
				g.rec.add("call %s: connection ended %v after the set-up, the first on it, nothing sent on", k.id, k.endedAt.Sub(k.sentAt).Round(time.Millisecond))
			case k.ended != nil:
				v.lost++
				g.rec.add("call %s: connection ended with no answer %v after the set-up (%v), at a switch: %v: RULE BROKEN", k.id, k.endedAt.Sub(k.sentAt).Round(time.Millisecond), k.ended, sentOn)
			default:
				v.late++
				g.rec.add("call %s: no answer (told, not counted)", k.id)
			}
			k.client.mu.Unlock()
		}
	}
	g.rec.add("%v", v)
	return v
}

// since returns a time as the record counts.
func since(rec *record, t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return fmt.Sprintf("at %.3f", t.Sub(rec.start).Seconds())
}

// randomMS returns a random time up to some milliseconds.
func randomMS(ms int) time.Duration {
	return time.Duration(rand.Int64N(int64(ms)*int64(time.Millisecond) + 1))
}
