package platform

import (
	"errors"
	"fmt"

	"indigodrift/internal/sip"
)

// Faults that a controller can be made to have, to test that the checks of internal/soak detect them.
const (
	PlantRelease = "release" // no release is written to the callers of some calls
	PlantAnswer  = "answer"  // the final answers to some calls are written twice
	PlantEarly   = "early"   // calls are retried before the release time has passed

	PlantStanding = "standing" // no release is written to switches
	PlantCrossing = "crossing" // a release by a switch ends any pending try of its call on that connection
)

// ErrPlant reports the name of a fault that does not exist.
var ErrPlant = errors.New("unknown fault to inject")

// plantEvery sets the share of affected calls: one in plantEvery.
const plantEvery = 5

// Plant sets the fault to inject, "" for none. PlantEarly changes the settings; the others act in the server made of this configuration.
func (m *Machine) Plant(fault string) error {
	switch fault {
	case "", PlantRelease, PlantAnswer, PlantStanding, PlantCrossing:
	case PlantEarly:
		m.Settled.Module.ReleaseTime = 0
	default:
		return fmt.Errorf("%w: %q", ErrPlant, fault)
	}
	m.planted = fault
	return nil
}

// copies returns how often a message is written to a caller or a switch: once, unless a fault is injected.
func (m *Machine) copies(toCaller bool, out *sip.Message) int {
	if !toCaller {
		if m.planted == PlantStanding && out.Method == sip.Bye {
			return 0
		}
		return 1
	}
	switch {
	case m.planted == PlantRelease && out.Method == sip.Bye && chosen(out.CallID):
		return 0
	case m.planted == PlantAnswer && out.Status != 0 && out.CSeqMethod == sip.Invite && chosen(out.CallID):
		return 2
	}
	return 1
}

// crossing returns an answer that ends the try on whose connection a release arrived, nil unless that fault is injected.
func (m *Machine) crossing(in *sip.Message) *sip.Message {
	if m.planted != PlantCrossing || in.Method != sip.Bye {
		return nil
	}
	return &sip.Message{Status: sip.ServerTimeout, CallID: in.CallID, CSeq: 1, CSeqMethod: sip.Invite}
}

// chosen reports whether an injected fault affects a call.
func chosen(id string) bool { return id != "" && id[len(id)-1]%plantEvery == 0 }
