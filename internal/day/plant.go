package day

import (
	"fmt"

	"indigodrift/internal/exchange"
	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// Plants are the breaks that a day can plant, one for each rule.
var Plants = []string{"answer", "copy", "drain", "cold", "release"}

// Wrong is a controller that breaks a rule on its sockets: the audit must find it.
type Wrong struct {
	kind  string
	done  bool
	burst int // neighbour to be flooded, -1 none
	near  []exchange.Neighbour
}

// NewWrong makes what breaks one rule.
func NewWrong(kind string, near []exchange.Neighbour) (*Wrong, error) {
	for _, k := range Plants {
		if k == kind {
			return &Wrong{kind: kind, burst: -1, near: near}, nil
		}
	}
	return nil, fmt.Errorf("no break %q can be planted; there are %v", kind, Plants)
}

// Deciding wraps the way a decider is built, so that it forgets a rule.
func (w *Wrong) Deciding(build func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider) func(policy.Deployment, policy.Executor, policy.Tenths) exchange.Decider {
	return func(d policy.Deployment, out policy.Executor, now policy.Tenths) exchange.Decider {
		if w.kind == "release" {
			d.ReleaseTime = 0
		}
		return &deaf{Decider: build(d, out, now), w: w}
	}
}

// deaf is a decider that does not hear what the list says of drains, or notes which switch is cold.
type deaf struct {
	exchange.Decider
	w *Wrong
}

// ListReceived passes the list on as the planted break wants it.
func (d *deaf) ListReceived(now policy.Tenths, whole bool, list []policy.Switch) {
	told := append([]policy.Switch{}, list...)
	for i := range told {
		if d.w.kind == "drain" {
			told[i].Ready = true
		}
		if d.w.kind == "cold" && told[i].Ready && now-told[i].BootAt < 20000 && now > 20000 {
			for j, n := range d.w.near {
				if n.Number == told[i].Number && !d.w.done {
					d.w.burst = j
				}
			}
		}
	}
	d.Decider.ListReceived(now, whole, told)
}

// Sent is what becomes of a message that the controller sends.
func (w *Wrong) Sent(to exchange.Hop, m isup.Message, send func(exchange.Hop, isup.Message)) {
	send(to, m)
	switch {
	case w.kind == "answer" && !w.done && to.Side == exchange.Line && to.Point < exchange.FirstCalledPoint && m.Type == isup.REL:
		w.done = true
		send(to, m)
	case w.kind == "copy" && !w.done && to.Side == exchange.Succeeding && m.Type == isup.IAM && len(w.near) > 1:
		w.done = true
		to.Peer = (to.Peer + 1) % len(w.near)
		send(to, m)
	case w.kind == "cold" && w.burst >= 0:
		to := exchange.Hop{Side: exchange.Succeeding, Peer: w.burst}
		w.burst, w.done = -1, true
		for i := range uint32(600) {
			send(to, isup.Message{CIC: 1, Type: isup.IAM, Width: 1, Digits: exchange.LineNumber(w.near[to.Peer].Number, i), HopCounter: 1,
				Ref: isup.Reference{Point: 999, Identity: i + 1}, UserInfo: isup.UserInfo{Present: isup.PartCall}})
		}
	}
}
