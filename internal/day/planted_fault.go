package day

import (
	"fmt"

	"indigodrift/internal/exchange"
	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// PlantedFaults are the violations that a day can inject, one of each rule.
var PlantedFaults = []string{"answer", "copy", "drain", "cold", "release"}

// FaultyController makes a controller violate a rule on its sockets. The audit must find the violation.
type FaultyController struct {
	kind        string
	planted     bool
	floodTarget int // neighbour to flood with set-ups; -1: none
	neighbours  []exchange.Neighbour
}

// NewFaultyController returns a planted fault of one kind, for a controller with the given neighbours.
func NewFaultyController(kind string, neighbours []exchange.Neighbour) (*FaultyController, error) {
	for _, k := range PlantedFaults {
		if k == kind {
			return &FaultyController{kind: kind, floodTarget: -1, neighbours: neighbours}, nil
		}
	}
	return nil, fmt.Errorf("unknown planted fault %q; known are %v", kind, PlantedFaults)
}

// WrapDecider wraps a builder of deciders, so that the decider violates a rule.
func (f *FaultyController) WrapDecider(build func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider) func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider {
	return func(deployment policy.Deployment, executor policy.Executor, now policy.Tenths) exchange.Decider {
		if f.kind == "release" {
			deployment.ReleaseTime = 0
		}
		return &faultyDecider{Decider: build(deployment, executor, now), controller: f}
	}
}

// faultyDecider is a decider that ignores drains, or that selects a cold switch to flood.
type faultyDecider struct {
	exchange.Decider
	controller *FaultyController
}

// ListReceived passes the list on, changed as the planted fault needs it.
func (d *faultyDecider) ListReceived(now policy.Tenths, full bool, list []policy.Switch) {
	changed := append([]policy.Switch{}, list...)
	for i := range changed {
		if d.controller.kind == "drain" {
			changed[i].Ready = true
		}
		if d.controller.kind == "cold" && changed[i].Ready && now-changed[i].BootAt < 20000 && now > 20000 {
			for index, neighbour := range d.controller.neighbours {
				if neighbour.Number == changed[i].Number && !d.controller.planted {
					d.controller.floodTarget = index
				}
			}
		}
	}
	d.Decider.ListReceived(now, full, changed)
}

// InterceptSend sends a message of the controller. At the first message that suits the planted fault it also sends the fault's
// own messages, once.
func (f *FaultyController) InterceptSend(to exchange.Hop, message isup.Message, send func(exchange.Hop, isup.Message)) {
	send(to, message)
	switch {
	case f.kind == "answer" && !f.planted && to.Side == exchange.Line && to.Point < exchange.FirstCalledPoint && message.Type == isup.REL:
		f.planted = true
		send(to, message)
	case f.kind == "copy" && !f.planted && to.Side == exchange.Succeeding && message.Type == isup.IAM && len(f.neighbours) > 1:
		f.planted = true
		to.Peer = (to.Peer + 1) % len(f.neighbours)
		send(to, message)
	case f.kind == "cold" && f.floodTarget >= 0:
		to := exchange.Hop{Side: exchange.Succeeding, Peer: f.floodTarget}
		f.floodTarget, f.planted = -1, true
		for i := range uint32(600) {
			send(to, isup.Message{CIC: 1, Type: isup.IAM, Width: 1, Digits: exchange.LineNumber(f.neighbours[to.Peer].Number, i), HopCounter: 1,
				Ref: isup.Reference{Point: 999, Identity: i + 1}, UserInfo: isup.UserInfo{Present: isup.PartCall}})
		}
	}
}
