package planfile

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Limits on a file, which is stored by the raft nodes and parsed recursively.
const (
	MaxBytes   = 1 << 19 // of a file
	MaxRanges  = 1 << 16 // of a map
	maxNesting = 64      // of brackets
	maxMembers = 1 << 12
)

// Parse parses the plan's blocks of an operator file; name is the file's name in errors. An error is one line of text
// with the file, the line and what is allowed there. Parse rejects contradictions that don't depend on the shard map;
// the planner rejects all others.
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

// checkSize rejects files that are too large or too deeply nested. The parser recurses for each bracket, so that deep
// nesting would exhaust its stack.
func checkSize(text []byte, name string) error {
	if len(text) > MaxBytes {
		return fmt.Errorf("%s:1: the file has %d bytes; the limit is %d", name, len(text), MaxBytes)
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

// oneLineError converts the first of the diagnostics that is an error with a position to a one-line error.
func oneLineError(diagnostics hcl.Diagnostics, name string) error {
	for _, d := range diagnostics {
		if d.Severity == hcl.DiagError && d.Subject != nil {
			return fmt.Errorf("%s:%d: %s", name, d.Subject.Start.Line, joinLines(d.Summary+": "+d.Detail))
		}
	}
	return fmt.Errorf("%s:1: %s", name, joinLines(diagnostics.Error()))
}

func joinLines(text string) string { return strings.Join(strings.Fields(text), " ") }
