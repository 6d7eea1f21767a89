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

// Kind tells how a number was dialled.
type Kind uint8

const (
	National      Kind = iota
	International      // dialled with the international prefix
	Short              // a short code, analysed as dialled
)

// String returns the name of the kind for traces.
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

// String returns the name of the outcome for traces.
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

// Build validates a table and builds its tries. exchangeCount is the number of exchanges in the network. An error names the route
// or prefix at fault.
func (t *Table) Build(prefixes []Prefix, exchangeCount int) error {
	for i := range t.Routes {
		if err := t.Routes[i].check(exchangeCount); err != nil {
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

func (r *Route) check(exchangeCount int) error {
	if r.MinDigits < 1 || r.MaxDigits > MaxDigits || r.MinDigits > r.MaxDigits {
		return fmt.Errorf("length range of %d to %d digits is not within 1 to %d", r.MinDigits, r.MaxDigits, MaxDigits)
	}
	if r.DeleteDigits < 0 || r.DeleteDigits > r.MinDigits || r.MaxDigits-r.DeleteDigits+len(r.InsertDigits) > MaxDigits || r.MinDigits-r.DeleteDigits+len(r.InsertDigits) < 1 {
		return fmt.Errorf("deleting %d digits and inserting %q gives an empty or too long number", r.DeleteDigits, r.InsertDigits)
	}
	for _, c := range []byte(r.InsertDigits) {
		if _, ok := digitValue(c); !ok {
			return fmt.Errorf("%q in the inserted digits is not a digit", c)
		}
	}
	for _, c := range r.Choices {
		totalWeight := 0
		for _, s := range c.Shares {
			if s.Weight < 0 || s.Exchange >= exchangeCount {
				return fmt.Errorf("share with weight %d to exchange %d: exchanges are numbered below %d and weights are not negative", s.Weight, s.Exchange, exchangeCount)
			}
			totalWeight += s.Weight
		}
		if totalWeight == 0 {
			return fmt.Errorf("the weights of a choice add up to zero")
		}
	}
	return nil
}

// buildScreens collects, for each caller prefix, the prefixes barred for it and for every shorter caller prefix.
func (t *Table) buildScreens() error {
	byCaller := map[string][]string{}
	for _, s := range t.Screens {
		byCaller[s.CallerPrefix] = append(byCaller[s.CallerPrefix], s.NumberPrefix)
	}
	var prefixes []Prefix
	t.barredPrefixes = nil
	for callers := range byCaller {
		var barred []string
		for length := 0; length <= len(callers); length++ {
			barred = append(barred, byCaller[callers[:length]]...)
		}
		prefixes = append(prefixes, Prefix{callers, uint32(len(t.barredPrefixes))})
		t.barredPrefixes = append(t.barredPrefixes, barred)
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

// Result is the outcome of an analysis with the route that it found.
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
type ShareSelector func(route, choice int, shares []Share, caller string) int

// Q.850 causes that the analysis itself returns.
const (
	causeUnallocatedNumber = 1
	causeCallRejected      = 21
	causeInvalidFormat     = 28
)

// Analyse finds the route of a dialled number at a time in Unix seconds. trace, if not nil, is called with each step.
func (t *Table) Analyse(caller, dialled string, unixTime int64, selectShare ShareSelector, trace func(string)) Result {
	tracef := func(format string, args ...any) {
		if trace != nil {
			trace(fmt.Sprintf(format, args...))
		}
	}
	number, kind := t.DialPlan.Normalise(dialled)
	tracef("dialled %s is a %s number, %s", dialled, kind, number)
	return t.route(Result{Version: t.Version, Kind: kind, Number: number, RouteIndex: -1, ChoiceIndex: -1, Exchange: -1}, caller, unixTime, selectShare, true, tracef)
}

// AnalysePorted finds the route of a routing number returned by a portability look-up. It never asks for another look-up.
func (t *Table) AnalysePorted(caller, number string, unixTime int64, selectShare ShareSelector) Result {
	return t.route(Result{Version: t.Version, Number: number, RouteIndex: -1, ChoiceIndex: -1, Exchange: -1}, caller, unixTime, selectShare, false, func(string, ...any) {})
}

func (t *Table) route(result Result, caller string, unixTime int64, selectShare ShareSelector, lookupAllowed bool, tracef func(string, ...any)) Result {
	index, matched, ok := t.routesByPrefix.Find(result.Number)
	if !ok {
		tracef("no prefix fits")
		result.Cause = causeUnallocatedNumber
		return result
	}
	route := &t.Routes[index]
	result.RouteIndex, result.MatchedDigits, result.Priority = int(index), matched, route.Priority || route.Emergency
	tracef("the longest prefix is %s, route %q", result.Number[:matched], route.Name)
	switch {
	case len(result.Number) < route.MinDigits:
		tracef("%d digits, at least %d are needed", len(result.Number), route.MinDigits)
		result.Outcome, result.Cause = TooShort, causeInvalidFormat
		return result
	case len(result.Number) > route.MaxDigits:
		tracef("%d digits, at most %d can be", len(result.Number), route.MaxDigits)
		result.Outcome, result.Cause = TooLong, causeInvalidFormat
		return result
	}
	if route.Emergency {
		tracef("emergency: never barred")
	} else if barredPrefix, isBarred := t.barred(caller, result.Number); isBarred {
		tracef("barred for caller %s by %s", caller, barredPrefix)
		result.Outcome, result.Cause = Barred, causeCallRejected
		return result
	}
	result.NeedsLookup = lookupAllowed && route.MayBePorted && !route.Emergency
	if result.NeedsLookup {
		tracef("portability is asked for; without an answer the route below holds")
	}
	for i, choice := range route.Choices {
		if choice.Schedule != nil && !choice.Schedule.Contains(t.Zone, t.Holidays, unixTime) {
			tracef("choice %d does not hold now", i+1)
			continue
		}
		result.ChoiceIndex, result.Shares = i, choice.Shares
		break
	}
	if result.ChoiceIndex < 0 {
		tracef("no choice holds now")
		result.Cause = causeUnallocatedNumber
		return result
	}
	if len(result.Shares) > 1 && selectShare != nil {
		result.ShareIndex = selectShare(result.RouteIndex, result.ChoiceIndex, result.Shares, caller)
		tracef("choice %d has %d shares, this caller gets number %d", result.ChoiceIndex+1, len(result.Shares), result.ShareIndex+1)
	}
	share := result.Shares[result.ShareIndex]
	if share.Exchange < 0 {
		tracef("announcement, cause %d", share.Cause)
		result.Outcome, result.Cause = Announcement, share.Cause
		return result
	}
	result.Outcome, result.Exchange, result.OutgoingDigits = ToExchange, share.Exchange, route.InsertDigits+result.Number[route.DeleteDigits:]
	tracef("to exchange %d with %s", result.Exchange, result.OutgoingDigits)
	return result
}

// barred returns the barred prefix that matches a number for a caller.
func (t *Table) barred(caller, number string) (string, bool) {
	index, _, ok := t.screensByCaller.Find(caller)
	if !ok {
		return "", false
	}
	for _, prefix := range t.barredPrefixes[index] {
		if strings.HasPrefix(number, prefix) {
			return prefix, true
		}
	}
	return "", false
}

// PrefixCount returns the number of prefixes of the table.
func (t *Table) PrefixCount() int { return t.routesByPrefix.Len() }

// MemoryBytes returns the size of the trie of these prefixes.
func (t *Table) MemoryBytes() int { return t.routesByPrefix.MemoryBytes() }

// Walk calls visit for each prefix in ascending order until it returns false.
func (t *Table) Walk(visit func(digits string, routeIndex uint32) bool) { t.routesByPrefix.Walk(visit) }
