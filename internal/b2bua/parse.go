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
	maxURIOctets          = 256       // of a set-up; the URI is held as long as its call
	maxExpiresMS          = 3_600_000 // an hour; no caller waits longer
	maxCount              = 1 << 16   // exchanges and circuits are counted in two octets
	causeNormal           = 16        // Q.850: normal call clearing
	causeTemporaryFailure = 41        // Q.850: temporary failure
)

// setUp is a parsed set-up.
type setUp struct {
	id            uint64
	request       policy.Call
	adoptedSwitch uint32 // the switch at which an adopted call is established
	// adopted reports that the set-up names such a switch.
	adopted bool
}

// errSetUp is wrapped by all errors of parsing a set-up.
var errSetUp = errors.New("invalid set-up")

func setUpError(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errSetUp}, args...)...)
}

// parseID parses an id of 16 hexadecimal digits.
func parseID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != idDigits {
		return 0, setUpError("invalid id %.40q", text)
	}
	return id, nil
}

// parseSetUp parses a set-up. The numbers of exchanges and circuits are only checked for plausible values; the
// policy decides whether the call can be carried.
func parseSetUp(msg *sip.Message, settings *deployment.Settings) (parsed setUp, err error) {
	if parsed.id, err = parseID(msg.CallID); err != nil {
		return parsed, err
	}
	if len(msg.URI) > maxURIOctets || !isVisibleASCII(msg.URI) {
		return parsed, setUpError("request URI %.40q of %d octets", msg.URI, len(msg.URI))
	}
	if parsed.request.Number, err = parseID(msg.User()); err != nil {
		return parsed, fmt.Errorf("called number: %w", err)
	}
	parsed.request.Dest, parsed.request.Width, parsed.request.AdvisedTandem, parsed.request.Bearer = -1, 1, -1, -1
	bearerType := msg.Get(fieldClass)
	for i, name := range settings.BearerNames {
		if name == bearerType {
			parsed.request.Bearer = i
		}
	}
	for _, part := range strings.Split(msg.Get(fieldInfo), ";") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), ":")
		if !ok {
			if part == "" {
				continue
			}
			return parsed, setUpError("%s %.40q", fieldInfo, part)
		}
		if name == "at" {
			if parsed.adoptedSwitch, err = board.ParseID(value); err != nil {
				return parsed, fmt.Errorf("%w: %w", errSetUp, err)
			}
			parsed.adopted = true
			continue
		}
		number, err := strconv.ParseFloat(value, 64) // whole numbers, perhaps written with a decimal point
		if err != nil || !(number >= -1 && number < maxCount) || number != float64(int(number)) {
			return parsed, setUpError("%s %.40q", fieldInfo, part)
		}
		switch name {
		case "dest":
			parsed.request.Dest = int(number)
		case "width":
			parsed.request.Width = int(number)
		case "via":
			parsed.request.AdvisedTandem = int(number)
		case "transit":
			parsed.request.Transit = number == 1
		case "again":
			parsed.request.Disconnected = number == 1
		}
	}
	if parsed.adopted {
		return parsed, nil
	}
	if parsed.request.Bearer < 0 {
		return parsed, setUpError("%s %.40q is not configured", fieldClass, bearerType)
	}
	if parsed.request.Dest < 0 || parsed.request.Width < 1 {
		return parsed, setUpError("%s lacks a destination or a circuit", fieldInfo)
	}
	parsed.request.Redial = msg.Get(fieldRepeat) == "1"
	ms, err := strconv.ParseFloat(msg.Get(fieldExpires), 64)
	if err != nil || !(ms > 0 && ms <= maxExpiresMS) {
		return parsed, setUpError("%s %.40q", fieldExpires, msg.Get(fieldExpires))
	}
	parsed.request.TTL = deployment.TenthsFromMillis(ms)
	return parsed, nil
}

// isVisibleASCII reports whether a text consists of visible ASCII characters.
func isVisibleASCII(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// boundedURI returns a copy of a request's URI, a short one in its place if it is too long to be held.
func boundedURI(msg *sip.Message) string {
	if len(msg.URI) > maxURIOctets {
		return "sip:call@net"
	}
	return strings.Clone(msg.URI)
}

// loadNames maps the names of load values on the wire to those in the settings.
var loadNames = map[string]string{"x0": "free", "x1": "size", "eps": "hold_back", "latency_ms": "avg_ms"}

// parseLoad parses the load report that a message carries, as in "x0:12;x1:40;queue:3".
func parseLoad(msg *sip.Message) policy.LoadReport {
	var names []string
	var values []float64
	for _, part := range strings.Split(msg.Get(fieldLoad), ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		if settingName, ok := loadNames[name]; ok {
			name = settingName
		}
		names, values = append(names, name), append(values, number)
	}
	return deployment.LoadReport(names, values)
}

// warningReasons maps the values of Warning-Word to reasons.
var warningReasons = map[string]policy.Reason{"atb": policy.NoCircuit, "rtb": policy.TurnedBack, "racc": policy.DestOverloaded,
	"acc": policy.ProcessorOverloaded, "sub": policy.NumberBusy}

// parseRefusal returns how a refused route try ended, the reason, and the wait that the switch asks for.
func parseRefusal(msg *sip.Message) (outcome policy.Outcome, reason policy.Reason, wait policy.Tenths) {
	reason = warningReasons[msg.Get(fieldWarning)]
	if ms, err := strconv.ParseFloat(msg.Get(fieldWait), 64); err == nil && ms >= 0 && ms <= maxExpiresMS {
		wait = deployment.TenthsFromMillis(ms)
	}
	switch msg.Status {
	case sip.ServiceUnavailable:
		outcome = policy.Blocked
	case sip.TemporarilyUnavailable:
		outcome = policy.Unsent
	case sip.ServerTimeout:
		outcome = policy.Disconnected
	default:
		outcome = policy.Faulted
	}
	return outcome, reason, wait
}

// parseCause returns the Q.850 cause of a release, -1 if there is none (RFC 3326).
func parseCause(msg *sip.Message) int {
	for _, part := range strings.Split(msg.Get(fieldReason), ";") {
		if digits, ok := strings.CutPrefix(strings.TrimSpace(part), "cause="); ok {
			if cause, err := strconv.Atoi(digits); err == nil {
				return cause
			}
		}
	}
	return -1
}
