package mgcp

import "strings"

// DigitMap decides when the dialled digits are complete (RFC 3435, 2.1.5). Its alternatives consist of digits, ranges, x for any
// digit, a dot for any number of repetitions of the element before it, and T for the timer.
type DigitMap struct {
	text         string
	alternatives [][]element
}

// element is one element of an alternative.
type element struct {
	digits   uint16 // bit set, in the order of symbols
	timer    bool
	repeated bool
}

const (
	symbols         = "0123456789*#ABCD" // of DTMF
	timerSymbol     = 'T'
	maxAlternatives = 64
	maxElements     = 64
)

// MatchResult is the result of matching dialled digits.
type MatchResult uint8

const (
	PartialMatch   MatchResult = iota // more digits are needed
	FullMatch                         // an alternative matches, and no more digits can follow
	AmbiguousMatch                    // an alternative matches, and a longer one may: the short timer decides
	NoMatch                           // no alternative can match
)

// ParseDigitMap parses a digit map, with or without parentheses.
func ParseDigitMap(text string) (DigitMap, error) {
	digitMap := DigitMap{text: text}
	inner := strings.TrimSpace(text)
	if strings.HasPrefix(inner, "(") {
		if !strings.HasSuffix(inner, ")") {
			return digitMap, malformed("digit map %q lacks its closing parenthesis", text)
		}
		inner = inner[1 : len(inner)-1]
	}
	for _, alternative := range strings.Split(inner, "|") {
		parsed, err := parseAlternative(strings.TrimSpace(alternative))
		if err != nil {
			return digitMap, malformed("digit map %q: %v", text, err)
		}
		if digitMap.alternatives = append(digitMap.alternatives, parsed); len(digitMap.alternatives) > maxAlternatives {
			return digitMap, malformed("digit map has more than %d alternatives", maxAlternatives)
		}
	}
	return digitMap, nil
}

// parseAlternative parses one alternative of a digit map.
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
				return nil, malformed("dot without an element to repeat")
			}
			elements[len(elements)-1].repeated = true
		case c == '[':
			end := strings.IndexByte(text[i:], ']')
			if end < 0 {
				return nil, malformed("range lacks its closing bracket")
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
				return nil, malformed("invalid symbol %q", text[i])
			}
			elements = append(elements, element{digits: 1 << symbol})
		}
	}
	if len(elements) == 0 || len(elements) > maxElements {
		return nil, malformed("alternative has %d elements", len(elements))
	}
	return elements, nil
}

// parseRange parses the inside of a range in brackets.
func parseRange(text string) (digits uint16, err error) {
	for i := 0; i < len(text); i++ {
		from := strings.IndexByte(symbols, toUpper(text[i]))
		to := from
		if i+2 < len(text) && text[i+1] == '-' {
			to = strings.IndexByte(symbols, toUpper(text[i+2]))
			i += 2
		}
		if from < 0 || to < from {
			return 0, malformed("invalid range %q", text)
		}
		for d := from; d <= to; d++ {
			digits |= 1 << d
		}
	}
	if digits == 0 {
		return 0, malformed("empty range")
	}
	return digits, nil
}

func toUpper(c byte) byte {
	if c >= 'a' && c <= 'z' {
		return c - 'a' + 'A'
	}
	return c
}

// Match matches dialled digits, which end with T if the timer has expired.
func (d DigitMap) Match(dialled string) MatchResult {
	complete, partial := false, false
	for _, alternative := range d.alternatives {
		matches, longer := matchAlternative(alternative, dialled)
		complete, partial = complete || matches, partial || longer
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

// matchAlternative matches dialled digits against one alternative. It tracks all positions in the alternative that the digits may
// have reached. complete: the alternative matches; partial: it may match with more digits.
func matchAlternative(alternative []element, dialled string) (complete, partial bool) {
	positions := make([]bool, len(alternative)+1)
	positions[0] = true
	skipRepeated(alternative, positions)
	for i := range len(dialled) {
		c := toUpper(dialled[i])
		symbol := strings.IndexByte(symbols, c)
		next := make([]bool, len(alternative)+1)
		for position, element := range alternative {
			if !positions[position] || c == timerSymbol != element.timer || !element.timer && (symbol < 0 || element.digits&(1<<symbol) == 0) {
				continue
			}
			if element.repeated {
				next[position] = true
			} else {
				next[position+1] = true
			}
		}
		skipRepeated(alternative, next)
		positions = next
	}
	for position := range alternative {
		partial = partial || positions[position]
	}
	return positions[len(alternative)], partial
}

// skipRepeated adds the positions reached by repeating elements zero times.
func skipRepeated(alternative []element, positions []bool) {
	for position, element := range alternative {
		if positions[position] && element.repeated {
			positions[position+1] = true
		}
	}
}

// String returns the digit map as it was parsed.
func (d DigitMap) String() string { return d.text }
