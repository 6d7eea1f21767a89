// Package numberfile parses tables for number analysis, with rules in HCL and prefixes in CSV, and stores the versions that a
// controller has loaded: a file with a checksum for each version, and a history of the versions in force. The analysis of
// numbers is in internal/numbers.
package numberfile

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"indigodrift/internal/hclread"
	"indigodrift/internal/numbers"
)

// Source is the text of one version: the rules and, if the rules name one, the separate file of prefixes.
type Source struct {
	RulesFile  string // name of the rules file, for messages
	Rules      []byte
	PrefixFile string // name of the CSV file of prefixes, "" for none
	Prefixes   []byte
}

// ReadSource reads a rules file and the file of prefixes that it names in the same folder.
func ReadSource(name string) (Source, error) {
	rules, err := os.ReadFile(name)
	if err != nil {
		return Source{}, fmt.Errorf("read table: %w", err)
	}
	s := Source{RulesFile: name, Rules: rules}
	f, b := hclread.Parse(name, rules)
	s.PrefixFile = b.Text("prefixes", false, "")
	if err := f.Err(); err != nil {
		return s, err
	}
	if s.PrefixFile != "" {
		if s.Prefixes, err = os.ReadFile(filepath.Join(filepath.Dir(name), s.PrefixFile)); err != nil {
			return s, fmt.Errorf("read prefixes: %w", err)
		}
	}
	return s, nil
}

// Table parses a source and builds its table for a network with a number of exchanges. The error has a line for each fault with
// file, line and column.
func (s Source) Table(exchanges int) (*numbers.Table, error) {
	f, b := hclread.Parse(s.RulesFile, s.Rules)
	t := &numbers.Table{Name: b.Text("name", false, ""), Version: uint64(b.Whole("version", 1, math.MaxInt32, 0))}
	b.Text("prefixes", false, "")
	d := b.Only("dialling", false)
	t.DialPlan = numbers.DialPlan{InternationalPrefix: d.Text("international", false, "00"), NationalPrefix: d.Text("national", false, ""),
		CountryCode: d.Text("country", false, ""), MaxShortDigits: d.Whole("short_most", 0, numbers.MaxDigits, 0)}
	d.Done()
	var err error
	if t.Zone, err = numbers.NewZone(b.Text("zone", false, "UTC")); err != nil {
		b.FaultAt("zone", "%v", err)
	}
	for _, h := range b.Texts("holidays") {
		t.Holidays = append(t.Holidays, parseDay(b, "holidays", h))
	}
	slices.Sort(t.Holidays)
	var prefixes []numbers.Prefix
	routes := map[string]uint32{}
	for _, n := range b.Blocks("route", true) {
		if _, twice := routes[n.Label]; twice {
			n.Fault("route %q is defined twice", n.Label)
		}
		id := uint32(len(t.Routes))
		routes[n.Label] = id
		for _, p := range n.Texts("prefixes") {
			prefixes = append(prefixes, numbers.Prefix{Digits: p, Value: id})
		}
		t.Routes = append(t.Routes, parseRoute(n, exchanges))
	}
	for _, n := range b.Blocks("screen", true) {
		t.Screens = append(t.Screens, numbers.Screen{Name: n.Label, CallerPrefix: n.Text("callers", false, ""), NumberPrefix: n.Text("numbers", true, "")})
		n.Done()
	}
	b.Done()
	if err := f.Err(); err != nil {
		return nil, err
	}
	if prefixes, err = s.parsePrefixes(prefixes, routes); err != nil {
		return nil, err
	}
	if err := t.Build(prefixes, exchanges); err != nil {
		return nil, fmt.Errorf("%s: %w", s.RulesFile, err)
	}
	return t, nil
}

func parseDay(b *hclread.Block, name, text string) int {
	t, err := time.Parse(time.DateOnly, text)
	if err != nil {
		b.FaultAt(name, "%q is not a date such as 2026-11-18", text)
		return 0
	}
	return numbers.DayNumber(t.Date())
}

