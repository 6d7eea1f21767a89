package b2bua

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"indigodrift/internal/board"
	"indigodrift/internal/deployment"
	"indigodrift/internal/sip"
	"indigodrift/policy"
)

// Header fields of the platform, and limits of their values.
const (
	fieldClass            = "Priority-Class"
	fieldExpires          = "Expires-Ms"
	fieldRepeat           = "P-Repeat"
	fieldInfo             = "P-Trunk-Info"
	fieldBackOff          = "P-Back-Off"
	fieldWarning          = "Warning-Word"
	fieldWait             = "P-Wait"
	fieldLoad             = "P-Load"
	fieldReason           = "Reason"
	idDigits              = 16
	maxExpiresMS          = 3_600_000 // in ms; no caller waits longer than an hour
	maxCount              = 1 << 16   // exchanges and circuits are counted in two octets
	causeNormal           = 16        // Q.850: normal call clearing
	causeTemporaryFailure = 41        // Q.850: temporary failure
)

// setUp is a parsed set-up.
type setUp struct {
	id        uint64
	request   policy.Call
	adoptedAt uint32 // the switch at which an adopted call is established
	// adopted reports that the set-up names such a switch.
	adopted bool
}

var errSetUp = errors.New("invalid set-up")

func setUpError(format string, a ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errSetUp}, a...)...)
}

// parseID parses an id of 16 hexadecimal digits.
func parseID(s string) (uint64, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != idDigits {
		return 0, setUpError("invalid id %.40q", s)
	}
	return v, nil
}

// parseSetUp parses a set-up. The numbers of exchanges and circuits are only checked for plausible values; the
// policy decides whether the call can be carried.
func parseSetUp(m *sip.Message, set *deployment.Settings) (o setUp, err error) {
	if o.id, err = parseID(m.CallID); err != nil {
		return o, err
	}
	if o.request.Number, err = parseID(m.User()); err != nil {
		return o, fmt.Errorf("called number: %w", err)
	}
	o.request.Dest, o.request.Width, o.request.AdvisedTandem, o.request.Bearer = -1, 1, -1, -1
	class := m.Get(fieldClass)
	for i, name := range set.BearerNames {
		if name == class {
			o.request.Bearer = i
		}
	}
	for _, part := range strings.Split(m.Get(fieldInfo), ";") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), ":")
		if !ok {
			if part == "" {
				continue
			}
			return o, setUpError("%s %.40q", fieldInfo, part)
		}
		if name == "at" {
			if o.adoptedAt, err = board.ParseID(value); err != nil {
				return o, fmt.Errorf("%w: %w", errSetUp, err)
			}
			o.adopted = true
			continue
		}
		v, err := strconv.ParseFloat(value, 64) // whole numbers, perhaps written with a decimal point
		if err != nil || !(v >= -1 && v < maxCount) || v != float64(int(v)) {
			return o, setUpError("%s %.40q", fieldInfo, part)
		}
		switch name {
		case "dest":
			o.request.Dest = int(v)
		case "width":
			o.request.Width = int(v)
		case "via":
			o.request.AdvisedTandem = int(v)
		case "transit":
			o.request.Transit = v == 1
		case "again":
			o.request.Disconnected = v == 1
		}
	}
	if o.adopted {
		return o, nil
	}
	if o.request.Bearer < 0 {
		return o, setUpError("%s %.40q is not configured", fieldClass, class)
	}
	if o.request.Dest < 0 || o.request.Width < 1 {
		return o, setUpError("%s lacks a destination or a circuit", fieldInfo)
	}
	o.request.Redial = m.Get(fieldRepeat) == "1"
	ms, err := strconv.ParseFloat(m.Get(fieldExpires), 64)
	if err != nil || !(ms > 0 && ms <= maxExpiresMS) {
		return o, setUpError("%s %.40q", fieldExpires, m.Get(fieldExpires))
	}
	o.request.TTL = deployment.TenthsFromMillis(ms)
	return o, nil
}

// loadNames maps the names of load values on the wire to those in the settings.
var loadNames = map[string]string{"x0": "free", "x1": "size", "eps": "hold_back", "latency_ms": "avg_ms"}

// parseLoad parses the load report that a message carries, as in "x0:12;x1:40;queue:3".
func parseLoad(m *sip.Message) policy.LoadReport {
	var names []string
	var values []float64
	for _, part := range strings.Split(m.Get(fieldLoad), ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		if own, ok := loadNames[name]; ok {
			name = own
		}
		names, values = append(names, name), append(values, v)
	}
	return deployment.LoadReport(names, values)
}

var warningReasons = map[string]policy.Reason{"atb": policy.NoCircuit, "rtb": policy.TurnedBack, "racc": policy.DestOverloaded,
	"acc": policy.ProcessorOverloaded, "sub": policy.NumberBusy}

// parseRefusal returns how a refused route try ended, the reason, and the wait that the switch asks for.
func parseRefusal(m *sip.Message) (end policy.Outcome, why policy.Reason, wait policy.Tenths) {
	why = warningReasons[m.Get(fieldWarning)]
	if ms, err := strconv.ParseFloat(m.Get(fieldWait), 64); err == nil && ms >= 0 && ms <= maxExpiresMS {
		wait = deployment.TenthsFromMillis(ms)
	}
	switch m.Status {
	case sip.ServiceUnavailable:
		end = policy.Blocked
	case sip.TemporarilyUnavailable:
		end = policy.Unsent
	case sip.ServerTimeout:
		end = policy.Disconnected
	default:
		end = policy.Faulted
	}
	return end, why, wait
}

// parseCause returns the Q.850 cause of a release, -1 if there is none (RFC 3326).
func parseCause(m *sip.Message) int {
	for _, part := range strings.Split(m.Get(fieldReason), ";") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "cause="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return n
			}
		}
	}
	return -1
}
