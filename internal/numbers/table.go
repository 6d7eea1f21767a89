// Package numbers finds where a called number leads: longest prefix, screening, routes by time and share, portability,
// and which version of the table a call goes by. It is pure: no file, socket or clock; the instant and what arrived are
// handed in. internal/numberfile reads and keeps tables, internal/enum asks about portability, internal/exchange calls
// Analyse for each call that begins at it.
package numbers

import (
	"fmt"
	"strings"
)

// Kind of a number as dialled.
type Kind uint8

const (
	National      Kind = iota
	International      // after the international prefix
	Short              // a short code, taken as it stands
)

func (k Kind) String() string { return [...]string{"national", "international", "short"}[k] }

// Dialling says how numbers are dialled here.
type Dialling struct {
	International string // what is dialled before an international number, such as 00
	National      string // what is dialled before a national one, such as 0 or nothing
	Country       string // own country code
	ShortMost     int    // a number of so few digits is a short code
}

// Outcome is what becomes of a number.
type Outcome uint8

const (
	NoRoute  Outcome = iota // nothing fits: vacant
	ToOffice                // an exchange serves it
	Announce                // an announcement: the cause is told
	Barred                  // screened out
	TooFew                  // digits are missing
	TooMany                 // there are more than its range has
)

func (o Outcome) String() string {
	return [...]string{"no route", "to an exchange", "announcement", "barred", "too short", "too long"}[o]
}

// Share is one destination of a route and its part of the calls.
type Share struct {
	Weight   int
	Exchange int   // -1: an announcement
	Cause    uint8 // Q.850, when an announcement
}

// Choice is a route that holds at some times; of several that hold, the first counts.
type Choice struct {
	When   *When // nil always
	Shares []Share
}

// Entry is what a prefix leads to.
type Entry struct {
	Name      string
	Least     int // digits of the whole number, normalised
	Most      int
	Delete    int    // digits taken off the front
	Insert    string // digits put there
	Priority  bool
	Emergency bool // never barred, never ported
	Ported    bool // portability is asked for
	Choices   []Choice
}

// Screen bars numbers for callers.
type Screen struct {
	Name    string
	Callers string // prefix of the callers it is for, "" all
	Numbers string // prefix of the numbers barred
}

// Table is one version of all rules. It never changes once built; Check must have passed before it is used.
type Table struct {
	Version  uint64
	Name     string
	Dialling Dialling
	Zone     *Zone
	Holidays []int
	Entries  []Entry
	Screens  []Screen
	trie     *Trie
	callers  *Trie // screens by caller: entries are lists below
	lists    [][]string
}

// Build checks a table and makes its search; exchanges are numbered below a bound. The error names the entry at fault.
func (t *Table) Build(prefixes []Prefix, exchanges int) error {
	for i := range t.Entries {
		if err := t.Entries[i].check(exchanges); err != nil {
			return fmt.Errorf("route %q: %w", t.Entries[i].Name, err)
		}
	}
	for _, p := range prefixes {
		if int(p.Entry) >= len(t.Entries) {
			return fmt.Errorf("prefix %s leads to route %d, of %d", p.Digits, p.Entry, len(t.Entries))
		}
	}
	var err error
	if t.trie, err = NewTrie(prefixes); err != nil {
		return err
	}
	return t.buildScreens()
}

func (e *Entry) check(exchanges int) error {
	if e.Least < 1 || e.Most > DigitsMost || e.Least > e.Most {
		return fmt.Errorf("numbers of %d to %d digits, 1 to %d can be", e.Least, e.Most, DigitsMost)
	}
	if e.Delete < 0 || e.Delete > e.Least || e.Most-e.Delete+len(e.Insert) > DigitsMost || e.Least-e.Delete+len(e.Insert) < 1 {
		return fmt.Errorf("taking %d digits off and putting %q there leaves no number or too long a one", e.Delete, e.Insert)
	}
	for _, c := range []byte(e.Insert) {
		if _, ok := symbol(c); !ok {
			return fmt.Errorf("%q is no digit to insert", c)
		}
	}
	for _, c := range e.Choices {
		sum := 0
		for _, s := range c.Shares {
			if s.Weight < 0 || s.Exchange >= exchanges {
				return fmt.Errorf("weight %d to exchange %d, exchanges are numbered below %d", s.Weight, s.Exchange, exchanges)
			}
			sum += s.Weight
		}
		if sum == 0 {
			return fmt.Errorf("a choice without any weight")
		}
	}
	return nil
}

// buildScreens joins what holds for a caller's prefix with what holds for each shorter one.
func (t *Table) buildScreens() error {
	by := map[string][]string{}
	for _, s := range t.Screens {
		by[s.Callers] = append(by[s.Callers], s.Numbers)
	}
	var prefixes []Prefix
	t.lists = nil
	for callers := range by {
		var all []string
		for n := 0; n <= len(callers); n++ {
			all = append(all, by[callers[:n]]...)
		}
		prefixes = append(prefixes, Prefix{callers, uint32(len(t.lists))})
		t.lists = append(t.lists, all)
	}
	var err error
	t.callers, err = NewTrie(prefixes)
	return err
}

