// Package deployment reads the operators' settings object into what the module is told of its deployment. The bench's
// first message and the platform's configuration hold the same object, so both doors read it here.
package deployment

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"indigodrift/policy"
)

// Settled is what a settings object states: the module's part, and what the doors themselves need.
type Settled struct {
	Module      policy.Deployment
	Bearers     []string      // names of the bearer types, in the order of Module.Bearers
	Reported    []string      // names of the values of a load report
	DialTime    policy.Tenths // a connection not up within this is given up, 0 when not told
	OpenMost    int           // calls that may be open at once, 0 when not told
	StreamsMost int           // route tries that one connection carries at once, 0 when not told
}

// object holds the keys that are read; all others are ignored.
type object struct {
	Grades []struct {
		Name                 string
		Aim, Deadline, Worth float64
		LateWorth            float64 `json:"late_worth"`
	}
	Discovery  string
	Replicas   int `json:"replicas_of_me"`
	FamilyInfo struct {
		ClassCells   [][]int `json:"class_cells"`
		Holding      []float64
		ReleaseGuard float64 `json:"release_guard"`
		Retransmit   float64
		SelfNo       *int `json:"self_no"`
		Shape        string
	} `json:"family_info"`
	LoadReport struct{ Names []string } `json:"load_report"`
	Limits     struct {
		Cancel         bool
		DialTimeout    float64 `json:"dial_timeout"`
		MaxAttempts    int     `json:"max_attempts"`
		MaxOpen        int     `json:"max_open"`
		RetryAfter     bool    `json:"retry_after"`
		MaxRetryAfter  float64 `json:"max_retry_after"`
		StreamsPerConn int     `json:"streams_per_conn"`
	} `json:"policy_limits"`
	Rules struct {
		ColdFrom          float64 `json:"cold_from"`
		RampTime          float64 `json:"ramp_time"`
		StopSendingWithin float64 `json:"stop_sending_within"`
		TipAfter          float64 `json:"tip_after"`
		TipMultiple       float64 `json:"tip_multiple"`
		AskWithin         float64 `json:"ask_within"`
	}
}

// Read reads a settings object. The seed is not part of it.
func Read(text []byte) (Settled, error) {
	var o object
	if err := json.Unmarshal(text, &o); err != nil {
		return Settled{}, fmt.Errorf("settings do not parse: %w", err)
	}
	if len(o.Grades) == 0 {
		return Settled{}, errors.New("settings name no bearer type")
	}
	d := policy.Deployment{
		Own: -1, Pools: o.FamilyInfo.Shape == "pools", Controllers: o.Replicas,
		MaxTries: o.Limits.MaxAttempts, ReleaseTime: spanUp(o.FamilyInfo.ReleaseGuard),
		Resend: spanUp(o.FamilyInfo.Retransmit), DrainGrace: spanUp(o.Rules.StopSendingWithin),
		ColdFrom: o.Rules.ColdFrom, RampTime: spanUp(o.Rules.RampTime), FallMultiple: o.Rules.TipMultiple,
		FallWindow: spanUp(o.Rules.TipAfter), ListAsked: o.Discovery == "subscribe",
		AskWithin: spanUp(o.Rules.AskWithin), CancelsAllowed: o.Limits.Cancel,
	}
	if o.FamilyInfo.SelfNo != nil {
		d.Own = *o.FamilyInfo.SelfNo
	}
	if o.Limits.RetryAfter {
		d.ComeBackMost = spanUp(o.Limits.MaxRetryAfter)
	}
	s := Settled{Reported: o.LoadReport.Names, DialTime: spanUp(o.Limits.DialTimeout),
		OpenMost: o.Limits.MaxOpen, StreamsMost: o.Limits.StreamsPerConn}
	for i, g := range o.Grades {
		b := policy.Bearer{Revenue: g.Worth, LateShare: g.LateWorth, GoSTarget: spanUp(g.Aim), Abandon: spanUp(g.Deadline)}
		if i < len(o.FamilyInfo.ClassCells) {
			b.Pools = o.FamilyInfo.ClassCells[i]
		}
		if i < len(o.FamilyInfo.Holding) {
			b.Holding = spanUp(o.FamilyInfo.Holding[i])
		}
		d.Bearers = append(d.Bearers, b)
		s.Bearers = append(s.Bearers, g.Name)
	}
	s.Module = d
	return s, nil
}

// spanUp rounds a span in milliseconds up to whole tenths, so that no wait falls short.
func spanUp(ms float64) policy.Tenths { return policy.Tenths(math.Ceil(ms*10 - 1e-6)) }

// Report reads the values of a load report, named as the settings name them. A value that is absent, negative or no
// number is not told.
func Report(names []string, values []float64) policy.Report {
	r := policy.Report{Free: -1, Size: -1, Wait: -1, HoldBack: -1}
	for i, name := range names[:min(len(names), len(values))] {
		v := values[i]
		if !(v >= 0) || v > 1e9 {
			continue
		}
		switch name {
		case "free":
			r.Free = int(v)
		case "size":
			r.Size = int(v)
		case "avg_ms":
			r.Wait = Tenths(v)
		case "hold_back":
			r.HoldBack = v
		}
	}
	return r
}

// Tenths cuts an instant or span in milliseconds to whole tenths.
func Tenths(ms float64) policy.Tenths { return policy.Tenths(math.Floor(ms*10 + 1e-6)) }
