package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// world is a small deployment: five exchanges, of which the call controller serves exchange 0, and its usual clients.
type world struct {
	rec      *record
	switches []*farSwitch
	board    *board
	ctl      *controller
	usual    *callers
}

func newWorld(rec *record, dir string, l limits, answerMS, holdMS [2]int, connections, perSecond int) *world {
	w := &world{rec: rec}
	var list []entry
	for cell := 1; cell <= 4; cell++ {
		s := newSwitch(rec, 0xc41f00+uint32(cell), cell, 40, between(answerMS), between(holdMS))
		w.switches = append(w.switches, s)
		list = append(list, s.entry())
	}
	w.board = newBoard(list)
	w.ctl = newController(rec, dir, w.board, l, settings)
	w.ctl.start()
	time.Sleep(time.Second) // clients come a little after the test
	w.usual = &callers{rec: rec, addr: w.ctl.listen}
	if connections > 0 {
		w.usual.run(connections, perSecond, []int{1, 2, 3, 4})
	}
	return w
}

// waitAlive waits, and returns at once when the controller has ended.
func (w *world) waitAlive(d time.Duration) {
	select {
	case <-w.ctl.exited:
	case <-time.After(d):
	}
}

// memory is the case of a call controller that bad clients bring over its memory limit.
func memory(rec *record, dir string, trouble bool, _ map[string]string) int {
	const (
		badClients  = 5
		outstanding = 100 // set-ups that each has open at once; a further one follows as soon as one is turned away
		expiresMS   = 3600000
		length      = 80 * time.Second
	)
	w := newWorld(rec, dir, limits{memoryMB: 64, sockets: 384}, [2]int{15, 60}, [2]int{1500, 2500}, 3, 20)
	w.waitAlive(3 * time.Second)
	var sent, answered, served atomic.Int64
	stop := make(chan struct{})
	if trouble {
		rec.add("trouble begins: %d bad clients, %d set-ups at once each, the same again as soon as one is turned away", badClients, outstanding)
		for range badClients {
			go func() {
				c, err := net.Dial("tcp", w.ctl.listen)
				if err != nil {
					return
				}
				bad := &wire{c: c}
				free := make(chan struct{}, outstanding)
				go func() {
					r := newReader(c)
					for {
						m, err := readMsg(r)
						if err != nil {
							c.Close()
							return
						}
						if m.status < 200 || m.cseqOf != "INVITE" {
							continue
						}
						if answered.Add(1); m.status == 200 {
							served.Add(1)
						}
						bad.send(&msg{method: "ACK", uri: "sip:call@net", callID: m.callID, cseq: m.cseq})
						<-free
					}
				}()
				for {
					select {
					case <-stop:
						c.Close()
						return
					case <-w.ctl.exited:
						return
					case free <- struct{}{}:
					}
					if bad.send(setUp(newID(), "ride-status", 900, expiresMS)) != nil {
						return
					}
					sent.Add(1)
				}
			}()
		}
	}
	for began := time.Now(); time.Since(began) < length && w.ctl.alive(); {
		w.waitAlive(time.Second)
		rec.add("bad clients: %d set-ups sent, %d answered, %d of them served; anonymous memory of the controller at most %d KiB", sent.Load(), answered.Load(), served.Load(), w.ctl.peakKB.Load())
		if !trouble && time.Since(began) > 20*time.Second {
			break
		}
	}
	close(stop)
	time.Sleep(100 * time.Millisecond)
	w.usual.end()
	w.waitAlive(4 * time.Second) // calls end, their releases come
	crashed := !w.ctl.alive()
	w.ctl.end()
	v := w.usual.judge(w.switches)
	fmt.Println(v)
	if crashed {
		rec.add("the controller was over its limit at %d MB and is gone, %.1f s after the start of the record: RULE BROKEN", w.ctl.overMB.Load(), time.Since(rec.start).Seconds())
		fmt.Printf("rule broken: the controller went over memory_mb %d (%d MB) and was killed after %d set-ups of bad clients\n", w.ctl.limits.memoryMB, w.ctl.overMB.Load(), sent.Load())
		return 1
	}
	fmt.Printf("rule kept; memory at most %d KiB of %d KiB\n", w.ctl.peakKB.Load(), w.ctl.limits.memoryMB<<10)
	return 0
}

// unknown is the case of a bad client that tells of calls that no switch knows.
func unknown(rec *record, dir string, trouble bool, _ map[string]string) int {
	const rounds, count = 3, 4000
	w := newWorld(rec, dir, limits{memoryMB: 64, sockets: 384}, [2]int{200, 600}, [2]int{2000, 3000}, 3, 20)
	w.waitAlive(4 * time.Second)
	for round := 1; round <= rounds; round++ {
		if trouble {
			w.tellUnknown(round, count)
		}
		w.waitAlive(4 * time.Second)
	}
	w.usual.end()
	w.waitAlive(5 * time.Second)
	crashed := !w.ctl.alive()
	w.ctl.end()
	v := w.usual.judge(w.switches)
	fmt.Println(v)
	if crashed || v.broken() {
		fmt.Println("rule broken; crashed:", crashed)
		return 1
	}
	fmt.Println("rule kept")
	return 0
}

// tellUnknown is a bad client that connects, sends set-ups with ids that no switch knows, reads what it is sent for 3 s and closes.
func (w *world) tellUnknown(round, count int) {
	c, err := net.Dial("tcp", w.ctl.listen)
	if err != nil {
		cannotRun("%v", err)
	}
	bad := &wire{c: c}
	var read atomic.Int64
	time.AfterFunc(3*time.Second, func() {
		w.rec.add("bad client %d: %d messages read", round, read.Load())
		c.Close()
	})
	go func() {
		r := newReader(c)
		for {
			if _, err := readMsg(r); err != nil {
				w.rec.add("bad client %d: connection ended: %v", round, err)
				return
			}
			read.Add(1)
		}
	}()
	w.rec.add("trouble begins: bad client %d sends set-ups with ids that no switch knows, at full speed", round)
	n := 0
	for ; n < count; n++ {
		m := setUp(newID(), "ride-status", 1, 3200)
		m.fields[2][1] = "dest:1;width:1;via:-1;at:s-0badcafe"
		if bad.send(m) != nil {
			break
		}
	}
	w.rec.add("bad client %d: %d set-ups written", round, n)
}

// between draws a time between two milliseconds.
func between(ms [2]int) func() time.Duration {
	return func() time.Duration { return time.Duration(ms[0])*time.Millisecond + randomMS(ms[1]-ms[0]) }
}
