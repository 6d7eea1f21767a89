package platform

import (
	"errors"
	"fmt"

	"indigodrift/internal/sip"
)

// Faults that a station can be made to have, so that a test of a judge can see it find them.
const (
	PlantRelease = "release" // no release of some calls is written to callers
	PlantAnswer  = "answer"  // some final answers are written twice
	PlantEarly   = "early"   // calls are sent again before the release time has passed

	PlantStanding = "standing" // no release is written to switches
	PlantCrossing = "crossing" // a switch's release ends whatever try of its call is out there
)

// ErrPlant tells that there is no such fault to plant.
var ErrPlant = errors.New("no such fault")

// plantEvery is the share of calls that a planted fault meets: one in so many.
const plantEvery = 5

// Plant gives the configuration a fault; "" is none. All but PlantEarly act in the station that is made of it.
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

// copies is how often a message is written to a caller or a switch: once, unless a fault is planted.
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

// crossing is the answer that ends the try on whose connection a release came, nil unless that fault is planted.
func (m *Machine) crossing(in *sip.Message) *sip.Message {
	if m.planted != PlantCrossing || in.Method != sip.Bye {
		return nil
	}
	return &sip.Message{Status: sip.ServerTimeout, CallID: in.CallID, CSeq: 1, CSeqMethod: sip.Invite}
}

func chosen(id string) bool { return id != "" && id[len(id)-1]%plantEvery == 0 }
