// Package deployment parses the operators' settings object into the policy's view of its deployment. The simulator's message that
// starts a controller (internal/wire) and the platform's configuration (internal/platform) contain the same object.
package deployment

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"

	"indigodrift/policy"
)

// Settings are the parsed settings: those of the policy, and those of the program around it.
type Settings struct {
	Policy          policy.Deployment
	BearerNames     []string      // names of the bearer types, in the order of the policy's list
	LoadReportNames []string      // names of the values in a load report
	DialTimeout     policy.Tenths // to open a connection, 0 if not set
	MaxOpenCalls    int           // limit of concurrent open calls, 0 if not set
	MaxTriesPerConn int           // limit of concurrent route tries on one connection, 0 if not set
}

// wholeNumber is a whole number in JSON. It may be written with a point or an exponent, such as 3.0 or 2e4.
type wholeNumber int

// UnmarshalJSON parses a whole number within the limits of a count.
func (w *wholeNumber) UnmarshalJSON(text []byte) error {
	if string(text) == "null" { // as if absent
		return nil
	}
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || v != math.Trunc(v) || math.Abs(v) > maxCount {
		return fmt.Errorf("%.40s is not a whole number up to 2^31", text)
	}
	*w = wholeNumber(v)
	return nil
}

// settingsObject has the keys of the settings object that are read; all others are ignored.
type settingsObject struct {
	Grades []struct {
		Name                 string
		Aim, Deadline, Worth float64
		LateWorth            float64 `json:"late_worth"`
	}
	Discovery  string
	Replicas   wholeNumber `json:"replicas_of_me"`
	FamilyInfo struct {
		ClassCells   [][]wholeNumber `json:"class_cells"`
		Holding      []float64
		ReleaseGuard float64 `json:"release_guard"`
		Retransmit   float64
		SelfNo       *wholeNumber `json:"self_no"`
		Shape        string
	} `json:"family_info"`
	LoadReport struct{ Names []string } `json:"load_report"`
	Limits     struct {
		Cancel         bool
		DialTimeout    float64     `json:"dial_timeout"`
		MaxAttempts    wholeNumber `json:"max_attempts"`
		MaxOpen        wholeNumber `json:"max_open"`
		RetryAfter     bool        `json:"retry_after"`
		MaxRetryAfter  float64     `json:"max_retry_after"`
		StreamsPerConn wholeNumber `json:"streams_per_conn"`
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
	maxCount = 1 << 31
	maxTries = 128  // of one call: its tries are held until it is forgotten
	maxSpan  = 1e12 // ms, about 30 years; sums of several spans can't overflow
)

// ErrSettings reports invalid settings.
var ErrSettings = errors.New("settings")

// validate returns an error that names the first invalid setting.
func (o *settingsObject) validate() error {
	if len(o.Grades) == 0 {
		return fmt.Errorf("%w: grades: no bearer type is defined", ErrSettings)
	}
	type bound struct {
		key          string
		value        float64
		lower, upper float64
	}
	limits, rules, familyInfo := o.Limits, o.Rules, o.FamilyInfo
	bounds := []bound{{"policy_limits.dial_timeout", limits.DialTimeout, 0, maxSpan}, {"policy_limits.max_attempts", float64(limits.MaxAttempts), 0, maxCount},
		{"policy_limits.max_open", float64(limits.MaxOpen), 0, maxCount}, {"policy_limits.max_retry_after", limits.MaxRetryAfter, 0, maxSpan},
		{"policy_limits.streams_per_conn", float64(limits.StreamsPerConn), 0, maxCount}, {"replicas_of_me", float64(o.Replicas), 0, maxCount},
		{"rules.cold_from", rules.ColdFrom, 0, 1}, {"rules.ramp_time", rules.RampTime, 0, maxSpan}, {"rules.stop_sending_within", rules.StopSendingWithin, 0, maxSpan},
		{"rules.tip_after", rules.TipAfter, 0, maxSpan}, {"rules.tip_multiple", rules.TipMultiple, 0, maxCount}, {"rules.ask_within", rules.AskWithin, 0, maxSpan},
		{"family_info.release_guard", familyInfo.ReleaseGuard, 0, maxSpan}, {"family_info.retransmit", familyInfo.Retransmit, 0, maxSpan}}
	for i, holding := range familyInfo.Holding {
		bounds = append(bounds, bound{fmt.Sprintf("family_info.holding[%d]", i), holding, 0, maxSpan})
	}
	seen := map[string]bool{}
	for i, grade := range o.Grades {
		key := fmt.Sprintf("grades[%d].", i)
		if grade.Name != "" && seen[grade.Name] {
			return fmt.Errorf("%w: %sname: %q is defined twice", ErrSettings, key, grade.Name)
		}
		seen[grade.Name] = true
		bounds = append(bounds, bound{key + "aim", grade.Aim, minSpan, maxSpan}, bound{key + "deadline", grade.Deadline, minSpan, maxSpan},
			bound{key + "worth", grade.Worth, 0, maxCount}, bound{key + "late_worth", grade.LateWorth, 0, maxCount})
	}
	for _, b := range bounds {
		if !(b.value >= b.lower && b.value <= b.upper) {
			return fmt.Errorf("%w: %s: %g is not between %g and %g", ErrSettings, b.key, b.value, b.lower, b.upper)
		}
	}
	return nil
}

const minSpan = 0.1 // ms, the resolution of policy.Tenths

// Parse parses a settings object. It doesn't set the seed. Defaults for absent keys: without max_attempts, or with a higher
// figure, a call has 128 tries at most; without tip_multiple, tip_after or ramp_time no switch counts as cold; without replicas_of_me one call
// controller is assumed; without dial_timeout, max_open or streams_per_conn the program's own limits apply; all others are 0
// or false.
func Parse(text []byte) (Settings, error) {
	var object settingsObject
	if err := json.Unmarshal(text, &object); err != nil {
		return Settings{}, fmt.Errorf("%w do not parse: %w", ErrSettings, err)
	}
	if err := object.validate(); err != nil {
		return Settings{}, err
	}
	deployment := policy.Deployment{
		OwnExchange: -1, Pools: object.FamilyInfo.Shape == "pools", Controllers: int(object.Replicas),
		MaxTries: int(object.Limits.MaxAttempts), ReleaseTime: tenthsRoundedUp(object.FamilyInfo.ReleaseGuard),
		ResendInterval: tenthsRoundedUp(object.FamilyInfo.Retransmit), DrainGrace: tenthsRoundedUp(object.Rules.StopSendingWithin),
		InitialCapacity: object.Rules.ColdFrom, RampTime: tenthsRoundedUp(object.Rules.RampTime), OverloadMultiple: object.Rules.TipMultiple,
		OverloadWindow: tenthsRoundedUp(object.Rules.TipAfter), MustSubscribe: object.Discovery == "subscribe",
		MaxSubscribeInterval: tenthsRoundedUp(object.Rules.AskWithin), CancelsAllowed: object.Limits.Cancel,
	}
	if deployment.MaxTries == 0 || deployment.MaxTries > maxTries {
		deployment.MaxTries = maxTries
	}
	if deployment.OverloadMultiple == 0 || deployment.OverloadWindow == 0 {
		deployment.RampTime = 0
	}
	if object.FamilyInfo.SelfNo != nil {
		deployment.OwnExchange = int(*object.FamilyInfo.SelfNo)
	}
	if object.Limits.RetryAfter {
		deployment.MaxRetryAfter = tenthsRoundedUp(object.Limits.MaxRetryAfter)
	}
	settings := Settings{LoadReportNames: object.LoadReport.Names, DialTimeout: tenthsRoundedUp(object.Limits.DialTimeout),
		MaxOpenCalls: int(object.Limits.MaxOpen), MaxTriesPerConn: int(object.Limits.StreamsPerConn)}
	for i, grade := range object.Grades {
		bearer := policy.Bearer{Revenue: grade.Worth, LateShare: grade.LateWorth, GoSTarget: tenthsRoundedUp(grade.Aim), AbandonTime: tenthsRoundedUp(grade.Deadline)}
		if i < len(object.FamilyInfo.ClassCells) {
			for _, c := range object.FamilyInfo.ClassCells[i] {
				bearer.Pools = append(bearer.Pools, int(c))
			}
		}
		if i < len(object.FamilyInfo.Holding) {
			bearer.HoldingTime = tenthsRoundedUp(object.FamilyInfo.Holding[i])
		}
		deployment.Bearers = append(deployment.Bearers, bearer)
		settings.BearerNames = append(settings.BearerNames, grade.Name)
	}
	settings.Policy = deployment
	return settings, nil
}

// tenthsRoundedUp converts a duration in milliseconds and rounds up, so that no wait is too short.
func tenthsRoundedUp(ms float64) policy.Tenths { return policy.Tenths(math.Ceil(ms*10 - 1e-6)) }

// LoadReport converts the values of a load report, in the order of the names in the settings. An absent, negative or non-numeric
// value counts as not reported.
func LoadReport(names []string, values []float64) policy.LoadReport {
	report := policy.LoadReport{Free: -1, Size: -1, Wait: -1, HoldBack: -1}
	for i, name := range names[:min(len(names), len(values))] {
		v := values[i]
		if !(v >= 0) || v > 1e9 {
			continue
		}
		switch name {
		case "free":
			report.Free = int(v)
		case "size":
			report.Size = int(v)
		case "avg_ms":
			report.Wait = TenthsFromMillis(v)
		case "hold_back":
			report.HoldBack = v
		}
	}
	return report
}

// TenthsFromMillis converts a time or duration in milliseconds and rounds down.
func TenthsFromMillis(ms float64) policy.Tenths { return policy.Tenths(math.Floor(ms*10 + 1e-6)) }
