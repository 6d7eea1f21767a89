// Package numberfile reads tables for number analysis, rules in HCL and prefixes in CSV, and keeps the versions that a
// controller was given: whole files with a checksum each, and a history of what was in force. It decides nothing about a
// number; internal/numbers does.
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

// Source is the text of one version: the rules, and the prefixes that they name as a file of their own, if any.
type Source struct {
	Name   string // of the rules' file, for messages
	Rules  []byte
	CSV    string // name of the prefixes' file
	Prefix []byte
}

// ReadSource reads the rules and the prefixes' file that they name, which stands beside them.
func ReadSource(name string) (Source, error) {
	rules, err := os.ReadFile(name)
	if err != nil {
		return Source{}, fmt.Errorf("read table: %w", err)
	}
	s := Source{Name: name, Rules: rules}
	f, b := hclread.Parse(name, rules)
	s.CSV = b.Text("prefixes", false, "")
	if err := f.Err(); err != nil {
		return s, err
	}
	if s.CSV != "" {
		if s.Prefix, err = os.ReadFile(filepath.Join(filepath.Dir(name), s.CSV)); err != nil {
			return s, fmt.Errorf("read prefixes: %w", err)
		}
	}
	return s, nil
}

// Table builds the table of a source. Its error has a line for each fault, with file, line and column; a table with any
// fault is refused whole.
func (s Source) Table(exchanges int) (*numbers.Table, error) {
	f, b := hclread.Parse(s.Name, s.Rules)
	t := &numbers.Table{Name: b.Text("name", false, ""), Version: uint64(b.Whole("version", 1, math.MaxInt32, 0))}
	b.Text("prefixes", false, "")
	d := b.Only("dialling", false)
	t.Dialling = numbers.Dialling{International: d.Text("international", false, "00"), National: d.Text("national", false, ""),
		Country: d.Text("country", false, ""), ShortMost: d.Whole("short_most", 0, numbers.DigitsMost, 0)}
	d.Done()
	var err error
	if t.Zone, err = numbers.NewZone(b.Text("zone", false, "UTC")); err != nil {
		b.FaultAt("zone", "%v", err)
	}
	for _, h := range b.Texts("holidays") {
		t.Holidays = append(t.Holidays, day(b, "holidays", h))
	}
	slices.Sort(t.Holidays)
	var prefixes []numbers.Prefix
	routes := map[string]uint32{}
	for _, n := range b.Blocks("route", true) {
		if _, twice := routes[n.Label]; twice {
			n.Fault("route %q stands twice", n.Label)
		}
		id := uint32(len(t.Entries))
		routes[n.Label] = id
		for _, p := range n.Texts("prefixes") {
			prefixes = append(prefixes, numbers.Prefix{Digits: p, Entry: id})
		}
		t.Entries = append(t.Entries, route(n, exchanges))
	}
	for _, n := range b.Blocks("screen", true) {
		t.Screens = append(t.Screens, numbers.Screen{Name: n.Label, Callers: n.Text("callers", false, ""), Numbers: n.Text("numbers", true, "")})
		n.Done()
	}
	b.Done()
	if err := f.Err(); err != nil {
		return nil, err
	}
	if prefixes, err = s.csv(prefixes, routes); err != nil {
		return nil, err
	}
	if err := t.Build(prefixes, exchanges); err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	return t, nil
}

func day(b *hclread.Block, name, text string) int {
	t, err := time.Parse(time.DateOnly, text)
	if err != nil {
		b.FaultAt(name, "%q is no date such as 2026-11-18", text)
		return 0
	}
	return numbers.Day(t.Date())
}

