package gateways

import "indigodrift/internal/isup"

// Tone is a tone that the user hears, or ringing.
type Tone uint8

const (
	Silence Tone = iota
	DialTone
	Busy       // the called line is busy, or the other side ended the call
	Congestion // no free circuit or an overloaded processor; the caller may redial
	Reorder    // the call can't be set up as dialled, or failed
	Ring
	OffHookWarning // off hook without a call for too long
)

// String returns the name of the tone for logs and tests.
func (t Tone) String() string {
	return [...]string{"silence", "dial tone", "busy", "congestion", "reorder", "ring", "off-hook warning"}[t]
}

// ToneFor returns the tone for a release cause (Q.850) and a text for the log.
func ToneFor(cause isup.Cause) (Tone, string) {
	switch cause {
	case isup.NormalClearing, isup.NormalUnspecified:
		return Busy, "the other side hung up"
	case isup.UserBusy:
		return Busy, "the called line is busy"
	case isup.NoAnswer:
		return Busy, "the called line did not answer"
	case isup.NoCircuit:
		return Congestion, "no circuit is free"
	case isup.Congestion:
		return Congestion, "an exchange is overloaded"
	case isup.OutOfOrder, isup.NetworkOutOfOrder:
		return Reorder, "the destination is out of order"
	case isup.TimerExpiry, isup.TemporaryFailure:
		return Reorder, "the call set-up failed"
	}
	return Reorder, "the number cannot be reached"
}
