package platform

import (
	"errors"
	"fmt"

	"indigodrift/internal/sip"
)

// Faults that a controller can be made to have, to test that the checks of internal/soak detect them.
const (
	FaultMissingRelease  = "release" // no release is written to the callers of some calls
	FaultDuplicateAnswer = "answer"  // the final answers to some calls are written twice
	FaultEarlyRetry      = "early"   // calls are retried before the release time has passed

	FaultMissingSwitchRelease = "standing" // no release is written to switches
	FaultCrossedRelease       = "crossing" // a release by a switch ends any pending try of its call on that connection
)

// ErrUnknownFault reports the name of a fault that does not exist.
var ErrUnknownFault = errors.New("unknown fault to inject")

// faultInterval sets the share of affected calls: one in faultInterval.
const faultInterval = 5

// InjectFault sets the fault to inject, "" for none. FaultEarlyRetry changes the settings; the others act in the server that gets
// this configuration.
func (c *Config) InjectFault(fault string) error {
	switch fault {
	case "", FaultMissingRelease, FaultDuplicateAnswer, FaultMissingSwitchRelease, FaultCrossedRelease:
	case FaultEarlyRetry:
		c.Settings.Policy.ReleaseTime = 0
	default:
		return fmt.Errorf("%w: %q", ErrUnknownFault, fault)
	}
	c.injectedFault = fault
	return nil
}

// copies returns how often a message is written to a caller or a switch: once, unless a fault is injected.
func (c *Config) copies(toCaller bool, out *sip.Message) int {
	if !toCaller {
		if c.injectedFault == FaultMissingSwitchRelease && out.Method == sip.Bye {
			return 0
		}
		return 1
	}
	switch {
	case c.injectedFault == FaultMissingRelease && out.Method == sip.Bye && affected(out.CallID):
		return 0
	case c.injectedFault == FaultDuplicateAnswer && out.Status != 0 && out.CSeqMethod == sip.Invite && affected(out.CallID):
		return 2
	}
	return 1
}

// crossedRelease returns an answer that ends the try on whose connection a release arrived, nil unless that fault is injected.
func (c *Config) crossedRelease(in *sip.Message) *sip.Message {
	if c.injectedFault != FaultCrossedRelease || in.Method != sip.Bye {
		return nil
	}
	return &sip.Message{Status: sip.ServerTimeout, CallID: in.CallID, CSeq: 1, CSeqMethod: sip.Invite}
}

// affected reports whether an injected fault affects a call.
func affected(callID string) bool { return callID != "" && callID[len(callID)-1]%faultInterval == 0 }
