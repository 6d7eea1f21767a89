// Package hclread reads HCL files attribute by attribute, so that each fault is told with file, line, column and reason,
// all faults of a file at once. internal/site and internal/day state with it what may stand in their files.
package hclread

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"indigodrift/policy"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// File is one file being read; Err tells all that was wrong with it.
type File struct {
	faults hcl.Diagnostics
}

// Open parses a file and returns its outermost block.
func Open(name string) (*File, *Block, error) {
	src, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, fmt.Errorf("read settings: %w", err)
	}
	f, b := Parse(name, src)
	return f, b, nil
}

// Parse takes the text of a file.
func Parse(name string, src []byte) (*File, *Block) {
	f := &File{}
	parsed, diags := hclsyntax.ParseConfig(src, name, hcl.InitialPos)
	f.faults = append(f.faults, diags...)
	b := &Block{file: f, at: hcl.Range{Filename: name, Start: hcl.InitialPos}, used: map[string]bool{}}
	if parsed != nil && !diags.HasErrors() {
		b.body = parsed.Body.(*hclsyntax.Body)
	} else {
		b.body = &hclsyntax.Body{}
	}
	return f, b
}

// Err is every fault found, one a line, or nil.
func (f *File) Err() error {
	if !f.faults.HasErrors() {
		return nil
	}
	var lines []string
	for _, d := range f.faults {
		at := ""
		if d.Subject != nil {
			at = fmt.Sprintf("%s:%d,%d: ", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		text := d.Summary
		if d.Detail != "" {
			text += ": " + d.Detail
		}
		lines = append(lines, at+text)
	}
	return errors.New(strings.Join(lines, "\n"))
}

// Block is one block of a file. Every name in it must be asked for before Done.
type Block struct {
	file  *File
	body  *hclsyntax.Body
	at    hcl.Range
	used  map[string]bool
	Label string
}

// Fault tells a fault at the block.
func (b *Block) Fault(format string, args ...any) { b.fault(b.at, format, args...) }

// FaultAt tells a fault at an attribute of the block.
func (b *Block) FaultAt(name, format string, args ...any) {
	at := b.at
	if a := b.body.Attributes[name]; a != nil {
		at = a.Expr.Range()
	}
	b.fault(at, format, args...)
}

func (b *Block) fault(at hcl.Range, format string, args ...any) {
	b.file.faults = append(b.file.faults, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at})
}

func (b *Block) value(name string, kind cty.Type) (cty.Value, hcl.Range, bool) {
	b.used[name] = true
	a := b.body.Attributes[name]
	if a == nil {
		return cty.NilVal, b.at, false
	}
	at := a.Expr.Range()
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		b.file.faults = append(b.file.faults, diags...)
		return cty.NilVal, at, false
	}
	if v.IsNull() || !v.IsKnown() || v.Type() != kind {
		b.fault(at, "%s must be a %s", name, kind.FriendlyName())
		return cty.NilVal, at, false
	}
	return v, at, true
}

// Has tells whether an attribute stands in the block.
func (b *Block) Has(name string) bool { return b.body.Attributes[name] != nil }

// Number reads a number within a range; standard is what holds when it is absent, NaN when it must not be.
func (b *Block) Number(name string, least, most, standard float64) float64 {
	v, at, ok := b.value(name, cty.Number)
	if !ok {
		if math.IsNaN(standard) && !b.Has(name) {
			b.Fault("%s is missing", name)
		}
		return standard
	}
	f, _ := v.AsBigFloat().Float64()
	if f < least || f > most {
		b.fault(at, "%s is %v, it can be %v to %v", name, f, least, most)
		return least
	}
	return f
}

// Whole reads a whole number; standard below least means that it must be there.
func (b *Block) Whole(name string, least, most, standard int) int {
	std := float64(standard)
	if standard < least {
		std = math.NaN()
	}
	f := b.Number(name, float64(least), float64(most), std)
	if math.IsNaN(f) {
		return least
	}
	if f != math.Trunc(f) {
		b.FaultAt(name, "%s is %v, it must be whole", name, f)
	}
	return int(f)
}

// Text reads a string; must tells that it cannot be absent.
func (b *Block) Text(name string, must bool, standard string) string {
	v, _, ok := b.value(name, cty.String)
	if !ok {
		if must && !b.Has(name) {
			b.Fault("%s is missing", name)
		}
		return standard
	}
	return v.AsString()
}

