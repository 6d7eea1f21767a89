// Package deployment parses the operators' settings object into the policy's view of its deployment. The test bench's first
// message (internal/wire) and the platform's configuration (internal/platform) contain the same object.
package deployment

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"

	"indigodrift/policy"
)

// Settled is a parsed settings object: the policy's part, and settings for the programs around it.
type Settled struct {
	Module      policy.Deployment
	Bearers     []string      // names of the bearer types, in the order of the policy's list
	Reported    []string      // names of the values in a load report
	DialTime    policy.Tenths // 0 if not set
	OpenMost    int           // limit of concurrent open calls, 0 if not set
	StreamsMost int           // limit of concurrent route tries on one connection, 0 if not set
}

// whole is a whole number, which may be written with a point or an exponent.
type whole int

// UnmarshalJSON parses a whole number within the limits of a count.
func (w *whole) UnmarshalJSON(text []byte) error {
	if string(text) == "null" { // as if absent
		return nil
	}
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || v != math.Trunc(v) || math.Abs(v) > countMost {
		return fmt.Errorf("%.40s is not a whole number up to 2^31", text)
	}
	*w = whole(v)
	return nil
}

// object is the settings object; other keys are ignored.
type object struct {
	Grades []struct {
		Name                 string
		Aim, Deadline, Worth float64
		LateWorth            float64 `json:"late_worth"`
	}
	Discovery  string
	Replicas   whole `json:"replicas_of_me"`
	FamilyInfo struct {
		ClassCells   [][]whole `json:"class_cells"`
		Holding      []float64
		ReleaseGuard float64 `json:"release_guard"`
		Retransmit   float64
		SelfNo       *whole `json:"self_no"`
		Shape        string
	} `json:"family_info"`
	LoadReport struct{ Names []string } `json:"load_report"`
	Limits     struct {
		Cancel         bool
		DialTimeout    float64 `json:"dial_timeout"`
		MaxAttempts    whole   `json:"max_attempts"`
		MaxOpen        whole   `json:"max_open"`
		RetryAfter     bool    `json:"retry_after"`
		MaxRetryAfter  float64 `json:"max_retry_after"`
		StreamsPerConn whole   `json:"streams_per_conn"`
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

const (
	countMost = 1 << 31
	spanMost  = 1e12 // ms, about 30 years; sums of several spans can't overflow
)

// ErrSettings reports settings that are invalid.
var ErrSettings = errors.New("settings")

// check returns an error that names the first invalid setting.
func (o *object) check() error {
	if len(o.Grades) == 0 {
		return fmt.Errorf("%w: grades: no bearer type is defined", ErrSettings)
	}
	type bounded struct {
		place       string
		v           float64
		least, most float64
	}
	l, r, f := o.Limits, o.Rules, o.FamilyInfo
	all := []bounded{{"policy_limits.dial_timeout", l.DialTimeout, 0, spanMost}, {"policy_limits.max_attempts", float64(l.MaxAttempts), 0, countMost},
		{"policy_limits.max_open", float64(l.MaxOpen), 0, countMost}, {"policy_limits.max_retry_after", l.MaxRetryAfter, 0, spanMost},
		{"policy_limits.streams_per_conn", float64(l.StreamsPerConn), 0, countMost}, {"replicas_of_me", float64(o.Replicas), 0, countMost},
		{"rules.cold_from", r.ColdFrom, 0, 1}, {"rules.ramp_time", r.RampTime, 0, spanMost}, {"rules.stop_sending_within", r.StopSendingWithin, 0, spanMost},
		{"rules.tip_after", r.TipAfter, 0, spanMost}, {"rules.tip_multiple", r.TipMultiple, 0, countMost}, {"rules.ask_within", r.AskWithin, 0, spanMost},
		{"family_info.release_guard", f.ReleaseGuard, 0, spanMost}, {"family_info.retransmit", f.Retransmit, 0, spanMost}}
	for i, h := range f.Holding {
		all = append(all, bounded{fmt.Sprintf("family_info.holding[%d]", i), h, 0, spanMost})
	}
	named := map[string]bool{}
	for i, g := range o.Grades {
		place := fmt.Sprintf("grades[%d].", i)
		if g.Name != "" && named[g.Name] {
			return fmt.Errorf("%w: %sname: %q is defined twice", ErrSettings, place, g.Name)
		}
		named[g.Name] = true
		all = append(all, bounded{place + "aim", g.Aim, spanLeast, spanMost}, bounded{place + "deadline", g.Deadline, spanLeast, spanMost},
			bounded{place + "worth", g.Worth, 0, countMost}, bounded{place + "late_worth", g.LateWorth, 0, countMost})
	}
	for _, b := range all {
		if !(b.v >= b.least && b.v <= b.most) {
			return fmt.Errorf("%w: %s: %g is not between %g and %g", ErrSettings, b.place, b.v, b.least, b.most)
		}
	}
	return nil
}

const spanLeast = 0.1 // ms, the resolution of policy.Tenths

// Read parses a settings object. It doesn't set the seed. Defaults for absent keys: without max_attempts the tries are limited
// by time only; without tip_multiple, tip_after or ramp_time no switch counts as cold; without replicas_of_me one call
// controller is assumed; without dial_timeout, max_open or streams_per_conn the program's own limits apply; all others are 0
// or false.
func Read(text []byte) (Settled, error) {
	var o object
	if err := json.Unmarshal(text, &o); err != nil {
		return Settled{}, fmt.Errorf("%w do not parse: %w", ErrSettings, err)
	}
	if err := o.check(); err != nil {
		return Settled{}, err
	}
	d := policy.Deployment{
		OwnExchange: -1, Pools: o.FamilyInfo.Shape == "pools", Controllers: int(o.Replicas),
		MaxTries: int(o.Limits.MaxAttempts), ReleaseTime: spanUp(o.FamilyInfo.ReleaseGuard),
		ResendInterval: spanUp(o.FamilyInfo.Retransmit), DrainGrace: spanUp(o.Rules.StopSendingWithin),
		InitialCapacity: o.Rules.ColdFrom, RampTime: spanUp(o.Rules.RampTime), OverloadMultiple: o.Rules.TipMultiple,
		OverloadWindow: spanUp(o.Rules.TipAfter), MustSubscribe: o.Discovery == "subscribe",
		MaxSubscribeInterval: spanUp(o.Rules.AskWithin), CancelsAllowed: o.Limits.Cancel,
	}
	if d.MaxTries == 0 {
		d.MaxTries = countMost
	}
	if d.OverloadMultiple == 0 || d.OverloadWindow == 0 {
		d.RampTime = 0
	}
	if o.FamilyInfo.SelfNo != nil {
		d.OwnExchange = int(*o.FamilyInfo.SelfNo)
	}
	if o.Limits.RetryAfter {
		d.MaxRetryAfter = spanUp(o.Limits.MaxRetryAfter)
	}
	s := Settled{Reported: o.LoadReport.Names, DialTime: spanUp(o.Limits.DialTimeout),
		OpenMost: int(o.Limits.MaxOpen), StreamsMost: int(o.Limits.StreamsPerConn)}
	for i, g := range o.Grades {
		b := policy.Bearer{Revenue: g.Worth, LateShare: g.LateWorth, GoSTarget: spanUp(g.Aim), AbandonTime: spanUp(g.Deadline)}
		if i < len(o.FamilyInfo.ClassCells) {
			for _, c := range o.FamilyInfo.ClassCells[i] {
				b.Pools = append(b.Pools, int(c))
			}
		}
		if i < len(o.FamilyInfo.Holding) {
			b.HoldingTime = spanUp(o.FamilyInfo.Holding[i])
		}
		d.Bearers = append(d.Bearers, b)
		s.Bearers = append(s.Bearers, g.Name)
	}
	s.Module = d
	return s, nil
}

// spanUp converts a span in milliseconds and rounds up, so that no wait is too short.
func spanUp(ms float64) policy.Tenths { return policy.Tenths(math.Ceil(ms*10 - 1e-6)) }

// Report converts the values of a load report, in the order of the names in the settings. An absent, negative or non-numeric
// value counts as not reported.
func Report(names []string, values []float64) policy.LoadReport {
	r := policy.LoadReport{Free: -1, Size: -1, Wait: -1, HoldBack: -1}
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

// Tenths converts a time or span in milliseconds and rounds down.
func Tenths(ms float64) policy.Tenths { return policy.Tenths(math.Floor(ms*10 + 1e-6)) }
