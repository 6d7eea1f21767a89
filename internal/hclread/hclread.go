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
	diagnostics hcl.Diagnostics
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
	f.diagnostics = append(f.diagnostics, diags...)
	b := &Block{file: f, location: hcl.Range{Filename: name, Start: hcl.InitialPos}, used: map[string]bool{}}
	if parsed != nil && !diags.HasErrors() {
		b.body = parsed.Body.(*hclsyntax.Body)
	} else {
		b.body = &hclsyntax.Body{}
	}
	return f, b
}

// Err is every fault found, one a line, or nil.
func (f *File) Err() error {
	if !f.diagnostics.HasErrors() {
		return nil
	}
	var lines []string
	for _, d := range f.diagnostics {
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
	file     *File
	body     *hclsyntax.Body
	location hcl.Range
	used     map[string]bool
	Label    string
}

// AddError tells a fault at the block.
func (b *Block) AddError(format string, args ...any) { b.addDiagnostic(b.location, format, args...) }

// AddErrorAt tells a fault at an attribute of the block.
func (b *Block) AddErrorAt(name, format string, args ...any) {
	at := b.location
	if a := b.body.Attributes[name]; a != nil {
		at = a.Expr.Range()
	}
	b.addDiagnostic(at, format, args...)
}

func (b *Block) addDiagnostic(at hcl.Range, format string, args ...any) {
	b.file.diagnostics = append(b.file.diagnostics, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at})
}

func (b *Block) attribute(name string, kind cty.Type) (cty.Value, hcl.Range, bool) {
	b.used[name] = true
	a := b.body.Attributes[name]
	if a == nil {
		return cty.NilVal, b.location, false
	}
	at := a.Expr.Range()
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		b.file.diagnostics = append(b.file.diagnostics, diags...)
		return cty.NilVal, at, false
	}
	if v.IsNull() || !v.IsKnown() || v.Type() != kind {
		b.addDiagnostic(at, "%s must be a %s", name, kind.FriendlyName())
		return cty.NilVal, at, false
	}
	return v, at, true
}

// Has tells whether an attribute stands in the block.
func (b *Block) Has(name string) bool { return b.body.Attributes[name] != nil }

// Float reads a number within a range; standard is what holds when it is absent, NaN when it must not be.
func (b *Block) Float(name string, least, most, standard float64) float64 {
	v, at, ok := b.attribute(name, cty.Number)
	if !ok {
		if math.IsNaN(standard) && !b.Has(name) {
			b.AddError("%s is missing", name)
		}
		return standard
	}
	f, _ := v.AsBigFloat().Float64()
	if f < least || f > most {
		b.addDiagnostic(at, "%s is %v, it can be %v to %v", name, f, least, most)
		return least
	}
	return f
}

// Int reads a whole number; standard below least means that it must be there.
func (b *Block) Int(name string, least, most, standard int) int {
	std := float64(standard)
	if standard < least {
		std = math.NaN()
	}
	f := b.Float(name, float64(least), float64(most), std)
	if math.IsNaN(f) {
		return least
	}
	if f != math.Trunc(f) {
		b.AddErrorAt(name, "%s is %v, it must be whole", name, f)
	}
	return int(f)
}

// Text reads a string; must tells that it cannot be absent.
func (b *Block) Text(name string, must bool, standard string) string {
	v, _, ok := b.attribute(name, cty.String)
	if !ok {
		if must && !b.Has(name) {
			b.AddError("%s is missing", name)
		}
		return standard
	}
	return v.AsString()
}

// TextList reads a list of strings.
func (b *Block) TextList(name string) []string {
	b.used[name] = true
	a := b.body.Attributes[name]
	if a == nil {
		return nil
	}
	v, diags := a.Expr.Value(nil)
	b.file.diagnostics = append(b.file.diagnostics, diags...)
	if diags.HasErrors() {
		return nil
	}
	var all []string
	if !v.CanIterateElements() {
		b.AddErrorAt(name, "%s must be a list of strings", name)
		return nil
	}
	for _, e := range v.AsValueSlice() {
		if e.Type() != cty.String || e.IsNull() {
			b.AddErrorAt(name, "%s must be a list of strings", name)
			return nil
		}
		all = append(all, e.AsString())
	}
	return all
}

