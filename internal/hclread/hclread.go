// Package hclread reads HCL files attribute by attribute and collects all errors of a file, each with file, line, column
// and reason. The callers state which attributes and blocks a file may have by reading them.
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

// File collects the errors of one file.
type File struct {
	diagnostics hcl.Diagnostics
}

// Open parses a file and returns its top-level block.
func Open(name string) (*File, *Block, error) {
	src, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, fmt.Errorf("read settings: %w", err)
	}
	file, root := Parse(name, src)
	return file, root, nil
}

// Parse parses the content of a file and returns its top-level block.
func Parse(name string, src []byte) (*File, *Block) {
	file := &File{}
	parsed, diagnostics := hclsyntax.ParseConfig(src, name, hcl.InitialPos)
	file.diagnostics = append(file.diagnostics, diagnostics...)
	root := &Block{file: file, location: hcl.Range{Filename: name, Start: hcl.InitialPos}, used: map[string]bool{}}
	if parsed != nil && !diagnostics.HasErrors() {
		root.body = parsed.Body.(*hclsyntax.Body)
	} else {
		root.body = &hclsyntax.Body{}
	}
	return file, root
}

// Err returns all errors found, one per line, or nil.
func (f *File) Err() error {
	if !f.diagnostics.HasErrors() {
		return nil
	}
	var lines []string
	for _, diagnostic := range f.diagnostics {
		position := ""
		if diagnostic.Subject != nil {
			position = fmt.Sprintf("%s:%d,%d: ", diagnostic.Subject.Filename, diagnostic.Subject.Start.Line, diagnostic.Subject.Start.Column)
		}
		text := diagnostic.Summary
		if diagnostic.Detail != "" {
			text += ": " + diagnostic.Detail
		}
		lines = append(lines, position+text)
	}
	return errors.New(strings.Join(lines, "\n"))
}

// Block is one block of a file. Its names must be read before CheckUnknown, which reports all others.
type Block struct {
	file     *File
	body     *hclsyntax.Body
	location hcl.Range
	used     map[string]bool
	Label    string
}

// AddError adds an error at the position of the block.
func (b *Block) AddError(format string, args ...any) { b.addDiagnostic(b.location, format, args...) }

// AddErrorAt adds an error at the position of an attribute, or of the block without it.
func (b *Block) AddErrorAt(name, format string, args ...any) {
	at := b.location
	if attribute := b.body.Attributes[name]; attribute != nil {
		at = attribute.Expr.Range()
	}
	b.addDiagnostic(at, format, args...)
}

func (b *Block) addDiagnostic(at hcl.Range, format string, args ...any) {
	b.file.diagnostics = append(b.file.diagnostics, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at})
}

func (b *Block) attribute(name string, kind cty.Type) (cty.Value, hcl.Range, bool) {
	b.used[name] = true
	attribute := b.body.Attributes[name]
	if attribute == nil {
		return cty.NilVal, b.location, false
	}
	at := attribute.Expr.Range()
	value, diagnostics := attribute.Expr.Value(nil)
	if diagnostics.HasErrors() {
		b.file.diagnostics = append(b.file.diagnostics, diagnostics...)
		return cty.NilVal, at, false
	}
	if value.IsNull() || !value.IsKnown() || value.Type() != kind {
		b.addDiagnostic(at, "%s must be a %s", name, kind.FriendlyName())
		return cty.NilVal, at, false
	}
	return value, at, true
}

// Has reports whether the block has an attribute.
func (b *Block) Has(name string) bool { return b.body.Attributes[name] != nil }

// Float reads a number within a range. A default of NaN makes the attribute mandatory.
func (b *Block) Float(name string, minimum, maximum, defaultValue float64) float64 {
	v, at, ok := b.attribute(name, cty.Number)
	if !ok {
		if math.IsNaN(defaultValue) && !b.Has(name) {
			b.AddError("%s is missing", name)
		}
		return defaultValue
	}
	f, _ := v.AsBigFloat().Float64()
	if f < minimum || f > maximum {
		b.addDiagnostic(at, "%s is %v, it can be %v to %v", name, f, minimum, maximum)
		return minimum
	}
	return f
}

// Int reads an integer within a range. A default below the minimum makes the attribute mandatory.
func (b *Block) Int(name string, minimum, maximum, defaultValue int) int {
	floatDefault := float64(defaultValue)
	if defaultValue < minimum {
		floatDefault = math.NaN()
	}
	f := b.Float(name, float64(minimum), float64(maximum), floatDefault)
	if math.IsNaN(f) {
		return minimum
	}
	if f != math.Trunc(f) {
		b.AddErrorAt(name, "%s is %v, it must be an integer", name, f)
	}
	return int(f)
}