// Normalise turns what was dialled into a number with its country code, or a short code.
func (d *Dialling) Normalise(dialled string) (number string, kind Kind) {
	switch {
	case len(dialled) <= d.ShortMost:
		return dialled, Short
	case d.International != "" && strings.HasPrefix(dialled, d.International):
		return dialled[len(d.International):], International
	case strings.HasPrefix(dialled, d.National):
		return d.Country + dialled[len(d.National):], National
	}
	return d.Country + dialled, National
}

// Result is where a number leads.
type Result struct {
	Outcome  Outcome
	Version  uint64
	Kind     Kind
	Number   string // normalised
	Sent     string // digits that go on to the next exchange
	Entry    int    // -1 none
	Matched  int    // digits of the prefix
	Choice   int    // -1 none holds now
	Shares   []Share
	Share    int // index in Shares
	Exchange int
	Cause    uint8
	Priority bool
	Ask      bool // portability should be asked first
}

// Pick chooses one of several shares for a caller; the caller's redial must get the same.
type Pick func(entry, choice int, shares []Share, caller string) int

// Causes of Q.850 that an analysis itself gives.
const (
	causeUnallocated = 1
	causeBarred      = 21 // call rejected
	causeIncomplete  = 28 // invalid number format
)

// Analyse finds where a dialled number leads at an instant (seconds since 1970). trace, if given, is told each step.
func (t *Table) Analyse(caller, dialled string, at int64, pick Pick, trace func(string)) Result {
	say := func(format string, args ...any) {
		if trace != nil {
			trace(fmt.Sprintf(format, args...))
		}
	}
	number, kind := t.Dialling.Normalise(dialled)
	say("dialled %s is a %s number, %s", dialled, kind, number)
	return t.route(Result{Version: t.Version, Kind: kind, Number: number, Entry: -1, Choice: -1, Exchange: -1}, caller, at, pick, true, say)
}

// Again finds where a number leads that portability has changed; it is not asked for once more.
func (t *Table) Again(caller, number string, at int64, pick Pick) Result {
	return t.route(Result{Version: t.Version, Number: number, Entry: -1, Choice: -1, Exchange: -1}, caller, at, pick, false, func(string, ...any) {})
}

func (t *Table) route(r Result, caller string, at int64, pick Pick, mayAsk bool, say func(string, ...any)) Result {
	entry, matched, ok := t.trie.Find(r.Number)
	if !ok {
		say("no prefix fits")
		r.Cause = causeUnallocated
		return r
	}
	e := &t.Entries[entry]
	r.Entry, r.Matched, r.Priority = int(entry), matched, e.Priority || e.Emergency
	say("the longest prefix is %s, route %q", r.Number[:matched], e.Name)
	switch {
	case len(r.Number) < e.Least:
		say("%d digits, at least %d are needed", len(r.Number), e.Least)
		r.Outcome, r.Cause = TooFew, causeIncomplete
		return r
	case len(r.Number) > e.Most:
		say("%d digits, at most %d can be", len(r.Number), e.Most)
		r.Outcome, r.Cause = TooMany, causeIncomplete
		return r
	}
	if e.Emergency {
		say("emergency: never barred")
	} else if by, is := t.barred(caller, r.Number); is {
		say("barred for caller %s by %s", caller, by)
		r.Outcome, r.Cause = Barred, causeBarred
		return r
	}
	r.Ask = mayAsk && e.Ported && !e.Emergency
	if r.Ask {
		say("portability is asked for; without an answer the route below holds")
	}
	for i, c := range e.Choices {
		if c.When != nil && !c.When.Holds(t.Zone, t.Holidays, at) {
			say("choice %d does not hold now", i+1)
			continue
		}
		r.Choice, r.Shares = i, c.Shares
		break
	}
	if r.Choice < 0 {
		say("no choice holds now")
		r.Cause = causeUnallocated
		return r
	}
	if len(r.Shares) > 1 && pick != nil {
		r.Share = pick(r.Entry, r.Choice, r.Shares, caller)
		say("choice %d has %d shares, this caller gets number %d", r.Choice+1, len(r.Shares), r.Share+1)
	}
	s := r.Shares[r.Share]
	if s.Exchange < 0 {
		say("announcement, cause %d", s.Cause)
		r.Outcome, r.Cause = Announce, s.Cause
		return r
	}
	r.Outcome, r.Exchange, r.Sent = ToOffice, s.Exchange, e.Insert+r.Number[e.Delete:]
	say("to exchange %d with %s", r.Exchange, r.Sent)
	return r
}

// barred tells which screen bars a number for a caller.
func (t *Table) barred(caller, number string) (string, bool) {
	list, _, ok := t.callers.Find(caller)
	if !ok {
		return "", false
	}
	for _, n := range t.lists[list] {
		if strings.HasPrefix(number, n) {
			return n, true
		}
	}
	return "", false
}

// Prefixes is how many prefixes the table has; Octets the memory of its search.
func (t *Table) Prefixes() int { return t.trie.Len() }
func (t *Table) Octets() int   { return t.trie.Octets() }

// Walk calls for each prefix in rising order.
func (t *Table) Walk(each func(digits string, entry uint32) bool) { t.trie.Walk(each) }
