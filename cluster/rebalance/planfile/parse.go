package planfile

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Limits on what a file can make a raft node store and a parser descend into.
const (
	MaxBytes   = 1 << 19 // of a file
	MaxRanges  = 1 << 16 // of a map
	maxNesting = 64      // of brackets
	maxMembers = 1 << 12
)

// Parse reads the plan's blocks of an operator file; name names it in errors. An error is one line with the file, the
// line and what may stand there. Parse rejects what contradicts itself for every map of ranges; the planner rejects
// the rest.
func Parse(text []byte, name string) (*File, error) {
	if err := checkSize(text, name); err != nil {
		return nil, err
	}
	parsed, diagnostics := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if diagnostics.HasErrors() {
		return nil, oneLineError(diagnostics, name)
	}
	var source hclFile
	if diagnostics := gohcl.DecodeBody(parsed.Body, nil, &source); diagnostics.HasErrors() {
		return nil, oneLineError(diagnostics, name)
	}
	f := &File{Name: name}
	conversions := []func(*hclFile) error{
		f.convertMembers,
		f.convertRules,
		f.convertLimits,
		f.convertStopConditions,
		f.convertPrecedences,
	}
	for _, convert := range conversions {
		if err := convert(&source); err != nil {
			return nil, err
		}
	}
	return f, f.validate()
}

// checkSize rejects what would exhaust the parser's stack, since it recurses for each bracket.
func checkSize(text []byte, name string) error {
	if len(text) > MaxBytes {
		return fmt.Errorf("%s:1: %d bytes; it may have %d", name, len(text), MaxBytes)
	}
	depth := 0
	tokens, _ := hclsyntax.LexConfig(text, name, hcl.InitialPos)
	for _, token := range tokens {
		switch token.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp,
			hclsyntax.TokenTemplateControl:
			depth++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd:
			depth--
		}
		if depth > maxNesting {
			return fmt.Errorf("%s:%d: brackets within brackets; they may be %d deep", name, token.Range.Start.Line,
				maxNesting)
		}
	}
	return nil
}

// oneLineError makes the first error of the diagnostics that has a position an error of one line.
func oneLineError(diagnostics hcl.Diagnostics, name string) error {
	for _, d := range diagnostics {
		if d.Severity == hcl.DiagError && d.Subject != nil {
			return fmt.Errorf("%s:%d: %s", name, d.Subject.Start.Line, joinLines(d.Summary+": "+d.Detail))
		}
	}
	return fmt.Errorf("%s:1: %s", name, joinLines(diagnostics.Error()))
}

func joinLines(text string) string { return strings.Join(strings.Fields(text), " ") }
