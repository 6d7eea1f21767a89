package main

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"indigodrift/internal/board"
)

// deadlineOfRelease is within which a caller has to be released after the end of its call if no release could be sent.
const deadlineOfRelease = 8*time.Second + slack

// secondHang is how long the switch hangs for the second time; the pages let it hang for 5 to 25 s.
const secondHang = 5200 * time.Millisecond

// switchCount is the number of switches of a small deployment; the own exchange is one more.
const switchCount = 5

// newSwitches starts switches of the exchanges 1 and up.
func (r *run) newSwitches(count int) (switches []*exchangeSwitch) {
	for n := range count {
		switches = append(switches, r.newSwitch(fmt.Sprintf("switch %d", n+1), uint32(0x00c41f71+n), n+1))
	}
	return switches
}

// entries lists switches that are in service.
func entries(switches []*exchangeSwitch) (list []board.Switch) {
	for _, s := range switches {
		list = append(list, s.entry(board.Ready))
	}
	return list
}

// callID makes the id of a call.
func callID(n int) string { return fmt.Sprintf("9b1f03aa5c7e%04x", n) }

// releasedInTime waits for the release of a call that ended at some time, and reports whether it came within a limit.
func (r *run) releasedInTime(c *caller, made *call, endedAt, limit time.Duration) bool {
	r.wait(endedAt+limit, func() bool { return c.look(made).releasedAt != 0 })
	seen := c.look(made)
	switch {
	case seen.releasedAt == 0:
		r.note("%s ended at %.3f s and is not released towards its caller by %.3f s", made.id, endedAt.Seconds(), (endedAt + limit).Seconds())
		return false
	case seen.releasedAt > endedAt+limit:
		r.note("%s ended at %.3f s and was released at %.3f s, later than %v after", made.id, endedAt.Seconds(), seen.releasedAt.Seconds(), limit)
		return false
	}
	r.note("%s ended at %.3f s and was released at %.3f s", made.id, endedAt.Seconds(), seen.releasedAt.Seconds())
	return true
}

// playQuiet: one call stands through a long quiet time, then its switch dies.
func playQuiet(r *run) bool {
	all := r.newSwitches(switchCount)
	a := all[0]
	ctl := r.newController("n0", r.newBoard(entries(all)...))
	time.Sleep(500 * time.Millisecond)
	c := r.newCaller("caller", ctl)
	made := c.setUp(callID(1), 1, "")
	c.mustStand(made, r.since()+3*time.Second)
	start := c.look(made).answeredAt
	r.until(start + 14*time.Second)
	if r.trouble {
		a.die()
	}
	broken := false
	if r.trouble {
		broken = !r.releasedInTime(c, made, a.endedAt(made.id), deadlineOfRelease)
	}
	r.until(start + 24*time.Second)
	if c.look(made).releasedAt == 0 {
		c.hangUp(made)
		if !r.trouble && !r.wait(r.since()+time.Second+slack, func() bool { return !a.stands(made.id) }) {
			r.note("%s goes on standing at its switch", made.id)
			broken = true
		}
	}
	ctl.showLog(12)
	return broken
}

// playSuccessor: the machine of a switch vanishes, and another switch takes its address before the list says that the first is gone.
func playSuccessor(r *run) bool {
	all := r.newSwitches(switchCount)
	a := all[0]
	a.ln.Close()
	a.queue = 1
	a.listen()
	list := r.newBoard(entries(all)...)
	ctl := r.newController("n0", list)
	time.Sleep(500 * time.Millisecond)
	c := r.newCaller("caller", ctl)
	other := 100
	keepTalking := func(dest int) { // a caller's other calls, so that its connection is in use
		other++
		c.setUp(callID(other), dest, "")
	}
	made := c.setUp(callID(1), 1, "")
	c.mustStand(made, r.since()+3*time.Second)
	start := r.since()
	old := a.entry(board.Gone)
	broken, checked := false, false
	for step := range 34 { // half seconds
		r.until(start + time.Duration(step)*500*time.Millisecond)
		if r.trouble {
			switch step {
			case 4:
				a.vanish()
			case 12: // 4 s later
				a.succeed("switch 9", 0x00c41f99)
			case 15: // 1.5 s after the start of the new one
				list.tell("switch 9 is in service at the address of switch 1", a.entry(board.Ready))
			case 27: // 11.5 s after the machine vanished
				list.tell("switch 1 is gone", old)
			}
		}
		if step%4 == 2 {
			keepTalking(2)
		}
		if ended := a.endedAt(made.id); !checked && r.trouble && ended != 0 && r.since() >= ended+deadlineOfRelease {
			checked = true
			broken = !r.releasedInTime(c, made, ended, deadlineOfRelease)
		}
		if !r.trouble && step == 28 {
			a.release(made.id, "16")
		}
	}
	if !r.trouble {
		broken = !r.releasedInTime(c, made, a.endedAt(made.id), time.Second+slack)
	}
	ctl.showLog(30)
	return broken
}

