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

const eventsMost = 64

// ParseEvents reads a list of events. Commas within brackets part nothing.
func ParseEvents(list string) ([]Event, error) {
	var all []Event
	depth, from := 0, 0
	for i := 0; i <= len(list); i++ {
		switch {
		case i < len(list) && (list[i] == '(' || list[i] == '['):
			depth++
		case i < len(list) && (list[i] == ')' || list[i] == ']'):
			if depth--; depth < 0 {
				return nil, bad("event list %q: a bracket that was not opened", list)
			}
		case i == len(list) || list[i] == ',' && depth == 0:
			one := strings.TrimSpace(list[from:i])
			from = i + 1
			if one == "" && strings.TrimSpace(list) == "" {
				return nil, nil
			}
			e, err := parseEvent(one)
			if err != nil {
				return nil, err
			}
			if all = append(all, e); len(all) > eventsMost {
				return nil, bad("over %d events", eventsMost)
			}
		}
	}
	if depth != 0 {
		return nil, bad("event list %q: a bracket that is not closed", list)
	}
	return all, nil
}

func parseEvent(text string) (Event, error) {
	var e Event
	name := text
	if at := strings.IndexByte(text, '('); at >= 0 {
		if !strings.HasSuffix(text, ")") {
			return e, bad("event %q", text)
		}
		name, e.Args = strings.TrimSpace(text[:at]), text[at+1:len(text)-1]
	}
	name, e.Connection, _ = strings.Cut(name, "@")
	if p, n, ok := strings.Cut(name, "/"); ok {
		e.Package, name = strings.ToUpper(p), n
	}
	e.Name = name
	if e.Name == "" || !plain(e.Name) || !plain(e.Package) || !plain(e.Connection) {
		return e, bad("event %q", text)
	}
	return e, nil
}

// plain tells whether a part of an event holds nothing but signs that stand for themselves.
func plain(part string) bool {
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
func (e Event) Is(pack, name string) bool {
	return e.Package == pack && strings.EqualFold(e.Name, name)
}

// Packages of events that calls need (RFC 3660): generic media, DTMF, line, trunk.
const (
	Generic = "G"
	DTMF    = "D"
	Line    = "L"
	Trunk   = "T"
)

// Digits reads what was dialled from observed events: the D events in their order, T where the timer ran out.
func Digits(observed []Event) string {
	var b []byte
	for _, e := range observed {
		if (e.Package == DTMF || e.Package == "") && len(e.Name) == 1 && strings.ContainsRune(signs+"T", rune(upper(e.Name[0]))) {
			b = append(b, upper(e.Name[0]))
		}
	}
	return string(b)
}

// Dialled writes digits as observed events.
func Dialled(digits string) []Event {
	all := make([]Event, 0, len(digits))
	for i := range len(digits) {
		all = append(all, Event{Package: DTMF, Name: digits[i : i+1]})
	}
	return all
}

// List writes events as a parameter has them.
func List(events []Event) string {
	var b strings.Builder
	for i, e := range events {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(e.String())
	}
	return b.String()
}
