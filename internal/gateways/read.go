package gateways

import (
	"math"
	"slices"

	"indigodrift/internal/isup"
	"indigodrift/internal/mgcp"
	"indigodrift/policy"
)

// Reading is what a response to a command means for the endpoint and its call.
type Reading uint8

const (
	Obeyed       Reading = iota // the endpoint is as it was asked to be
	LiftedNow                   // its phone is off hook, which nobody has told us
	HungUpNow                   // its phone is on hook, which nobody has told us
	NotNow                      // it cannot now: once more after a while
	NoConnection                // the connection that was named is not there any more
	NoEndpoint                  // there is no such endpoint, or it is out of service
	Elsewhere                   // it belongs to another call agent
	Cannot                      // it will never do this
)

// ReadCode reads a return code (RFC 3435, 2.4; RFC 3661, 4) for a verb.
func ReadCode(verb mgcp.Verb, code int) Reading {
	switch code {
	case mgcp.OffHook:
		return LiftedNow
	case mgcp.OnHook:
		return HungUpNow
	case mgcp.NoConnection, mgcp.NoCall:
		if verb == mgcp.DeleteConnection { // what was to be gone is gone
			return Obeyed
		}
		return NoConnection
	case mgcp.NoEndpoint, mgcp.NotReady, mgcp.EndpointStarts, mgcp.Restarting, mgcp.Hardware:
		return NoEndpoint
	case mgcp.Redirected:
		return Elsewhere
	case mgcp.NoResources, mgcp.NoResourcesEver, mgcp.NoBandwidth, mgcp.NoRoom:
		if verb == mgcp.CreateConnection || verb == mgcp.ModifyConnection { // the call cannot be had; the next one perhaps
			return Cannot
		}
		return NotNow
	}
	switch mgcp.KindOf(code) {
	case mgcp.Success:
		return Obeyed
	case mgcp.TransientError:
		return NotNow
	}
	return Cannot
}

// Waits between repeats of what an endpoint cannot do now.
const (
	laterFirst = policy.Tenths(2000)
	laterMost  = policy.Tenths(80000)
)

// LaterWait is how long to wait before something is asked for again, refused so many times in a row.
func LaterWait(refusals int) policy.Tenths { return min(laterMost, laterFirst<<min(refusals, 8)) }

// Tone is what a user hears, or how a phone rings.
type Tone uint8

const (
	Silence Tone = iota
	DialTone
	Busy       // the called user is engaged, or hung up after the call
	Congestion // circuits or processors are full: it may be tried again
	Reorder    // the call cannot be set up as dialled, or failed
	Ring
	OffHookWarning // the receiver is off and nothing is going on
)

func (t Tone) String() string {
	return [...]string{"silence", "dial tone", "busy", "congestion", "reorder", "ring", "off-hook warning"}[t]
}

// ToneFor tells which tone goes with a cause (Q.850), and the words that go into the log and to staff.
func ToneFor(c isup.Cause) (Tone, string) {
	switch c {
	case isup.NormalClearing, isup.NormalUnspecified:
		return Busy, "the far end hung up"
	case isup.UserBusy:
		return Busy, "the called line is engaged"
	case isup.NoAnswer:
		return Busy, "the called line did not answer"
	case isup.NoCircuit:
		return Congestion, "no circuit is free"
	case isup.Congestion:
		return Congestion, "an exchange has more work than it can do"
	case isup.OutOfOrder, isup.NetworkOutOfOrder:
		return Reorder, "the destination cannot be reached"
	case isup.TimerExpiry, isup.TemporaryFailure:
		return Reorder, "the call failed on its way"
	}
	return Reorder, "the number cannot be reached"
}

// A final answer is given time to be told so often that one in a thousand stays unheard at the loss seen, within bounds.
const (
	unheard      = 0.001
	answersLeast = 3
	answersMost  = 8
)

// AnswerRoom is how much of a caller's time is kept for telling its answer to the gateway, which may have to be told several
// times with waits that double; wait is the first of them, loss the share of commands to that gateway that had to be repeated
// of late. Half of the time left bounds it, or a bad network would have no time to set up calls.
func AnswerRoom(wait, left policy.Tenths, loss float64) policy.Tenths {
	times := answersLeast
	for p := math.Pow(loss, answersLeast); p > unheard && times < answersMost; p *= loss {
		times++
	}
	room := policy.Tenths(0)
	for i := range times - 1 {
		room += wait << i
	}
	return min(room, left/2)
}

// DoorShut tells whether a user who lifts the receiver now should hear congestion in place of dial tone: calls wait longer for
// the program than a part of the tightest GoS target, so that the call would likely be late, and to let it dial adds to what is
// late already. Those who have dialled go on.
func DoorShut(wait, gos policy.Tenths) bool { return wait > gos/2 }

// Leftovers picks from what an endpoint holds the connections of no live call. It was asked while no command of ours was out on
// that endpoint, so that none is being made that we do not know yet; live is the connection of the call that goes on there, ""
// none. gone: the live one is not there.
func Leftovers(held []string, live string) (left []string, gone bool) {
	gone = live != ""
	for _, id := range held {
		if id == live && live != "" {
			gone = false
			continue
		}
		left = append(left, id)
	}
	slices.Sort(left)
	return left, gone
}

// Stale tells whether a notification under request id got says less than was heard under request id heard: ids count up, and
// one from before the last that was heard had been overtaken on its way.
func Stale(got, heard uint32) bool { return int32(got-heard) < 0 }
