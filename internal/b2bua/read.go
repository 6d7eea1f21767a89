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
	fieldClass    = "Priority-Class"
	fieldExpires  = "Expires-Ms"
	fieldRepeat   = "P-Repeat"
	fieldInfo     = "P-Trunk-Info"
	fieldBackOff  = "P-Back-Off"
	fieldWarning  = "Warning-Word"
	fieldWait     = "P-Wait"
	fieldLoad     = "P-Load"
	fieldReason   = "Reason"
	idDigits      = 16
	expiresMost   = 3_600_000 // in ms; no caller waits longer than an hour
	whollyMost    = 1 << 16   // exchanges and circuits are counted in two octets
	causeNormal   = 16        // Q.850: normal call clearing
	causeTempFail = 41        // Q.850: temporary failure
)

// offer is a parsed set-up.
type offer struct {
	id  uint64
	ask policy.Call
	at  uint32 // the switch at which an adopted call is established
	// adopted reports that the set-up names such a switch.
	adopted bool
}

var errOffer = errors.New("invalid set-up")

func bad(format string, a ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errOffer}, a...)...)
}

// readID parses an id of 16 hexadecimal digits.
func readID(s string) (uint64, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != idDigits {
		return 0, bad("invalid id %.40q", s)
	}
	return v, nil
}

// readOffer parses a set-up. The numbers of exchanges and circuits are only checked for plausible values; the
// policy decides whether the call can be carried.
func readOffer(m *sip.Message, set *deployment.Settings) (o offer, err error) {
	if o.id, err = readID(m.CallID); err != nil {
		return o, err
	}
	if o.ask.Number, err = readID(m.User()); err != nil {
		return o, fmt.Errorf("called number: %w", err)
	}
	o.ask.Dest, o.ask.Width, o.ask.AdvisedTandem, o.ask.Bearer = -1, 1, -1, -1
	class := m.Get(fieldClass)
	for i, name := range set.BearerNames {
		if name == class {
			o.ask.Bearer = i
		}
	}
	for _, part := range strings.Split(m.Get(fieldInfo), ";") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), ":")
		if !ok {
			if part == "" {
				continue
			}
			return o, bad("%s %.40q", fieldInfo, part)
		}
		if name == "at" {
			if o.at, err = board.ParseID(value); err != nil {
				return o, fmt.Errorf("%w: %w", errOffer, err)
			}
			o.adopted = true
			continue
		}
		v, err := strconv.ParseFloat(value, 64) // whole numbers, perhaps written with a decimal point
		if err != nil || !(v >= -1 && v < whollyMost) || v != float64(int(v)) {
			return o, bad("%s %.40q", fieldInfo, part)
		}
		switch name {
		case "dest":
			o.ask.Dest = int(v)
		case "width":
			o.ask.Width = int(v)
		case "via":
			o.ask.AdvisedTandem = int(v)
		case "transit":
			o.ask.Transit = v == 1
		case "again":
			o.ask.Disconnected = v == 1
		}
	}
	if o.adopted {
		return o, nil
	}
	if o.ask.Bearer < 0 {
		return o, bad("%s %.40q is not configured", fieldClass, class)
	}
	if o.ask.Dest < 0 || o.ask.Width < 1 {
		return o, bad("%s lacks a destination or a circuit", fieldInfo)
	}
	o.ask.Redial = m.Get(fieldRepeat) == "1"
	ms, err := strconv.ParseFloat(m.Get(fieldExpires), 64)
	if err != nil || !(ms > 0 && ms <= expiresMost) {
		return o, bad("%s %.40q", fieldExpires, m.Get(fieldExpires))
	}
	o.ask.TTL = deployment.TenthsFromMillis(ms)
	return o, nil
}

// dialect maps the names of load values on the wire to those in the settings.
var dialect = map[string]string{"x0": "free", "x1": "size", "eps": "hold_back", "latency_ms": "avg_ms"}

// readLoad parses the load report that a message carries, as in "x0:12;x1:40;queue:3".
func readLoad(m *sip.Message) policy.LoadReport {
	var names []string
	var values []float64
	for _, part := range strings.Split(m.Get(fieldLoad), ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		if own, ok := dialect[name]; ok {
			name = own
		}
		names, values = append(names, name), append(values, v)
	}
	return deployment.LoadReport(names, values)
}

var words = map[string]policy.Reason{"atb": policy.NoCircuit, "rtb": policy.TurnedBack, "racc": policy.DestOverloaded,
	"acc": policy.ProcessorOverloaded, "sub": policy.NumberBusy}

// readRefusal returns how a refused route try ended, the reason, and the wait that the switch asks for.
func readRefusal(m *sip.Message) (end policy.Outcome, why policy.Reason, wait policy.Tenths) {
	why = words[m.Get(fieldWarning)]
	if ms, err := strconv.ParseFloat(m.Get(fieldWait), 64); err == nil && ms >= 0 && ms <= expiresMost {
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

// cause returns the Q.850 cause of a release, -1 if there is none (RFC 3326).
func cause(m *sip.Message) int {
	for _, part := range strings.Split(m.Get(fieldReason), ";") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "cause="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return n
			}
		}
	}
	return -1
}
