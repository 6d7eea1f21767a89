package mgcp

import (
	"strings"
)

// DigitMap tells when the digits dialled so far are enough (RFC 3435, 2.1.5): strings of digits, ranges, x for any digit, a
// dot for any number of what stands before it, and T for the timer.
type DigitMap struct {
	text    string
	options [][]element
}

type element struct {
	set    uint16 // digits 0 to 9, then *, #, A, B, C, D
	timer  bool
	repeat bool
}

const (
	signs       = "0123456789*#ABCD"
	timerSign   = 'T'
	optionsMost = 64
	lengthMost  = 64
)

// Match is what digits dialled so far amount to.
type Match uint8

const (
	Partial   Match = iota // more may come
	Full                   // one option is met, and none longer can be
	Ambiguous              // one is met, and a longer one may be: the short timer tells
	NoMatch                // nothing can be met any more
)

// ParseMap reads a digit map, with or without its brackets.
func ParseMap(text string) (DigitMap, error) {
	d := DigitMap{text: text}
	inner := strings.TrimSpace(text)
	if strings.HasPrefix(inner, "(") {
		if !strings.HasSuffix(inner, ")") {
			return d, bad("digit map %q has no end", text)
		}
		inner = inner[1 : len(inner)-1]
	}
	for _, option := range strings.Split(inner, "|") {
		parsed, err := parseOption(strings.TrimSpace(option))
		if err != nil {
			return d, bad("digit map %q: %v", text, err)
		}
		if d.options = append(d.options, parsed); len(d.options) > optionsMost {
			return d, bad("digit map of over %d options", optionsMost)
		}
	}
	return d, nil
}

func parseOption(option string) ([]element, error) {
	var all []element
	for i := 0; i < len(option); i++ {
		switch c := upper(option[i]); {
		case c == timerSign:
			all = append(all, element{timer: true})
		case c == 'X':
			all = append(all, element{set: 1<<10 - 1})
		case c == '.':
			if len(all) == 0 || all[len(all)-1].repeat || all[len(all)-1].timer {
				return nil, bad("a dot with nothing before it")
			}
			all[len(all)-1].repeat = true
		case c == '[':
			end := strings.IndexByte(option[i:], ']')
			if end < 0 {
				return nil, bad("a range without its end")
			}
			set, err := parseRange(option[i+1 : i+end])
			if err != nil {
				return nil, err
			}
			all = append(all, element{set: set})
			i += end
		default:
			at := strings.IndexByte(signs, c)
			if at < 0 {
				return nil, bad("%q", option[i])
			}
			all = append(all, element{set: 1 << at})
		}
	}
	if len(all) == 0 || len(all) > lengthMost {
		return nil, bad("an option of %d signs", len(all))
	}
	return all, nil
}

func parseRange(text string) (set uint16, err error) {
	for i := 0; i < len(text); i++ {
		from := strings.IndexByte(signs, upper(text[i]))
		to := from
		if i+2 < len(text) && text[i+1] == '-' {
			to = strings.IndexByte(signs, upper(text[i+2]))
			i += 2
		}
		if from < 0 || to < from {
			return 0, bad("range %q", text)
		}
		for d := from; d <= to; d++ {
			set |= 1 << d
		}
	}
	if set == 0 {
		return 0, bad("an empty range")
	}
	return set, nil
}

func upper(c byte) byte {
	if c >= 'a' && c <= 'z' {
		return c - 'a' + 'A'
	}
	return c
}

// Match tells what digits amount to; they may end with T, where the timer ran out.
func (d DigitMap) Match(dialled string) Match {
	met, more := false, false
	for _, o := range d.options {
		m, l := match(o, dialled)
		met, more = met || m, more || l
	}
	switch {
	case met && more:
		return Ambiguous
	case met:
		return Full
	case more:
		return Partial
	}
	return NoMatch
}

// match follows one option: all places in it that the digits may have come to, at once. met: it may end here; more: it may
// go on.
func match(o []element, dialled string) (met, more bool) {
	at := make([]bool, len(o)+1)
	at[0] = true
	skip(o, at)
	for i := range len(dialled) {
		c := upper(dialled[i])
		sign := strings.IndexByte(signs, c)
		next := make([]bool, len(o)+1)
		for p, e := range o {
			if !at[p] || c == timerSign != e.timer || !e.timer && (sign < 0 || e.set&(1<<sign) == 0) {
				continue
			}
			if e.repeat {
				next[p] = true
			} else {
				next[p+1] = true
			}
		}
		skip(o, next)
		at = next
	}
	for p := range o {
		more = more || at[p]
	}
	return at[len(o)], more
}

// skip lets a repeated sign stand for none.
func skip(o []element, at []bool) {
	for p, e := range o {
		if at[p] && e.repeat {
			at[p+1] = true
		}
	}
}

// String is the map as it was written.
func (d DigitMap) String() string { return d.text }
