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

// DialPlan says how numbers are dialled here.
type DialPlan struct {
	InternationalPrefix string // what is dialled before an international number, such as 00
	NationalPrefix      string // what is dialled before a national one, such as 0 or nothing
	CountryCode         string // own country code
	MaxShortDigits      int    // a number of so few digits is a short code
}

// Outcome is what becomes of a number.
type Outcome uint8

const (
	NoRoute      Outcome = iota // nothing fits: vacant
	ToExchange                  // an exchange serves it
	Announcement                // an announcement: the cause is told
	Barred                      // screened out
	TooShort                    // digits are missing
	TooLong                     // there are more than its range has
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
	Schedule *Schedule // nil always
	Shares   []Share
}

// Route is what a prefix leads to.
type Route struct {
	Name         string
	MinDigits    int // digits of the whole number, normalised
	MaxDigits    int
	DeleteDigits int    // digits taken off the front
	InsertDigits string // digits put there
	Priority     bool
	Emergency    bool // never barred, never ported
	MayBePorted  bool // portability is asked for
	Choices      []Choice
}

// Screen bars numbers for callers.
type Screen struct {
	Name         string
	CallerPrefix string // prefix of the callers it is for, "" all
	NumberPrefix string // prefix of the numbers barred
}

// Table is one version of all rules. It never changes once built; Check must have passed before it is used.
type Table struct {
	Version         uint64
	Name            string
	DialPlan        DialPlan
	Zone            *Zone
	Holidays        []int
	Routes          []Route
	Screens         []Screen
	routesByPrefix  *Trie
	screensByCaller *Trie // screens by caller: entries are lists below
	barredPrefixes  [][]string
}

// Build checks a table and makes its search; exchanges are numbered below a bound. The error names the entry at fault.
func (t *Table) Build(prefixes []Prefix, exchanges int) error {
	for i := range t.Routes {
		if err := t.Routes[i].check(exchanges); err != nil {
			return fmt.Errorf("route %q: %w", t.Routes[i].Name, err)
		}
	}
	for _, p := range prefixes {
		if int(p.Value) >= len(t.Routes) {
			return fmt.Errorf("prefix %s leads to route %d, of %d", p.Digits, p.Value, len(t.Routes))
		}
	}
	var err error
	if t.routesByPrefix, err = NewTrie(prefixes); err != nil {
		return err
	}
	return t.buildScreens()
}