func parseRoute(n *hclread.Block, exchanges int) numbers.Route {
	e := numbers.Route{Name: n.Label, MinDigits: n.Whole("least", 1, numbers.MaxDigits, 1), MaxDigits: n.Whole("most", 1, numbers.MaxDigits, numbers.MaxDigits),
		DeleteDigits: n.Whole("delete", 0, numbers.MaxDigits, 0), InsertDigits: n.Text("insert", false, ""), Priority: n.Flag("priority", false),
		Emergency: n.Flag("emergency", false), MayBePorted: n.Flag("ported", false)}
	if e.MinDigits > e.MaxDigits {
		n.FaultAt("least", "least is %d, more than most, which is %d", e.MinDigits, e.MaxDigits)
	}
	for _, c := range n.Blocks("choice", false) {
		e.Choices = append(e.Choices, parseChoice(c, exchanges))
	}
	if len(e.Choices) == 0 {
		n.Fault("route %q has no choice", n.Label)
	}
	n.Done()
	return e
}

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

func parseChoice(c *hclread.Block, exchanges int) numbers.Choice {
	var out numbers.Choice
	w := numbers.Schedule{}
	for _, d := range c.Texts("days") {
		known := false
		for i, name := range weekdays {
			if d == name {
				w.Weekdays |= 1 << i
				known = true
			}
		}
		if !known {
			c.FaultAt("days", "day %q is not one of %s", d, strings.Join(weekdays, ", "))
		}
	}
	for _, d := range c.Texts("dates") {
		from, to, both := strings.Cut(d, "..")
		if !both {
			to = from
		}
		s := numbers.DayRange{From: parseDay(c, "dates", from), To: parseDay(c, "dates", to)}
		if s.To < s.From {
			c.FaultAt("dates", "%q ends before it begins", d)
		}
		w.Dates = append(w.Dates, s)
	}
	w.FromMinute, w.ToMinute = parseMinute(c, "from"), parseMinute(c, "to")
	if w.ToMinute <= w.FromMinute && c.Has("to") {
		w.ToMinute += 24 * 60 // past midnight
	}
	switch c.One("holidays", "", "", "only", "never") {
	case "only":
		w.OnlyHolidays = true
	case "never":
		w.ExceptHolidays = true
	}
	for _, to := range c.Blocks("to", true) {
		x, err := strconv.Atoi(to.Label)
		if err != nil || x < 0 || x >= exchanges {
			to.Fault("exchange %q is not a number below %d", to.Label, exchanges)
		}
		out.Shares = append(out.Shares, numbers.Share{Weight: to.Whole("weight", 0, 1e6, 1), Exchange: x})
		to.Done()
	}
	for _, a := range c.Blocks("announce", false) {
		out.Shares = append(out.Shares, numbers.Share{Weight: a.Whole("weight", 0, 1e6, 1), Exchange: -1, Cause: uint8(a.Whole("cause", 1, 127, 0))})
		a.Done()
	}
	if len(out.Shares) == 0 {
		c.Fault("choice has no destination: it needs a \"to\" or \"announce\" block")
	}
	c.Done()
	if w.Weekdays != 0 || len(w.Dates) > 0 || w.FromMinute != w.ToMinute || w.OnlyHolidays || w.ExceptHolidays {
		out.Schedule = &w
	}
	return out
}

func parseMinute(c *hclread.Block, name string) int {
	text := c.Text(name, false, "00:00")
	t, err := time.Parse("15:04", text)
	if err != nil && text != "24:00" {
		c.FaultAt(name, "%q is not a time of day such as 08:30", text)
		return 0
	}
	if text == "24:00" {
		return 24 * 60
	}
	return t.Hour()*60 + t.Minute()
}

// parsePrefixes appends the prefixes of the CSV file, whose lines are a prefix and the label of a route.
func (s Source) parsePrefixes(all []numbers.Prefix, routes map[string]uint32) ([]numbers.Prefix, error) {
	r := csv.NewReader(bytes.NewReader(s.Prefixes))
	r.FieldsPerRecord, r.ReuseRecord, r.Comment = 2, true, '#'
	for {
		line, err := r.Read()
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.PrefixFile, err)
		}
		id, ok := routes[line[1]]
		if !ok {
			at, col := r.FieldPos(1)
			return nil, fmt.Errorf("%s:%d,%d: route %q is not defined", s.PrefixFile, at, col, line[1])
		}
		for i := range len(line[0]) {
			if !strings.ContainsRune("0123456789BC", rune(line[0][i])) {
				at, col := r.FieldPos(0)
				return nil, fmt.Errorf("%s:%d,%d: %q is not a digit", s.PrefixFile, at, col+i, line[0][i])
			}
		}
		all = append(all, numbers.Prefix{Digits: line[0], Value: id})
	}
}
