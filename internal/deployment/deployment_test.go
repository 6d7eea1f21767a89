package deployment

import (
	"errors"
	"math"
	"strings"
	"testing"

	"indigodrift/policy"
)

const minimalSettings = `{"grades":[{"name":"voice","aim":10,"deadline":100,"worth":1}]}`

func TestInvalidSettingsNameTheKey(t *testing.T) {
	for _, test := range []struct{ text, place string }{
		{`{`, "parse"},
		{`[]`, "parse"},
		{`{}`, "grades"},
		{`{"grades":[]}`, "grades"},
		{`{"grades":[{"name":"a","aim":1,"deadline":1},{"name":"a","aim":1,"deadline":1}]}`, "grades[1].name"},
		{`{"grades":[{"name":"a","deadline":1}]}`, "grades[0].aim"},
		{`{"grades":[{"name":"a","aim":1,"deadline":-5}]}`, "grades[0].deadline"},
		{`{"grades":[{"name":"a","aim":1e300,"deadline":1}]}`, "grades[0].aim"},
		{`{"grades":[{"name":"a","aim":1,"deadline":1,"worth":-1}]}`, "grades[0].worth"},
		{`{"grades":[{"name":"a","aim":"soon","deadline":1}]}`, "Grades.Aim"},
		{`{"policy_limits":{"max_attempts":-1},` + minimalSettings[1:], "policy_limits.max_attempts"},
		{`{"policy_limits":{"max_attempts":1.5},` + minimalSettings[1:], "whole number"},
		{`{"policy_limits":{"streams_per_conn":1e30},` + minimalSettings[1:], "whole number"},
		{`{"policy_limits":{"dial_timeout":-1},` + minimalSettings[1:], "policy_limits.dial_timeout"},
		{`{"rules":{"cold_from":1.5},` + minimalSettings[1:], "rules.cold_from"},
		{`{"rules":{"tip_after":-1},` + minimalSettings[1:], "rules.tip_after"},
		{`{"family_info":{"release_guard":-1},` + minimalSettings[1:], "family_info.release_guard"},
		{`{"family_info":{"holding":[5,-1]},` + minimalSettings[1:], "family_info.holding[1]"},
	} {
		_, err := Parse([]byte(test.text))
		if !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), test.place) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line that names %s", test.text, err, test.place)
		}
	}
}

func TestValidSettingsAreParsed(t *testing.T) {
	s, err := Parse([]byte(minimalSettings))
	if err != nil || s.Policy.MaxTries < 100 || s.Policy.OwnExchange != -1 || s.Policy.RampTime != 0 {
		t.Errorf("%+v, %v", s, err)
	}
	s, err = Parse([]byte(`{"unknown":{"deep":[1]},"grades":[{"name":"voice","aim":10.04,"deadline":100,"worth":0,"later":7}],"replicas_of_me":4.8e1,
		"policy_limits":{"max_attempts":3.0,"max_open":2e4,"streams_per_conn":null,"retry_after":true,"max_retry_after":2000},
		"rules":{"cold_from":0.3,"ramp_time":14000,"tip_multiple":3},"family_info":{"self_no":2.0,"class_cells":[[1.0,2]],"holding":[0]}}`))
	d := s.Policy
	if err != nil || d.MaxTries != 3 || s.MaxOpenCalls != 20000 || s.MaxTriesPerConn != 0 || d.OwnExchange != 2 || d.Controllers != 48 || len(d.Bearers[0].Pools) != 2 ||
		d.Bearers[0].GoSTarget != 101 || d.MaxRetryAfter != 20000 || d.RampTime != 0 {
		t.Errorf("%+v, %v", s, err)
	}
}

// decisionCounter counts the calls that the policy sends or answers, and does nothing else.
type decisionCounter struct{ answered int }

func (n *decisionCounter) Send(uint32, uint32, policy.Tenths) { n.answered++ }
func (n *decisionCounter) Block(uint32, policy.Tenths)        { n.answered++ }
func (n *decisionCounter) Abort(uint32)                       { n.answered++ }
func (n *decisionCounter) Cancel(uint32, int)                 {}
func (n *decisionCounter) SetTimer(policy.Tenths, uint64)     {}
func (n *decisionCounter) Subscribe()                         {}
func (n *decisionCounter) Log(string)                         {}

// The policy must work with the extreme values of the settings, and without the optional ones.
func TestPolicyWorksWithExtremeSettings(t *testing.T) {
	for _, text := range []string{minimalSettings,
		`{"grades":[{"name":"a","aim":0.1,"deadline":0.1,"worth":0}],"rules":{"cold_from":0,"ramp_time":1e12,"tip_after":0.1,"tip_multiple":2e9},"replicas_of_me":2e9}`,
		`{"grades":[{"name":"a","aim":1e12,"deadline":1e12,"worth":2e9,"late_worth":2e9}],"rules":{"cold_from":1,"ramp_time":0.1,"tip_after":1e12,"tip_multiple":1e-9},
		"family_info":{"shape":"pools","release_guard":1e12,"retransmit":1e12,"holding":[1e12]},"policy_limits":{"max_attempts":1,"cancel":true}}`} {
		settings, err := Parse([]byte(text))
		if err != nil {
			t.Fatal(text, err)
		}
		counter, now := &decisionCounter{}, policy.Tenths(17e12)
		controller := policy.New(settings.Policy, counter, now)
		controller.ListReceived(now, true, []policy.Switch{{ID: 1, Number: 1, Ready: true, BootAt: now - 1}, {ID: 2, Number: 2, Ready: true}})
		for _, sw := range []uint32{1, 2} {
			controller.LoadReported(now, sw, policy.LoadReport{Free: 5, Size: 5, Wait: -1, HoldBack: -1})
		}
		for id := range uint32(20) {
			now += 100
			controller.Offer(now, policy.Call{ID: id + 1, Dest: 1 + int(id%2), Width: 1, AdvisedTandem: -1, TTL: settings.Policy.Bearers[0].AbandonTime})
		}
		if counter.answered < 20 {
			t.Errorf("%s: %d of 20 calls sent or answered", text, counter.answered)
		}
	}
	if math.MaxInt64/2 < float64(tenthsRoundedUp(maxSpan))*3 {
		t.Error("three of the longest spans cannot be added")
	}
}

// Guards against settings that allow a call any number of tries, each of which is held until the call is forgotten.
func TestTriesOfACallAreBounded(t *testing.T) {
	for _, limits := range []string{`{}`, `{"max_attempts":0}`, `{"max_attempts":1e6}`} {
		s, err := Parse([]byte(`{"policy_limits":` + limits + `,` + minimalSettings[1:]))
		if err != nil || s.Policy.MaxTries != maxTries {
			t.Errorf("%s: %d tries, %v", limits, s.Policy.MaxTries, err)
		}
	}
}
