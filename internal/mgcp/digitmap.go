package mgcp

import (
	"strings"
)

// DigitMap tells when the digits dialled so far are enough (RFC 3435, 2.1.5): strings of digits, ranges, x for any digit, a
// dot for any number of what stands before it, and T for the timer.
type DigitMap struct {
	text         string
	alternatives [][]element
}

type element struct {
	digits   uint16 // digits 0 to 9, then *, #, A, B, C, D
	timer    bool
	repeated bool
}

const (
	symbols         = "0123456789*#ABCD"
	timerSymbol     = 'T'
	maxAlternatives = 64
	maxElements     = 64
)

// MatchResult is what digits dialled so far amount to.
type MatchResult uint8

const (
	PartialMatch   MatchResult = iota // more may come
	FullMatch                         // one option is met, and none longer can be
	AmbiguousMatch                    // one is met, and a longer one may be: the short timer tells
	NoMatch                           // nothing can be met any more
)

// ParseDigitMap reads a digit map, with or without its brackets.
func ParseDigitMap(text string) (DigitMap, error) {
	digitMap := DigitMap{text: text}
	inner := strings.TrimSpace(text)
	if strings.HasPrefix(inner, "(") {
		if !strings.HasSuffix(inner, ")") {
			return digitMap, malformed("digit map %q has no end", text)
		}
		inner = inner[1 : len(inner)-1]
	}
	for _, alternative := range strings.Split(inner, "|") {
		parsed, err := parseAlternative(strings.TrimSpace(alternative))
		if err != nil {
			return digitMap, malformed("digit map %q: %v", text, err)
		}
		if digitMap.alternatives = append(digitMap.alternatives, parsed); len(digitMap.alternatives) > maxAlternatives {
			return digitMap, malformed("digit map of over %d options", maxAlternatives)
		}
	}
	return digitMap, nil
}

func parseAlternative(text string) ([]element, error) {
	var elements []element
	for i := 0; i < len(text); i++ {
		switch c := toUpper(text[i]); {
		case c == timerSymbol:
			elements = append(elements, element{timer: true})
		case c == 'X':
			elements = append(elements, element{digits: 1<<10 - 1})
		case c == '.':
			if len(elements) == 0 || elements[len(elements)-1].repeated || elements[len(elements)-1].timer {
				return nil, malformed("a dot with nothing before it")
			}
			elements[len(elements)-1].repeated = true
		case c == '[':
			end := strings.IndexByte(text[i:], ']')
			if end < 0 {
				return nil, malformed("a range without its end")
			}
			digits, err := parseRange(text[i+1 : i+end])
			if err != nil {
				return nil, err
			}
			elements = append(elements, element{digits: digits})
			i += end
		default:
			symbol := strings.IndexByte(symbols, c)
			if symbol < 0 {
				return nil, malformed("%q", text[i])
			}
			elements = append(elements, element{digits: 1 << symbol})
		}
	}
	if len(elements) == 0 || len(elements) > maxElements {
		return nil, malformed("an option of %d signs", len(elements))
	}
	return elements, nil
}

func parseRange(text string) (digits uint16, err error) {
	for i := 0; i < len(text); i++ {
		from := strings.IndexByte(symbols, toUpper(text[i]))
		to := from
		if i+2 < len(text) && text[i+1] == '-' {
			to = strings.IndexByte(symbols, toUpper(text[i+2]))
			i += 2
		}
		if from < 0 || to < from {
			return 0, malformed("range %q", text)
		}
		for d := from; d <= to; d++ {
			digits |= 1 << d
		}
	}
	if digits == 0 {
		return 0, malformed("an empty range")
	}
	return digits, nil
}

func toUpper(c byte) byte {
	if c >= 'a' && c <= 'z' {
		return c - 'a' + 'A'
	}
	return c
}

// Match tells what digits amount to; they may end with T, where the timer ran out.
func (d DigitMap) Match(dialled string) MatchResult {
	complete, partial := false, false
	for _, alternative := range d.alternatives {
		m, longer := matchAlternative(alternative, dialled)
		complete, partial = complete || m, partial || longer
	}
	switch {
	case complete && partial:
		return AmbiguousMatch
	case complete:
		return FullMatch
	case partial:
		return PartialMatch
	}
	return NoMatch
}

// matchAlternative follows one option: all places in it that the digits may have come to, at once. met: it may end here; more: it may
// go on.
func matchAlternative(alternative []element, dialled string) (complete, partial bool) {
	positions := make([]bool, len(alternative)+1)
	positions[0] = true
	skipRepeated(alternative, positions)
	for i := range len(dialled) {
		c := toUpper(dialled[i])
		symbol := strings.IndexByte(symbols, c)
		next := make([]bool, len(alternative)+1)
		for p, e := range alternative {
			if !positions[p] || c == timerSymbol != e.timer || !e.timer && (symbol < 0 || e.digits&(1<<symbol) == 0) {
				continue
			}
			if e.repeated {
				next[p] = true
			} else {
				next[p+1] = true
			}
		}
		skipRepeated(alternative, next)
		positions = next
	}
	for p := range alternative {
		partial = partial || positions[p]
	}
	return positions[len(alternative)], partial
}

// skipRepeated lets a repeated sign stand for none.
func skipRepeated(alternative []element, positions []bool) {
	for p, e := range alternative {
		if positions[p] && e.repeated {
			positions[p+1] = true
		}
	}
}

// String is the map as it was written.
func (d DigitMap) String() string { return d.text }