// OneOf reads a string that must be one of some.
func (b *Block) OneOf(name, standard string, of ...string) string {
	s := b.Text(name, false, standard)
	for _, o := range of {
		if s == o {
			return s
		}
	}
	b.AddErrorAt(name, "%s is %q, it can be %s", name, s, strings.Join(of, ", "))
	return standard
}

// Bool reads true or false.
func (b *Block) Bool(name string, standard bool) bool {
	if v, _, ok := b.attribute(name, cty.Bool); ok {
		return v.True()
	}
	return standard
}

// Duration reads a span of time such as "1.2s"; standard is what holds when it is absent, negative when it must not be.
func (b *Block) Duration(name string, least, most, standard time.Duration) policy.Tenths {
	v, at, ok := b.attribute(name, cty.String)
	d := standard
	if ok {
		var err error
		if d, err = time.ParseDuration(v.AsString()); err != nil {
			b.addDiagnostic(at, "%s is %q, not a span such as \"1.2s\"", name, v.AsString())
			d = least
		} else if d < least || d > most {
			b.addDiagnostic(at, "%s is %v, it can be %v to %v", name, d, least, most)
			d = least
		}
	} else if standard < 0 {
		if !b.Has(name) {
			b.AddError("%s is missing", name)
		}
		d = least
	}
	return policy.Tenths((d + 100*time.Microsecond - 1) / (100 * time.Microsecond))
}

// Address reads a literal address and port; loopback tells that no other may stand there.
func (b *Block) Address(name string, loopback bool) string {
	v, at, ok := b.attribute(name, cty.String)
	if !ok {
		if !b.Has(name) {
			b.AddError("%s is missing", name)
		}
		return ""
	}
	a, err := netip.ParseAddrPort(v.AsString())
	switch {
	case err != nil:
		b.addDiagnostic(at, "%s is %q, not an address with a port such as \"127.0.0.1:2905\"", name, v.AsString())
	case loopback && !a.Addr().IsLoopback():
		b.addDiagnostic(at, "%s is %s, which is not on loopback", name, a)
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
		n := &Block{file: b.file, body: inner.Body, location: inner.DefRange(), used: map[string]bool{}}
		if want := 0; len(inner.Labels) != want && !labelled || labelled && len(inner.Labels) != 1 {
			n.AddError("%s must have %d labels", kind, map[bool]int{true: 1}[labelled])
		}
		if len(inner.Labels) > 0 {
			n.Label = inner.Labels[0]
		}
		all = append(all, n)
	}
	return all
}

// SingleBlock is the one block of a kind; without it an empty one, told missing if it must be there.
func (b *Block) SingleBlock(kind string, must bool) *Block {
	all := b.Blocks(kind, false)
	if len(all) > 1 {
		all[1].AddError("%s stands twice", kind)
	}
	if len(all) > 0 {
		return all[0]
	}
	if must {
		b.AddError("the block %s is missing", kind)
	}
	return &Block{file: b.file, body: &hclsyntax.Body{}, location: b.location, used: map[string]bool{}}
}

// CheckUnknown tells of every name in the block that nothing asked for.
func (b *Block) CheckUnknown() {
	var names []string
	for name := range b.body.Attributes {
		if !b.used[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		b.addDiagnostic(b.body.Attributes[name].NameRange, "%s is not known here", name)
	}
	for _, inner := range b.body.Blocks {
		if !b.used[inner.Type] {
			b.addDiagnostic(inner.DefRange(), "a block %s is not known here", inner.Type)
		}
	}
}