// playAnnounced: a controller is killed and a call ends before it is back; the first new connection to its switch, on which the switch
// writes the release, is reset while new. Then the caller announces the call. VARIANT=kill and VARIANT=reset play one of the two alone.
func playAnnounced(r *run) bool {
	all := r.newSwitches(switchCount)
	a := all[0]
	ctl := r.newController("n0", r.newBoard(entries(all)...))
	time.Sleep(500 * time.Millisecond)
	c := r.newCaller("caller", ctl)
	made := c.setUp(callID(1), a.exchange, "")
	c.mustStand(made, r.since()+3*time.Second)
	start := r.since()
	r.until(start + 2*time.Second)
	kill, reset := r.trouble && r.variant != "reset", r.trouble && r.variant != "kill"
	if kill {
		ctl.kill()
		time.Sleep(200 * time.Millisecond)
	}
	if reset && !kill {
		a.releaseAndReset(made.id, 1)
	} else if r.trouble {
		a.release(made.id, "16")
	}
	if reset && kill {
		a.resetNext(made.id, 1)
	}
	if kill {
		time.Sleep(300 * time.Millisecond)
		ctl.startUp()
	}
	time.Sleep(time.Second)
	if c.look(made).releasedAt == 0 { // a caller may announce what the call controller already holds
		c.setUp(made.id, a.exchange, ";at:"+board.FormatID(a.id))
	}
	for n := range 20 {
		time.Sleep(500 * time.Millisecond)
		c.setUp(callID(100+n), 1+n%2, "")
	}
	limit := deadlineOfRelease
	if !r.trouble {
		a.release(made.id, "16")
		limit = time.Second + slack
	}
	broken := !r.releasedInTime(c, made, a.endedAt(made.id), limit)
	ctl.showLog(12)
	return broken
}

// playResets: a release goes down with the connection on which it was written, and its repetition with the next one.
func playResets(r *run) bool {
	all := r.newSwitches(switchCount)
	a := all[0]
	ctl := r.newController("n0", r.newBoard(entries(all)...))
	time.Sleep(500 * time.Millisecond)
	c := r.newCaller("caller", ctl)
	made := c.setUp(callID(1), 1, "")
	c.mustStand(made, r.since()+3*time.Second)
	start := r.since()
	r.until(start + 2*time.Second)
	if r.trouble {
		a.releaseAndReset(made.id, 2)
	} else {
		a.release(made.id, "16")
	}
	ended := a.endedAt(made.id)
	for step := range 30 {
		r.until(start + 2500*time.Millisecond + time.Duration(step)*400*time.Millisecond)
		c.setUp(callID(200+step), 1+step%2, "")
	}
	limit := deadlineOfRelease
	if !r.trouble {
		limit = time.Second + slack
	}
	broken := !r.releasedInTime(c, made, ended, limit)
	ctl.showLog(12)
	return broken
}

// playSpoilt: one answer of ten has a length that doesn't fit: its description is longer than Content-Length says, by its last line.
func playSpoilt(r *run) bool {
	all := r.newSwitches(switchCount)
	a, b := all[0], all[1]
	ctl := r.newController("n0", r.newBoard(entries(all)...))
	time.Sleep(500 * time.Millisecond)
	c := r.newCaller("caller", ctl)
	misfit := func(by int) func([]byte) []byte {
		return func(text []byte) []byte {
			head, body, _ := bytes.Cut(text, []byte("\r\n\r\n"))
			lines := strings.Split(string(head), "\r\n")
			lines[len(lines)-1] = fmt.Sprintf("Content-Length: %d", len(body)+by)
			return append([]byte(strings.Join(lines, "\r\n")+"\r\n\r\n"), body...)
		}
	}
	broken := false
	start := r.since()
	for n := range 10 {
		r.until(start + time.Duration(n)*500*time.Millisecond)
		s := a
		if n%2 == 1 {
			s = b
		}
		if r.trouble && n == 4 {
			a.mu.Lock()
			a.spoil = misfit(-len(lastLine))
			a.mu.Unlock()
		}
		made := c.setUp(callID(n+1), s.exchange, "")
		r.wait(r.since()+400*time.Millisecond, func() bool { return len(c.look(made).answers) > 0 })
		if seen := c.look(made); seen.answeredAt != 0 && seen.body != string(s.description(made.id)) {
			r.note("%s: its caller was answered that the call stands with %q, no switch made that: it made %q", made.id, seen.body, s.description(made.id))
			broken = true
		}
	}
	ctl.showLog(6)
	return broken
}

// playHung: a switch hangs twice, and a call that stands there since the first time comes to its end in the second.
func playHung(r *run) bool {
	all := r.newSwitches(20)
	a, b := all[0], all[1]
	ctl := r.newController("n0", r.newBoard(entries(all)...))
	time.Sleep(500 * time.Millisecond)
	c := r.newCaller("caller", ctl)
	start := r.since()
	other := 100
	talk := func(until time.Duration) { // a call to the other switch each second
		for ; r.since()+time.Second < start+until; other++ {
			c.setUp(callID(other), b.exchange, "")
			time.Sleep(time.Second)
		}
		r.until(start + until)
	}
	first := c.setUp(callID(2), a.exchange, "")
	c.mustStand(first, r.since()+3*time.Second)
	talk(time.Second)
	if r.trouble {
		go a.hang(8 * time.Second)
	}
	talk(12 * time.Second)
	made := c.setUp(callID(1), a.exchange, "")
	c.mustStand(made, r.since()+3*time.Second)
	talk(17 * time.Second)
	if r.trouble {
		go a.hang(secondHang, made.id)
	}
	talk(17*time.Second + secondHang + 200*time.Millisecond)
	limit := deadlineOfRelease
	if !r.trouble {
		a.release(made.id, "16")
		limit = time.Second + slack
	}
	ended := a.endedAt(made.id)
	talk(32 * time.Second)
	broken := !r.releasedInTime(c, made, ended, limit)
	ctl.showLog(40)
	return broken
}
