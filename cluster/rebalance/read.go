package rebalance

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// The file as it is written. fleet, site and list are read elsewhere, and so is what else a member has.
type written struct {
	Fleets  []writtenFleet    `hcl:"fleet,block"`
	Sites   []ignored         `hcl:"site,block"`
	Lists   []ignored         `hcl:"list,block"`
	Members []writtenMember   `hcl:"member,block"`
	Leave   []writtenLeave    `hcl:"leave,block"`
	Pin     []writtenPin      `hcl:"pin,block"`
	Apart   []writtenApart    `hcl:"apart,block"`
	Keep    []writtenKeep     `hcl:"keep,block"`
	Alone   []writtenAlone    `hcl:"alone,block"`
	Before  []writtenBefore   `hcl:"before,block"`
	After   []writtenAfter    `hcl:"after,block"`
	Bounds  []writtenBounds   `hcl:"bounds,block"`
	Stop    []writtenStopWhen `hcl:"stop_when,block"`
}

type (
	ignored struct {
		Name string   `hcl:"name,label"`
		Rest hcl.Body `hcl:",remain"`
	}
	writtenFleet struct {
		Name   string    `hcl:"name,label"`
		Ranges int       `hcl:"ranges,optional"`
		At     hcl.Range `hcl:",def_range"`
		Rest   hcl.Body  `hcl:",remain"`
	}
	writtenMember struct {
		Name   string    `hcl:"name,label"`
		Zone   string    `hcl:"zone,optional"`
		Weight *float64  `hcl:"weight,optional"`
		Room   int       `hcl:"room,optional"`
		At     hcl.Range `hcl:",def_range"`
		Rest   hcl.Body  `hcl:",remain"`
	}
	writtenLeave struct {
		Name string    `hcl:"name,label"`
		At   hcl.Range `hcl:",def_range"`
	}
	writtenPin struct {
		Name         string    `hcl:"name,label"`
		Destinations []uint32  `hcl:"destinations,optional"`
		Hashes       []string  `hcl:"hashes,optional"`
		To           string    `hcl:"to"`
		At           hcl.Range `hcl:",def_range"`
	}
	writtenApart struct {
		Name         string    `hcl:"name,label"`
		Destinations []uint32  `hcl:"destinations,optional"`
		Hashes       []string  `hcl:"hashes,optional"`
		By           string    `hcl:"by,optional"`
		At           hcl.Range `hcl:",def_range"`
	}
	writtenKeep struct {
		Name         string    `hcl:"name,label"`
		Destinations []uint32  `hcl:"destinations,optional"`
		Hashes       []string  `hcl:"hashes,optional"`
		Zone         string    `hcl:"zone"`
		At           hcl.Range `hcl:",def_range"`
	}
	writtenAlone struct {
		Name         string    `hcl:"name,label"`
		Destinations []uint32  `hcl:"destinations,optional"`
		Hashes       []string  `hcl:"hashes,optional"`
		At           hcl.Range `hcl:",def_range"`
	}
	writtenBefore struct {
		Name  string    `hcl:"name,label"`
		After []string  `hcl:"after"`
		At    hcl.Range `hcl:",def_range"`
	}
	writtenAfter struct {
		Name   string    `hcl:"name,label"`
		Before []string  `hcl:"before"`
		At     hcl.Range `hcl:",def_range"`
	}
	writtenBounds struct {
		MovesAtOnce *int      `hcl:"moves_at_once,optional"`
		PerMember   *int      `hcl:"per_member,optional"`
		PerZone     *int      `hcl:"per_zone,optional"`
		Value       *float64  `hcl:"value_under_way,optional"`
		Pause       string    `hcl:"pause,optional"`
		At          hcl.Range `hcl:",def_range"`
	}
	writtenStopWhen struct {
		Rejected     *float64  `hcl:"rejected,optional"`
		DeadLettered *float64  `hcl:"dead_lettered,optional"`
		Late         *float64  `hcl:"late,optional"`
		Sick         bool      `hcl:"sick,optional"`
		At           hcl.Range `hcl:",def_range"`
	}
)

// What a file can make a keeper hold and a parser descend into.
const (
	mostBytes   = 1 << 19
	deepest     = 64
	mostRanges  = 1 << 16
	mostMembers = 1 << 12
)

// ParseFile reads the plan's blocks of an operator file; name is what errors call it. An error is one line with
// file, line and what it may be. What contradicts itself whatever the map is refused here, the rest by Make.
func ParseFile(text []byte, name string) (*File, error) {
	if err := readable(text, name); err != nil {
		return nil, err
	}
	parsed, bad := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if bad.HasErrors() {
		return nil, oneLine(bad, name)
	}
	var w written
	if bad := gohcl.DecodeBody(parsed.Body, nil, &w); bad.HasErrors() {
		return nil, oneLine(bad, name)
	}
	f := &File{Name: name}
	for _, part := range []func(*written) error{f.members, f.rules, f.bounds, f.stopWhen, f.turns} {
		if err := part(&w); err != nil {
			return nil, err
		}
	}
	return f, f.check()
}

// readable guards the parser, which descends into itself bracket by bracket.
func readable(text []byte, name string) error {
	if len(text) > mostBytes {
		return fmt.Errorf("%s:1: %d bytes; it may have %d", name, len(text), mostBytes)
	}
	depth := 0
	tokens, _ := hclsyntax.LexConfig(text, name, hcl.InitialPos)
	for _, t := range tokens {
		switch t.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen, hclsyntax.TokenTemplateInterp,
			hclsyntax.TokenTemplateControl:
			depth++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd:
			depth--
		}
		if depth > deepest {
			return fmt.Errorf("%s:%d: brackets within brackets; they may be %d deep", name, t.Range.Start.Line,
				deepest)
		}
	}
	return nil
}

func oneLine(bad hcl.Diagnostics, name string) error {
	for _, d := range bad {
		if d.Severity == hcl.DiagError && d.Subject != nil {
			what := strings.Join(strings.Fields(d.Summary+": "+d.Detail), " ")
			return fmt.Errorf("%s:%d: %s", name, d.Subject.Start.Line, what)
		}
	}
	return fmt.Errorf("%s:1: %s", name, strings.Join(strings.Fields(bad.Error()), " "))
}

func (f *File) at(line int, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s", f.Name, line, fmt.Sprintf(format, args...))
}
