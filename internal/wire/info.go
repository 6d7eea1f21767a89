package wire

import (
	"encoding/json"
	"fmt"
	"math"

	"indigodrift/policy"
)

// launchInfo holds the keys read from an instance's first message; all others are ignored.
type launchInfo struct {
	Grades []struct {
		Aim, Deadline, Worth float64
		LateWorth            float64 `json:"late_worth"`
	}
	Discovery  string
	FamilyInfo struct {
		ClassCells   [][]int `json:"class_cells"`
		ReleaseGuard float64 `json:"release_guard"`
		Retransmit   float64
		SelfNo       *int `json:"self_no"`
		Shape        string
	} `json:"family_info"`
	LoadReport struct{ Names []string } `json:"load_report"`
	Limits     struct {
		Cancel        bool
		MaxAttempts   int     `json:"max_attempts"`
		RetryAfter    bool    `json:"retry_after"`
		MaxRetryAfter float64 `json:"max_retry_after"`
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

// deployment reads the first message of an instance, and the names of its report values.
func deployment(text []byte) (policy.Deployment, []string, error) {
	var l launchInfo
	if err := json.Unmarshal(text, &l); err != nil {
		return policy.Deployment{}, nil, fmt.Errorf("settings do not parse: %w", err)
	}
	if len(l.Grades) == 0 {
		return policy.Deployment{}, nil, fmt.Errorf("settings name no bearer type")
	}
	d := policy.Deployment{
		Own: -1, Pools: l.FamilyInfo.Shape == "pools",
		MaxTries: l.Limits.MaxAttempts, ReleaseTime: span10(l.FamilyInfo.ReleaseGuard),
		Resend: span10(l.FamilyInfo.Retransmit), DrainGrace: span10(l.Rules.StopSendingWithin),
		ColdFrom: l.Rules.ColdFrom, RampTime: span10(l.Rules.RampTime), FallMultiple: l.Rules.TipMultiple,
		FallWindow: span10(l.Rules.TipAfter), ListAsked: l.Discovery == "subscribe",
		AskWithin: span10(l.Rules.AskWithin), CancelsAllowed: l.Limits.Cancel,
	}
	if l.FamilyInfo.SelfNo != nil {
		d.Own = *l.FamilyInfo.SelfNo
	}
	if l.Limits.RetryAfter {
		d.ComeBackMost = span10(l.Limits.MaxRetryAfter)
	}
	for i, g := range l.Grades {
		b := policy.Bearer{Revenue: g.Worth, LateShare: g.LateWorth, GoSTarget: span10(g.Aim),
			Abandon: span10(g.Deadline)}
		if i < len(l.FamilyInfo.ClassCells) {
			b.Pools = l.FamilyInfo.ClassCells[i]
		}
		d.Bearers = append(d.Bearers, b)
	}
	return d, l.LoadReport.Names, nil
}

// span10 rounds a span up to whole tenths, so that no wait falls short.
func span10(ms float64) policy.Tenths { return policy.Tenths(math.Ceil(ms*10 - 1e-6)) }