func (e *Route) check(exchanges int) error {
	if e.MinDigits < 1 || e.MaxDigits > MaxDigits || e.MinDigits > e.MaxDigits {
		return fmt.Errorf("numbers of %d to %d digits, 1 to %d can be", e.MinDigits, e.MaxDigits, MaxDigits)
	}
	if e.DeleteDigits < 0 || e.DeleteDigits > e.MinDigits || e.MaxDigits-e.DeleteDigits+len(e.InsertDigits) > MaxDigits || e.MinDigits-e.DeleteDigits+len(e.InsertDigits) < 1 {
		return fmt.Errorf("taking %d digits off and putting %q there leaves no number or too long a one", e.DeleteDigits, e.InsertDigits)
	}
	for _, c := range []byte(e.InsertDigits) {
		if _, ok := digitValue(c); !ok {
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
		by[s.CallerPrefix] = append(by[s.CallerPrefix], s.NumberPrefix)
	}
	var prefixes []Prefix
	t.barredPrefixes = nil
	for callers := range by {
		var all []string
		for n := 0; n <= len(callers); n++ {
			all = append(all, by[callers[:n]]...)
		}
		prefixes = append(prefixes, Prefix{callers, uint32(len(t.barredPrefixes))})
		t.barredPrefixes = append(t.barredPrefixes, all)
	}
	var err error
	t.screensByCaller, err = NewTrie(prefixes)
	return err
}

// Normalise turns what was dialled into a number with its country code, or a short code.
func (d *DialPlan) Normalise(dialled string) (number string, kind Kind) {
	switch {
	case len(dialled) <= d.MaxShortDigits:
		return dialled, Short
	case d.InternationalPrefix != "" && strings.HasPrefix(dialled, d.InternationalPrefix):
		return dialled[len(d.InternationalPrefix):], International
	case strings.HasPrefix(dialled, d.NationalPrefix):
		return d.CountryCode + dialled[len(d.NationalPrefix):], National
	}
	return d.CountryCode + dialled, National
}

// Result is where a number leads.
type Result struct {
	Outcome        Outcome
	Version        uint64
	Kind           Kind
	Number         string // normalised
	OutgoingDigits string // digits that go on to the next exchange
	RouteIndex     int    // -1 none
	MatchedDigits  int    // digits of the prefix
	ChoiceIndex    int    // -1 none holds now
	Shares         []Share
	ShareIndex     int // index in Shares
	Exchange       int
	Cause          uint8
	Priority       bool
	NeedsLookup    bool // portability should be asked first
}

// ShareSelector chooses one of several shares for a caller; the caller's redial must get the same.
type ShareSelector func(entry, choice int, shares []Share, caller string) int

// Causes of Q.850 that an analysis itself gives.
const (
	causeUnallocatedNumber = 1
	causeCallRejected      = 21 // call rejected
	causeInvalidFormat     = 28 // invalid number format
)

// Analyse finds where a dialled number leads at an instant (seconds since 1970). trace, if given, is told each step.
func (t *Table) Analyse(caller, dialled string, at int64, pick ShareSelector, trace func(string)) Result {
	say := func(format string, args ...any) {
		if trace != nil {
			trace(fmt.Sprintf(format, args...))
		}
	}
	number, kind := t.DialPlan.Normalise(dialled)
	say("dialled %s is a %s number, %s", dialled, kind, number)
	return t.route(Result{Version: t.Version, Kind: kind, Number: number, RouteIndex: -1, ChoiceIndex: -1, Exchange: -1}, caller, at, pick, true, say)
}

// AnalysePorted finds where a number leads that portability has changed; it is not asked for once more.
func (t *Table) AnalysePorted(caller, number string, at int64, pick ShareSelector) Result {
	return t.route(Result{Version: t.Version, Number: number, RouteIndex: -1, ChoiceIndex: -1, Exchange: -1}, caller, at, pick, false, func(string, ...any) {})
}

func (t *Table) route(r Result, caller string, at int64, pick ShareSelector, mayAsk bool, say func(string, ...any)) Result {
	entry, matched, ok := t.routesByPrefix.Find(r.Number)
	if !ok {
		say("no prefix fits")
		r.Cause = causeUnallocatedNumber
		return r
	}
	e := &t.Routes[entry]
	r.RouteIndex, r.MatchedDigits, r.Priority = int(entry), matched, e.Priority || e.Emergency
	say("the longest prefix is %s, route %q", r.Number[:matched], e.Name)
	switch {
	case len(r.Number) < e.MinDigits:
		say("%d digits, at least %d are needed", len(r.Number), e.MinDigits)
		r.Outcome, r.Cause = TooShort, causeInvalidFormat
		return r
	case len(r.Number) > e.MaxDigits:
		say("%d digits, at most %d can be", len(r.Number), e.MaxDigits)
		r.Outcome, r.Cause = TooLong, causeInvalidFormat
		return r
	}
	if e.Emergency {
		say("emergency: never barred")
	} else if by, is := t.barred(caller, r.Number); is {
		say("barred for caller %s by %s", caller, by)
		r.Outcome, r.Cause = Barred, causeCallRejected
		return r
	}
	r.NeedsLookup = mayAsk && e.MayBePorted && !e.Emergency
	if r.NeedsLookup {
		say("portability is asked for; without an answer the route below holds")
	}
	for i, c := range e.Choices {
		if c.Schedule != nil && !c.Schedule.Contains(t.Zone, t.Holidays, at) {
			say("choice %d does not hold now", i+1)
			continue
		}
		r.ChoiceIndex, r.Shares = i, c.Shares
		break
	}
	if r.ChoiceIndex < 0 {
		say("no choice holds now")
		r.Cause = causeUnallocatedNumber
		return r
	}
	if len(r.Shares) > 1 && pick != nil {
		r.ShareIndex = pick(r.RouteIndex, r.ChoiceIndex, r.Shares, caller)
		say("choice %d has %d shares, this caller gets number %d", r.ChoiceIndex+1, len(r.Shares), r.ShareIndex+1)
	}
	s := r.Shares[r.ShareIndex]
	if s.Exchange < 0 {
		say("announcement, cause %d", s.Cause)
		r.Outcome, r.Cause = Announcement, s.Cause
		return r
	}
	r.Outcome, r.Exchange, r.OutgoingDigits = ToExchange, s.Exchange, e.InsertDigits+r.Number[e.DeleteDigits:]
	say("to exchange %d with %s", r.Exchange, r.OutgoingDigits)
	return r
}

// barred tells which screen bars a number for a caller.
func (t *Table) barred(caller, number string) (string, bool) {
	list, _, ok := t.screensByCaller.Find(caller)
	if !ok {
		return "", false
	}
	for _, n := range t.barredPrefixes[list] {
		if strings.HasPrefix(number, n) {
			return n, true
		}
	}
	return "", false
}

// PrefixCount is how many prefixes the table has; Octets the memory of its search.
func (t *Table) PrefixCount() int { return t.routesByPrefix.Len() }
func (t *Table) MemoryBytes() int { return t.routesByPrefix.MemoryBytes() }

// Walk calls for each prefix in rising order.
func (t *Table) Walk(each func(digits string, entry uint32) bool) { t.routesByPrefix.Walk(each) }
