package main

import (
	"fmt"
	"net"
	"os"
	"time"
)

// announced is the case of a switch that restarts while the call controller does, with calls that are announced afterwards.
// TROUBLE=controller or TROUBLE=switch leaves the other of the two restarts out.
func announced(rec *record, dir string, trouble bool, _ map[string]string) int {
	const (
		rounds     = 4
		calls      = 6
		diesAfter  = 300 * time.Millisecond  // the process of the switch, after the kill of the controller
		startAfter = 500 * time.Millisecond  // the new process of the controller
		backAfter  = 800 * time.Millisecond  // the new process of the switch
		testAfter  = 1300 * time.Millisecond // the front's next test, after which the clients come
		toldAfter  = 2000 * time.Millisecond // after the start of the switch, the notice board tells of it
		hold       = 6 * time.Second         // of a call that its switch releases
		bound      = 8 * time.Second         // from the end of a call
	)
	ofController, ofSwitch := trouble && os.Getenv("TROUBLE") != "switch", trouble && os.Getenv("TROUBLE") != "controller"
	w := &world{rec: rec}
	var list []entry
	for cell := 1; cell <= 4; cell++ {
		s := newSwitch(rec, 0xc41f00+uint32(cell), cell, 40, between([2]int{15, 60}), func() time.Duration { return hold })
		w.switches = append(w.switches, s)
		list = append(list, s.entry())
	}
	w.board = newBoard(list)
	w.ctl = newController(rec, dir, w.board, limits{memoryMB: 64, sockets: 384}, settings)
	w.ctl.start()
	time.Sleep(500 * time.Millisecond)
	broken, stood := 0, 0
	for round := range rounds {
		n := round % len(w.switches)
		g := &callers{rec: rec, addr: w.ctl.listen, byID: map[string]*call{}, conns: make([]*client, 1)}
		var placed []*call
		for range calls {
			k := g.send(0, n+1)
			if k == nil {
				cannotRun("no connection")
			}
			if k.wait(); k.status == 200 {
				placed = append(placed, k)
			}
		}
		stood += len(placed)
		began := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
		rec.add("round %d: %d calls stand at s-%08x", round+1, len(placed), w.switches[n].id)
		if ofController {
			rec.add("round %d: the controller is killed", round+1)
			w.ctl.ending.Store(true)
			w.ctl.cmd.Process.Kill()
			<-w.ctl.exited
		}
		at(diesAfter)
		old := w.switches[n]
		var over time.Time
		if ofSwitch {
			old.stop()
			over = time.Now()
			rec.add("round %d: the process of the switch dies, its calls are over", round+1)
		}
		at(startAfter)
		if ofController {
			w.ctl.start()
		}
		at(backAfter)
		if ofSwitch {
			ln, err := net.Listen("tcp", old.ln.Addr().String())
			if err != nil {
				cannotRun("%v", err)
			}
			started := time.Now()
			next := newSwitchAt(rec, old.id, old.cell, old.circuits, old.answerAfter, old.hold, ln)
			w.switches[n] = next
			rec.add("round %d: the switch is back at its address, under its id", round+1)
			time.AfterFunc(toldAfter, func() {
				e := next.entry()
				e.startedMS = started.UnixMilli()
				w.board.publish(e)
				rec.add("round %d: the notice board tells of the start of s-%08x %s", round+1, e.id, since(rec, started))
			})
		}
		at(testAfter)
		if !w.ctl.test() {
			cannotRun("the controller fails its test")
		}
		for _, k := range placed { // the clients tell where their calls stand
			k.client.mu.Lock()
			told := !k.released.IsZero()
			k.client.mu.Unlock()
			if told {
				continue
			}
			cl := g.conn(0)
			if cl == nil {
				cannotRun("no connection")
			}
			m := setUp(k.id, "ride-status", n+1, 3200)
			m.fields[2][1] = fmt.Sprintf("dest:%d;width:1;via:-1;at:s-%08x", n+1, w.switches[n].id)
			cl.w.send(m)
			rec.add("round %d: call %s announced with at:s-%08x", round+1, k.id, w.switches[n].id)
		}
		for end := time.Now().Add(bound + 2*time.Second); time.Now().Before(end) && w.ctl.alive(); { // a connection stays in use
			w.waitAlive(2 * time.Second)
			if k := g.send(0, (n+1)%4+1); k != nil {
				k.wait()
			}
		}
		for _, k := range placed {
			k.client.mu.Lock()
			released := k.released
			k.client.mu.Unlock()
			if !ofSwitch {
				old.mu.Lock()
				over = old.releasedAt[k.id]
				old.mu.Unlock()
			}
			rec.add("round %d: call %s over %s, released towards its client %s", round+1, k.id, since(rec, over), since(rec, released))
			if !over.IsZero() && (released.IsZero() || released.Sub(over) > bound+slack) {
				broken++
				rec.add("round %d: call %s left standing: RULE BROKEN", round+1, k.id)
			}
		}
		g.conns[0].w.c.Close()
	}
	crashed := !w.ctl.alive()
	w.ctl.end()
	fmt.Printf("%d of %d calls that were over were left standing at their clients; crashed: %v\n", broken, stood, crashed)
	if stood == 0 {
		cannotRun("no call stood")
	}
	if broken > 0 || crashed {
		return 1
	}
	return 0
}
