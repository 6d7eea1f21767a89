// Package numbers implements number analysis: longest-prefix matching, screening, routes by time of day and by weight, number
// portability, and versions of the routing table. It uses no file, socket or clock; callers pass in times and replies.
//
// internal/numberfile parses and stores tables, internal/enum queries portability servers, and internal/exchange calls
// Analyse for each call that originates at it.
package numbers

import (
	"fmt"
	"strings"
)

// Kind is the kind of a number as dialled.
type Kind uint8

const (
	National      Kind = iota
	International      // dialled with the international prefix
	Short              // a short code, analysed as dialled
)

func (k Kind) String() string { return [...]string{"national", "international", "short"}[k] }

// DialPlan describes how numbers are dialled at an exchange.
type DialPlan struct {
	InternationalPrefix string // dialled before an international number, such as 00
	NationalPrefix      string // dialled before a national number, such as 0; may be empty
	CountryCode         string // country code of the exchange
	MaxShortDigits      int    // a number of at most this many digits is a short code
}

// Outcome is the result of analysing a number.
type Outcome uint8

const (
	NoRoute      Outcome = iota // no prefix or no choice matches
	ToExchange                  // route to an exchange
	Announcement                // play an announcement and report its cause
	Barred                      // barred by a screen
	TooShort                    // fewer digits than the route needs
	TooLong                     // more digits than the route allows
)

func (o Outcome) String() string {
	return [...]string{"no route", "to an exchange", "announcement", "barred", "too short", "too long"}[o]
}

// Share is one destination of a choice and its weight in the distribution of calls.
type Share struct {
	Weight   int
	Exchange int   // -1 for an announcement
	Cause    uint8 // Q.850 cause of an announcement
}

// Choice is an alternative of a route that is valid at some times. The first valid choice of a route is used.
type Choice struct {
	Schedule *Schedule // nil: always valid
	Shares   []Share
}

// Route describes how numbers that match one of its prefixes are handled.
type Route struct {
	Name         string
	MinDigits    int // of the whole normalised number
	MaxDigits    int
	DeleteDigits int    // number of leading digits to remove
	InsertDigits string // digits to put in their place
	Priority     bool
	Emergency    bool // never barred, no portability look-up
	MayBePorted  bool // a portability look-up is needed
	Choices      []Choice
}

// Screen bars numbers with one prefix for callers with another.
type Screen struct {
	Name         string
	CallerPrefix string // "" for all callers
	NumberPrefix string // numbers that are barred
}

// Table is one version of the routing rules. Build must succeed before it is used; it is immutable after that.
type Table struct {
	Version         uint64
	Name            string
	DialPlan        DialPlan
	Zone            *Zone
	Holidays        []int
	Routes          []Route
	Screens         []Screen
	routesByPrefix  *Trie
	screensByCaller *Trie // values are indices into barredPrefixes
	barredPrefixes  [][]string
}

// Build validates a table and builds its tries. exchanges is the number of exchanges in the network. An error names the route or
// prefix at fault.
func (t *Table) Build(prefixes []Prefix, exchanges int) error {
	for i := range t.Routes {
		if err := t.Routes[i].check(exchanges); err != nil {
			return fmt.Errorf("route %q: %w", t.Routes[i].Name, err)
		}
	}
	for _, p := range prefixes {
		if int(p.Value) >= len(t.Routes) {
			return fmt.Errorf("prefix %s refers to route %d of %d", p.Digits, p.Value, len(t.Routes))
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
		return fmt.Errorf("length range of %d to %d digits is not within 1 to %d", e.MinDigits, e.MaxDigits, MaxDigits)
	}
	if e.DeleteDigits < 0 || e.DeleteDigits > e.MinDigits || e.MaxDigits-e.DeleteDigits+len(e.InsertDigits) > MaxDigits || e.MinDigits-e.DeleteDigits+len(e.InsertDigits) < 1 {
		return fmt.Errorf("deleting %d digits and inserting %q gives an empty or too long number", e.DeleteDigits, e.InsertDigits)
	}
	for _, c := range []byte(e.InsertDigits) {
		if _, ok := digitValue(c); !ok {
			return fmt.Errorf("%q in the inserted digits is not a digit", c)
		}
	}
	for _, c := range e.Choices {
		sum := 0
		for _, s := range c.Shares {
			if s.Weight < 0 || s.Exchange >= exchanges {
				return fmt.Errorf("share with weight %d to exchange %d: exchanges are numbered below %d and weights are not negative", s.Weight, s.Exchange, exchanges)
			}
			sum += s.Weight
		}
		if sum == 0 {
			return fmt.Errorf("the weights of a choice add up to zero")
		}
	}
	return nil
}

// buildScreens collects, for each caller prefix, the prefixes barred for it and for every shorter caller prefix.
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

// Normalise converts dialled digits into a number with country code, or a short code.
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

// Result is the result of an analysis.
type Result struct {
	Outcome        Outcome
	Version        uint64
	Kind           Kind
	Number         string // normalised
	OutgoingDigits string // digits sent to the next exchange
	RouteIndex     int    // -1 for none
	MatchedDigits  int    // length of the matched prefix
	ChoiceIndex    int    // -1 if none is valid now
	Shares         []Share
	ShareIndex     int // index into Shares
	Exchange       int
	Cause          uint8
	Priority       bool
	NeedsLookup    bool // a portability look-up should precede the route
}

// ShareSelector returns the index of the share for a caller. It must return the same share when the caller redials.
type ShareSelector func(entry, choice int, shares []Share, caller string) int

// Q.850 causes that the analysis itself returns.
const (
	causeUnallocatedNumber = 1
	causeCallRejected      = 21
	causeInvalidFormat     = 28
)

// Analyse finds the route of a dialled number at a time in Unix seconds. trace, if not nil, is called with each step.
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

// AnalysePorted finds the route of a routing number returned by a portability look-up. It never asks for another look-up.
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

// barred returns the barred prefix that matches a number for a caller.
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

// PrefixCount returns the number of prefixes of the table and MemoryBytes the memory of the trie that they take.
func (t *Table) PrefixCount() int { return t.routesByPrefix.Len() }
func (t *Table) MemoryBytes() int { return t.routesByPrefix.MemoryBytes() }

// Walk calls each for every prefix in ascending order until it returns false.
func (t *Table) Walk(each func(digits string, entry uint32) bool) { t.routesByPrefix.Walk(each) }