// Text reads a string.
func (b *Block) Text(name string, required bool, defaultValue string) string {
	v, _, ok := b.attribute(name, cty.String)
	if !ok {
		if required && !b.Has(name) {
			b.AddError("%s is missing", name)
		}
		return defaultValue
	}
	return v.AsString()
}

// TextList reads a list of strings.
func (b *Block) TextList(name string) []string {
	b.used[name] = true
	attribute := b.body.Attributes[name]
	if attribute == nil {
		return nil
	}
	value, diagnostics := attribute.Expr.Value(nil)
	b.file.diagnostics = append(b.file.diagnostics, diagnostics...)
	if diagnostics.HasErrors() {
		return nil
	}
	var texts []string
	if !value.CanIterateElements() {
		b.AddErrorAt(name, "%s must be a list of strings", name)
		return nil
	}
	for _, element := range value.AsValueSlice() {
		if element.Type() != cty.String || element.IsNull() {
			b.AddErrorAt(name, "%s must be a list of strings", name)
			return nil
		}
		texts = append(texts, element.AsString())
	}
	return texts
}

// OneOf reads a string that must be one of the given values.
func (b *Block) OneOf(name, defaultValue string, values ...string) string {
	s := b.Text(name, false, defaultValue)
	for _, value := range values {
		if s == value {
			return s
		}
	}
	b.AddErrorAt(name, "%s is %q, it can be %s", name, s, strings.Join(values, ", "))
	return defaultValue
}

// Bool reads a boolean.
func (b *Block) Bool(name string, defaultValue bool) bool {
	if v, _, ok := b.attribute(name, cty.Bool); ok {
		return v.True()
	}
	return defaultValue
}

// Duration reads a duration such as "1.2s" within a range. A negative default makes the attribute mandatory.
func (b *Block) Duration(name string, minimum, maximum, defaultValue time.Duration) policy.Tenths {
	value, at, ok := b.attribute(name, cty.String)
	d := defaultValue
	if ok {
		var err error
		if d, err = time.ParseDuration(value.AsString()); err != nil {
			b.addDiagnostic(at, "%s is %q, not a span such as \"1.2s\"", name, value.AsString())
			d = minimum
		} else if d < minimum || d > maximum {
			b.addDiagnostic(at, "%s is %v, it can be %v to %v", name, d, minimum, maximum)
			d = minimum
		}
	} else if defaultValue < 0 {
		if !b.Has(name) {
			b.AddError("%s is missing", name)
		}
		d = minimum
	}
	return policy.Tenths((d + 100*time.Microsecond - 1) / (100 * time.Microsecond))
}

// Address reads an IP address with a port. The attribute is mandatory. With loopback, only loopback addresses are valid.
func (b *Block) Address(name string, loopback bool) string {
	v, at, ok := b.attribute(name, cty.String)
	if !ok {
		if !b.Has(name) {
			b.AddError("%s is missing", name)
		}
		return ""
	}
	address, err := netip.ParseAddrPort(v.AsString())
	switch {
	case err != nil:
		b.addDiagnostic(at, "%s is %q, not an address with a port such as \"127.0.0.1:2905\"", name, v.AsString())
	case loopback && !address.Addr().IsLoopback():
		b.addDiagnostic(at, "%s is %s, which is not a loopback address", name, address)
	}
	return v.AsString()
}

// Blocks returns the blocks of a type, which have one label each if labelled, else none.
func (b *Block) Blocks(kind string, labelled bool) []*Block {
	b.used[kind] = true
	var blocks []*Block
	for _, inner := range b.body.Blocks {
		if inner.Type != kind {
			continue
		}
		block := &Block{file: b.file, body: inner.Body, location: inner.DefRange(), used: map[string]bool{}}
		if labels := 0; len(inner.Labels) != labels && !labelled || labelled && len(inner.Labels) != 1 {
			block.AddError("%s must have %d labels", kind, map[bool]int{true: 1}[labelled])
		}
		if len(inner.Labels) > 0 {
			block.Label = inner.Labels[0]
		}
		blocks = append(blocks, block)
	}
	return blocks
}

// SingleBlock returns the only block of a type, or an empty one if there is none.
func (b *Block) SingleBlock(kind string, required bool) *Block {
	blocks := b.Blocks(kind, false)
	if len(blocks) > 1 {
		blocks[1].AddError("block %s is defined twice", kind)
	}
	if len(blocks) > 0 {
		return blocks[0]
	}
	if required {
		b.AddError("block %s is missing", kind)
	}
	return &Block{file: b.file, body: &hclsyntax.Body{}, location: b.location, used: map[string]bool{}}
}

// CheckUnknown adds an error for each name in the block that was not read.
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
			b.addDiagnostic(inner.DefRange(), "block %s is not known here", inner.Type)
		}
	}
}
