package mgcp

import "strings"

// Event is an event or signal of a package, as in the parameters R, S and O (RFC 3435, 3.2.2.17):
// package/name@connection(actions or arguments).
type Event struct {
	Package    string // "" if not given
	Name       string
	Connection string // "$" for the one being created, "" for none
	Args       string // text in the parentheses
}

const maxEvents = 64

// ParseEvents parses a list of events. Commas within parentheses and brackets don't separate events.
func ParseEvents(list string) ([]Event, error) {
	var events []Event
	depth, start := 0, 0
	for i := 0; i <= len(list); i++ {
		switch {
		case i < len(list) && (list[i] == '(' || list[i] == '['):
			depth++
		case i < len(list) && (list[i] == ')' || list[i] == ']'):
			if depth--; depth < 0 {
				return nil, malformed("event list %q: unmatched closing bracket", list)
			}
		case i == len(list) || list[i] == ',' && depth == 0:
			item := strings.TrimSpace(list[start:i])
			start = i + 1
			if item == "" && strings.TrimSpace(list) == "" {
				return nil, nil
			}
			event, err := parseEvent(item)
			if err != nil {
				return nil, err
			}
			if events = append(events, event); len(events) > maxEvents {
				return nil, malformed("more than %d events", maxEvents)
			}
		}
	}
	if depth != 0 {
		return nil, malformed("event list %q: unmatched opening bracket", list)
	}
	return events, nil
}

// parseEvent parses one event.
func parseEvent(text string) (Event, error) {
	var event Event
	name := text
	if bracket := strings.IndexByte(text, '('); bracket >= 0 {
		if !strings.HasSuffix(text, ")") {
			return event, malformed("event %q", text)
		}
		name, event.Args = strings.TrimSpace(text[:bracket]), text[bracket+1:len(text)-1]
	}
	name, event.Connection, _ = strings.Cut(name, "@")
	if p, n, ok := strings.Cut(name, "/"); ok {
		event.Package, name = strings.ToUpper(p), n
	}
	event.Name = name
	if event.Name == "" || !isPlain(event.Name) || !isPlain(event.Package) || !isPlain(event.Connection) {
		return event, malformed("event %q", text)
	}
	return event, nil
}

// isPlain reports whether a part of an event has only printable characters without a special meaning.
func isPlain(part string) bool {
	for i := range len(part) {
		if c := part[i]; c <= ' ' || c >= 127 || strings.IndexByte("()@/,", c) >= 0 {
			return false
		}
	}
	return true
}

// String returns the event in the format of a parameter.
func (e Event) String() string {
	s := e.Name
	if e.Package != "" {
		s = e.Package + "/" + s
	}
	if e.Connection != "" {
		s += "@" + e.Connection
	}
	if e.Args != "" {
		s += "(" + e.Args + ")"
	}
	return s
}

// Is reports whether e is an event of a package, with any connection and arguments.
func (e Event) Is(pkg, name string) bool {
	return e.Package == pkg && strings.EqualFold(e.Name, name)
}

// Event packages used for calls (RFC 3660): generic media, DTMF, line and trunk.
const (
	PackageGeneric = "G"
	PackageDTMF    = "D"
	PackageLine    = "L"
	PackageTrunk   = "T"
)

// Digits returns the dialled digits from observed events of the DTMF package, with T for an expired timer.
func Digits(observed []Event) string {
	var digits []byte
	for _, event := range observed {
		if (event.Package == PackageDTMF || event.Package == "") && len(event.Name) == 1 && strings.ContainsRune(symbols+"T", rune(toUpper(event.Name[0]))) {
			digits = append(digits, toUpper(event.Name[0]))
		}
	}
	return string(digits)
}

// DigitEvents returns dialled digits as observed events.
func DigitEvents(digits string) []Event {
	events := make([]Event, 0, len(digits))
	for i := range len(digits) {
		events = append(events, Event{Package: PackageDTMF, Name: digits[i : i+1]})
	}
	return events
}

// FormatEvents returns a list of events in the format of a parameter.
func FormatEvents(events []Event) string {
	var b strings.Builder
	for i, event := range events {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(event.String())
	}
	return b.String()
}
