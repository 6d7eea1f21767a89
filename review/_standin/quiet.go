package main

import (
	"fmt"
	"time"
)

// quiet is a client that asks once and keeps its connection, in a quiet time. It is no case of the review; REPORT.md tells of it.
func quiet(rec *record, dir string, trouble bool, _ map[string]string) int {
	const (
		clients = 3
		holdMS  = 14000 // the settings have mean holding times of 11.4, 6.9 and 13.7 s
		pause   = 9500 * time.Millisecond
	)
	w := newWorld(rec, dir, limits{memoryMB: 64, sockets: 384}, [2]int{15, 60}, [2]int{holdMS, holdMS}, 0, 0)
	broken := 0
	for n := 1; n <= clients && w.ctl.alive(); n++ {
		cl, err := dialClient(w.ctl.listen)
		if err != nil {
			cannotRun("%v", err)
		}
		k, err := cl.place("ride-slot", 1+n%4, 3200)
		if err != nil {
			cannotRun("%v", err)
		}
		k.wait()
		rec.add("client %d: call %s answered %d; it keeps its connection, and sends nothing more: %v", n, k.id, k.status, trouble)
		if k.status != 200 {
			cannotRun("the call doesn't stand")
		}
		for end := time.Now().Add(holdMS*time.Millisecond + 500*time.Millisecond); time.Now().Before(end) && w.ctl.alive(); {
			w.waitAlive(3 * time.Second)
			if trouble {
				continue
			}
			if other, err := cl.place("ride-status", 1+(n+1)%4, 3200); err == nil { // a client in use
				other.wait()
				rec.add("client %d: call %s answered %d", n, other.id, other.status)
			}
		}
		w.waitAlive(pause)
		s := w.switches[n%4]
		s.mu.Lock()
		at := s.releasedAt[k.id]
		s.mu.Unlock()
		cl.mu.Lock()
		released, over, overAt := k.released, cl.over, cl.overAt
		cl.mu.Unlock()
		rec.add("client %d: call %s released by its switch %s, towards its client %s; connection ended by the controller: %v %s", n, k.id, since(rec, at), since(rec, released), over, since(rec, overAt))
		if at.IsZero() {
			cannotRun("the switch didn't release the call")
		}
		if released.IsZero() || released.Sub(at) > releaseTime+slack {
			broken++
			rec.add("client %d: call %s left standing: RULE BROKEN", n, k.id)
		}
	}
	crashed := !w.ctl.alive()
	w.ctl.end()
	fmt.Printf("%d of %d calls that their switches had released were left standing at their clients; crashed: %v\n", broken, clients, crashed)
	if broken > 0 || crashed {
		return 1
	}
	return 0
}
