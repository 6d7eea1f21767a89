package mgcp

import "strings"

// Event is one event or signal of a package, as it stands in the parameters R, S, O and their kind (RFC 3435, 3.2.2.17):
// package/name@connection(actions or arguments).
type Event struct {
	Package    string // "" where none was written
	Name       string
	Connection string // "$" the one being made, "" none
	Args       string // what stands between the brackets
}

const maxEvents = 64

// ParseEvents reads a list of events. Commas within brackets part nothing.
func ParseEvents(list string) ([]Event, error) {
	var events []Event
	depth, start := 0, 0
	for i := 0; i <= len(list); i++ {
		switch {
		case i < len(list) && (list[i] == '(' || list[i] == '['):
			depth++
		case i < len(list) && (list[i] == ')' || list[i] == ']'):
			if depth--; depth < 0 {
				return nil, malformed("event list %q: a bracket that was not opened", list)
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
				return nil, malformed("over %d events", maxEvents)
			}
		}
	}
	if depth != 0 {
		return nil, malformed("event list %q: a bracket that is not closed", list)
	}
	return events, nil
}

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

// isPlain tells whether a part of an event holds nothing but signs that stand for themselves.
func isPlain(part string) bool {
	for i := range len(part) {
		if c := part[i]; c <= ' ' || c >= 127 || strings.IndexByte("()@/,", c) >= 0 {
			return false
		}
	}
	return true
}

// String is the event as it is written.
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

// Is tells whether it is an event of a package, whatever it is about.
func (e Event) Is(pkg, name string) bool {
	return e.Package == pkg && strings.EqualFold(e.Name, name)
}

// Packages of events that calls need (RFC 3660): generic media, DTMF, line, trunk.
const (
	PackageGeneric = "G"
	PackageDTMF    = "D"
	PackageLine    = "L"
	PackageTrunk   = "T"
)

// Digits reads what was dialled from observed events: the D events in their order, T where the timer ran out.
func Digits(observed []Event) string {
	var digits []byte
	for _, event := range observed {
		if (event.Package == PackageDTMF || event.Package == "") && len(event.Name) == 1 && strings.ContainsRune(symbols+"T", rune(toUpper(event.Name[0]))) {
			digits = append(digits, toUpper(event.Name[0]))
		}
	}
	return string(digits)
}

// DigitEvents writes digits as observed events.
func DigitEvents(digits string) []Event {
	events := make([]Event, 0, len(digits))
	for i := range len(digits) {
		events = append(events, Event{Package: PackageDTMF, Name: digits[i : i+1]})
	}
	return events
}

// FormatEvents writes events as a parameter has them.
func FormatEvents(events []Event) string {
	var b strings.Builder
	for i, e := range events {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(e.String())
	}
	return b.String()
}
