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
	file, root := hclread.Parse(name, rules)
	s.PrefixFile = root.Text("prefixes", false, "")
	if err := file.Err(); err != nil {
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
// file, line and column. A table with any fault is rejected as a whole.
func (s Source) Table(exchangeCount int) (*numbers.Table, error) {
	file, root := hclread.Parse(s.RulesFile, s.Rules)
	t := &numbers.Table{Name: root.Text("name", false, ""), Version: uint64(root.Int("version", 1, math.MaxInt32, 0))}
	root.Text("prefixes", false, "")
	dialling := root.SingleBlock("dialling", false)
	t.DialPlan = numbers.DialPlan{InternationalPrefix: dialling.Text("international", false, "00"), NationalPrefix: dialling.Text("national", false, ""),
		CountryCode: dialling.Text("country", false, ""), MaxShortDigits: dialling.Int("short_most", 0, numbers.MaxDigits, 0)}
	dialling.CheckUnknown()
	var err error
	if t.Zone, err = numbers.NewZone(root.Text("zone", false, "UTC")); err != nil {
		root.AddErrorAt("zone", "%v", err)
	}
	for _, date := range root.TextList("holidays") {
		t.Holidays = append(t.Holidays, parseDay(root, "holidays", date))
	}
	slices.Sort(t.Holidays)
	var prefixes []numbers.Prefix
	routes := map[string]uint32{}
	for _, block := range root.Blocks("route", true) {
		if _, duplicate := routes[block.Label]; duplicate {
			block.AddError("route %q is defined twice", block.Label)
		}
		index := uint32(len(t.Routes))
		routes[block.Label] = index
		for _, prefix := range block.TextList("prefixes") {
			prefixes = append(prefixes, numbers.Prefix{Digits: prefix, Value: index})
		}
		t.Routes = append(t.Routes, parseRoute(block, exchangeCount))
	}
	for _, block := range root.Blocks("screen", true) {
		t.Screens = append(t.Screens, numbers.Screen{Name: block.Label, CallerPrefix: block.Text("callers", false, ""), NumberPrefix: block.Text("numbers", true, "")})
		block.CheckUnknown()
	}
	root.CheckUnknown()
	if err := file.Err(); err != nil {
		return nil, err
	}
	if prefixes, err = s.parsePrefixes(prefixes, routes); err != nil {
		return nil, err
	}
	if err := t.Build(prefixes, exchangeCount); err != nil {
		return nil, fmt.Errorf("%s: %w", s.RulesFile, err)
	}
	return t, nil
}

func parseDay(block *hclread.Block, name, text string) int {
	t, err := time.Parse(time.DateOnly, text)
	if err != nil {
		block.AddErrorAt(name, "%q is not a date such as 2026-11-18", text)
		return 0
	}
	return numbers.DayNumber(t.Date())
}

func parseRoute(block *hclread.Block, exchangeCount int) numbers.Route {
	route := numbers.Route{Name: block.Label, MinDigits: block.Int("least", 1, numbers.MaxDigits, 1), MaxDigits: block.Int("most", 1, numbers.MaxDigits, numbers.MaxDigits),
		DeleteDigits: block.Int("delete", 0, numbers.MaxDigits, 0), InsertDigits: block.Text("insert", false, ""), Priority: block.Bool("priority", false),
		Emergency: block.Bool("emergency", false), MayBePorted: block.Bool("ported", false)}
	if route.MinDigits > route.MaxDigits {
		block.AddErrorAt("least", "least is %d, more than most, which is %d", route.MinDigits, route.MaxDigits)
	}
	for _, choice := range block.Blocks("choice", false) {
		route.Choices = append(route.Choices, parseChoice(choice, exchangeCount))
	}
	if len(route.Choices) == 0 {
		block.AddError("route %q has no choice", block.Label)
	}
	block.CheckUnknown()
	return route
}

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

func parseChoice(block *hclread.Block, exchangeCount int) numbers.Choice {
	var choice numbers.Choice
	schedule := numbers.Schedule{}
	for _, text := range block.TextList("days") {
		found := false
		for i, name := range weekdays {
			if text == name {
				schedule.Weekdays |= 1 << i
				found = true
			}
		}
		if !found {
			block.AddErrorAt("days", "day %q is not one of %s", text, strings.Join(weekdays, ", "))
		}
	}
	for _, text := range block.TextList("dates") {
		from, to, isRange := strings.Cut(text, "..")
		if !isRange {
			to = from
		}
		dates := numbers.DayRange{From: parseDay(block, "dates", from), To: parseDay(block, "dates", to)}
		if dates.To < dates.From {
			block.AddErrorAt("dates", "%q ends before it begins", text)
		}
		schedule.Dates = append(schedule.Dates, dates)
	}
	schedule.FromMinute, schedule.ToMinute = parseMinute(block, "from"), parseMinute(block, "to")
	if schedule.ToMinute <= schedule.FromMinute && block.Has("to") {
		schedule.ToMinute += 24 * 60 // past midnight
	}
	switch block.OneOf("holidays", "", "", "only", "never") {
	case "only":
		schedule.OnlyHolidays = true
	case "never":
		schedule.ExceptHolidays = true
	}
	for _, to := range block.Blocks("to", true) {
		exchange, err := strconv.Atoi(to.Label)
		if err != nil || exchange < 0 || exchange >= exchangeCount {
			to.AddError("exchange %q is not a number below %d", to.Label, exchangeCount)
		}
		choice.Shares = append(choice.Shares, numbers.Share{Weight: to.Int("weight", 0, 1e6, 1), Exchange: exchange})
		to.CheckUnknown()
	}
	for _, announcement := range block.Blocks("announce", false) {
		choice.Shares = append(choice.Shares, numbers.Share{Weight: announcement.Int("weight", 0, 1e6, 1), Exchange: -1, Cause: uint8(announcement.Int("cause", 1, 127, 0))})
		announcement.CheckUnknown()
	}
	if len(choice.Shares) == 0 {
		block.AddError("choice has no destination: it needs a \"to\" or \"announce\" block")
	}
	block.CheckUnknown()
	if schedule.Weekdays != 0 || len(schedule.Dates) > 0 || schedule.FromMinute != schedule.ToMinute || schedule.OnlyHolidays || schedule.ExceptHolidays {
		choice.Schedule = &schedule
	}
	return choice
}

func parseMinute(block *hclread.Block, name string) int {
	text := block.Text(name, false, "00:00")
	t, err := time.Parse("15:04", text)
	if err != nil && text != "24:00" {
		block.AddErrorAt(name, "%q is not a time of day such as 08:30", text)
		return 0
	}
	if text == "24:00" {
		return 24 * 60
	}
	return t.Hour()*60 + t.Minute()
}

// parsePrefixes appends the prefixes of the CSV file, whose lines are a prefix and the label of a route.
func (s Source) parsePrefixes(prefixes []numbers.Prefix, routes map[string]uint32) ([]numbers.Prefix, error) {
	reader := csv.NewReader(bytes.NewReader(s.Prefixes))
	reader.FieldsPerRecord, reader.ReuseRecord, reader.Comment = 2, true, '#'
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return prefixes, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.PrefixFile, err)
		}
		route, ok := routes[record[1]]
		if !ok {
			line, column := reader.FieldPos(1)
			return nil, fmt.Errorf("%s:%d,%d: route %q is not defined", s.PrefixFile, line, column, record[1])
		}
		for i := range len(record[0]) {
			if !strings.ContainsRune("0123456789BC", rune(record[0][i])) {
				line, column := reader.FieldPos(0)
				return nil, fmt.Errorf("%s:%d,%d: %q is not a digit", s.PrefixFile, line, column+i, record[0][i])
			}
		}
		prefixes = append(prefixes, numbers.Prefix{Digits: record[0], Value: route})
	}
}