func route(n *hclread.Block, exchanges int) numbers.Entry {
	e := numbers.Entry{Name: n.Label, Least: n.Whole("least", 1, numbers.DigitsMost, 1), Most: n.Whole("most", 1, numbers.DigitsMost, numbers.DigitsMost),
		Delete: n.Whole("delete", 0, numbers.DigitsMost, 0), Insert: n.Text("insert", false, ""), Priority: n.Flag("priority", false),
		Emergency: n.Flag("emergency", false), Ported: n.Flag("ported", false)}
	if e.Least > e.Most {
		n.FaultAt("least", "least is %d, most %d", e.Least, e.Most)
	}
	for _, c := range n.Blocks("choice", false) {
		e.Choices = append(e.Choices, choice(c, exchanges))
	}
	if len(e.Choices) == 0 {
		n.Fault("route %q has no choice", n.Label)
	}
	n.Done()
	return e
}

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

func choice(c *hclread.Block, exchanges int) numbers.Choice {
	var out numbers.Choice
	w := numbers.When{}
	for _, d := range c.Texts("days") {
		known := false
		for i, name := range weekdays {
			if d == name {
				w.Days |= 1 << i
				known = true
			}
		}
		if !known {
			c.FaultAt("days", "day %q, it can be %s", d, strings.Join(weekdays, ", "))
		}
	}
	for _, d := range c.Texts("dates") {
		from, to, both := strings.Cut(d, "..")
		if !both {
			to = from
		}
		s := numbers.Span{From: day(c, "dates", from), To: day(c, "dates", to)}
		if s.To < s.From {
			c.FaultAt("dates", "%q ends before it begins", d)
		}
		w.Dates = append(w.Dates, s)
	}
	w.From, w.To = minute(c, "from"), minute(c, "to")
	if w.To <= w.From && c.Has("to") {
		w.To += 24 * 60 // past midnight
	}
	switch c.One("holidays", "", "", "only", "never") {
	case "only":
		w.Holidays = true
	case "never":
		w.NoHolidays = true
	}
	for _, to := range c.Blocks("to", true) {
		x, err := strconv.Atoi(to.Label)
		if err != nil || x < 0 || x >= exchanges {
			to.Fault("exchange %q, exchanges are numbered below %d", to.Label, exchanges)
		}
		out.Shares = append(out.Shares, numbers.Share{Weight: to.Whole("weight", 0, 1e6, 1), Exchange: x})
		to.Done()
	}
	for _, a := range c.Blocks("announce", false) {
		out.Shares = append(out.Shares, numbers.Share{Weight: a.Whole("weight", 0, 1e6, 1), Exchange: -1, Cause: uint8(a.Whole("cause", 1, 127, 0))})
		a.Done()
	}
	if len(out.Shares) == 0 {
		c.Fault("a choice leads nowhere: it needs a block to or announce")
	}
	c.Done()
	if w.Days != 0 || len(w.Dates) > 0 || w.From != w.To || w.Holidays || w.NoHolidays {
		out.When = &w
	}
	return out
}

func minute(c *hclread.Block, name string) int {
	text := c.Text(name, false, "00:00")
	t, err := time.Parse("15:04", text)
	if err != nil && text != "24:00" {
		c.FaultAt(name, "%q is no time of day such as 08:30", text)
		return 0
	}
	if text == "24:00" {
		return 24 * 60
	}
	return t.Hour()*60 + t.Minute()
}

// csv reads lines of prefix and route.
func (s Source) csv(all []numbers.Prefix, routes map[string]uint32) ([]numbers.Prefix, error) {
	r := csv.NewReader(bytes.NewReader(s.Prefix))
	r.FieldsPerRecord, r.ReuseRecord, r.Comment = 2, true, '#'
	for {
		line, err := r.Read()
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.CSV, err)
		}
		id, ok := routes[line[1]]
		if !ok {
			at, col := r.FieldPos(1)
			return nil, fmt.Errorf("%s:%d,%d: no route %q", s.CSV, at, col, line[1])
		}
		for i := range len(line[0]) {
			if !strings.ContainsRune("0123456789BC", rune(line[0][i])) {
				at, col := r.FieldPos(0)
				return nil, fmt.Errorf("%s:%d,%d: %q is no digit", s.CSV, at, col+i, line[0][i])
			}
		}
		all = append(all, numbers.Prefix{Digits: line[0], Entry: id})
	}
}