// Texts reads a list of strings.
func (b *Block) Texts(name string) []string {
	b.used[name] = true
	a := b.body.Attributes[name]
	if a == nil {
		return nil
	}
	v, diags := a.Expr.Value(nil)
	b.file.faults = append(b.file.faults, diags...)
	if diags.HasErrors() {
		return nil
	}
	var all []string
	if !v.CanIterateElements() {
		b.FaultAt(name, "%s must be a list of strings", name)
		return nil
	}
	for _, e := range v.AsValueSlice() {
		if e.Type() != cty.String || e.IsNull() {
			b.FaultAt(name, "%s must be a list of strings", name)
			return nil
		}
		all = append(all, e.AsString())
	}
	return all
}

// One reads a string that must be one of some.
func (b *Block) One(name, standard string, of ...string) string {
	s := b.Text(name, false, standard)
	for _, o := range of {
		if s == o {
			return s
		}
	}
	b.FaultAt(name, "%s is %q, it can be %s", name, s, strings.Join(of, ", "))
	return standard
}

// Flag reads true or false.
func (b *Block) Flag(name string, standard bool) bool {
	if v, _, ok := b.value(name, cty.Bool); ok {
		return v.True()
	}
	return standard
}

// Span reads a span of time such as "1.2s"; standard is what holds when it is absent, negative when it must not be.
func (b *Block) Span(name string, least, most, standard time.Duration) policy.Tenths {
	v, at, ok := b.value(name, cty.String)
	d := standard
	if ok {
		var err error
		if d, err = time.ParseDuration(v.AsString()); err != nil {
			b.fault(at, "%s is %q, not a span such as \"1.2s\"", name, v.AsString())
			d = least
		} else if d < least || d > most {
			b.fault(at, "%s is %v, it can be %v to %v", name, d, least, most)
			d = least
		}
	} else if standard < 0 {
		if !b.Has(name) {
			b.Fault("%s is missing", name)
		}
		d = least
	}
	return policy.Tenths((d + 100*time.Microsecond - 1) / (100 * time.Microsecond))
}

// Address reads a literal address and port; loopback tells that no other may stand there.
func (b *Block) Address(name string, loopback bool) string {
	v, at, ok := b.value(name, cty.String)
	if !ok {
		if !b.Has(name) {
			b.Fault("%s is missing", name)
		}
		return ""
	}
	a, err := netip.ParseAddrPort(v.AsString())
	switch {
	case err != nil:
		b.fault(at, "%s is %q, not an address with a port such as \"127.0.0.1:2905\"", name, v.AsString())
	case loopback && !a.Addr().IsLoopback():
		b.fault(at, "%s is %s, which is not on loopback", name, a)
	}
	return v.AsString()
}

// Blocks lists the blocks of a kind; labelled tells that each has one label.
func (b *Block) Blocks(kind string, labelled bool) []*Block {
	b.used[kind] = true
	var all []*Block
	for _, inner := range b.body.Blocks {
		if inner.Type != kind {
			continue
		}
		n := &Block{file: b.file, body: inner.Body, at: inner.DefRange(), used: map[string]bool{}}
		if want := 0; len(inner.Labels) != want && !labelled || labelled && len(inner.Labels) != 1 {
			n.Fault("%s must have %d labels", kind, map[bool]int{true: 1}[labelled])
		}
		if len(inner.Labels) > 0 {
			n.Label = inner.Labels[0]
		}
		all = append(all, n)
	}
	return all
}

// Only is the one block of a kind; without it an empty one, told missing if it must be there.
func (b *Block) Only(kind string, must bool) *Block {
	all := b.Blocks(kind, false)
	if len(all) > 1 {
		all[1].Fault("%s stands twice", kind)
	}
	if len(all) > 0 {
		return all[0]
	}
	if must {
		b.Fault("the block %s is missing", kind)
	}
	return &Block{file: b.file, body: &hclsyntax.Body{}, at: b.at, used: map[string]bool{}}
}

// Done tells of every name in the block that nothing asked for.
func (b *Block) Done() {
	var names []string
	for name := range b.body.Attributes {
		if !b.used[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		b.fault(b.body.Attributes[name].NameRange, "%s is not known here", name)
	}
	for _, inner := range b.body.Blocks {
		if !b.used[inner.Type] {
			b.fault(inner.DefRange(), "a block %s is not known here", inner.Type)
		}
	}
}
