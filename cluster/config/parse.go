package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"rowanlink/webhook/api"
)

// The defaults and limits of the cluster's settings.
const (
	defaultLeaseTTL      = 3 * time.Second
	minLeaseTTL          = 100 * time.Millisecond
	maxLeaseTTL          = time.Minute
	defaultMaxClockDrift = 0.05
	maxMaxClockDrift     = 0.3 // with more drift, a lease holder could use less than half of the TTL
	defaultRanges        = 64
	maxRanges            = 1 << 16
	defaultMaxDeparting  = 1
)

// fileBlocks is the operator file as HCL decodes it. Rest has all other blocks, such as those of a rebalance plan.
type fileBlocks struct {
	Clusters []clusterBlock `hcl:"fleet,block"`
	Members  []memberBlock  `hcl:"member,block"`
	Sites    []siteBlock    `hcl:"site,block"`
	Lists    []listBlock    `hcl:"list,block"`
	Rest     hcl.Body       `hcl:",remain"`
}

type clusterBlock struct {
	Name          string    `hcl:"name,label"`
	LeaseTTL      string    `hcl:"term,optional"`
	MaxClockDrift *float64  `hcl:"clocks_apart,optional"`
	Ranges        *int      `hcl:"ranges,optional"`
	MaxDeparting  *int      `hcl:"leaving_at_once,optional"`
	Position      hcl.Range `hcl:",def_range"`
}

// Parse parses an operator file; name is the file's name in errors. An error is a single line with the file, the line
// number and, for a value out of range, the allowed values.
func Parse(text []byte, name string) (File, error) {
	parsed, diagnostics := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if diagnostics.HasErrors() {
		return File{}, firstError(diagnostics)
	}
	var blocks fileBlocks
	if diagnostics := gohcl.DecodeBody(parsed.Body, nil, &blocks); diagnostics.HasErrors() {
		return File{}, firstError(diagnostics)
	}
	if len(blocks.Clusters) != 1 {
		return File{}, fmt.Errorf("%s: %d blocks fleet \"NAME\" { }: there must be exactly one", name, len(blocks.Clusters))
	}
	f := File{}
	for _, parse := range []func(fileBlocks) error{f.parseCluster, f.parseMembers, f.parseSites, f.parseLists} {
		if err := parse(blocks); err != nil {
			return File{}, err
		}
	}
	return f, nil
}

// firstError returns the first error among the diagnostics that has a position, as one line.
func firstError(diagnostics hcl.Diagnostics) error {
	for _, d := range diagnostics {
		if d.Severity == hcl.DiagError && d.Subject != nil {
			text := strings.Join(strings.Fields(d.Summary+": "+d.Detail), " ")
			return fmt.Errorf("%s:%d: %s", d.Subject.Filename, d.Subject.Start.Line, text)
		}
	}
	return diagnostics
}

// errorAt returns an error that begins with the file and line of a position.
func errorAt(position hcl.Range, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s", position.Filename, position.Start.Line, fmt.Sprintf(format, args...))
}

func valueOr[T any](value *T, defaultValue T) T {
	if value == nil {
		return defaultValue
	}
	return *value
}

func (f *File) parseCluster(blocks fileBlocks) error {
	b := blocks.Clusters[0]
	f.Name = b.Name
	ttl := defaultLeaseTTL
	if b.LeaseTTL != "" {
		var err error
		ttl, err = time.ParseDuration(b.LeaseTTL)
		if err != nil || ttl < minLeaseTTL || ttl > maxLeaseTTL {
			return errorAt(b.Position, "term is %q: it must be a duration from %s to %s, such as \"3s\"",
				b.LeaseTTL, minLeaseTTL, maxLeaseTTL)
		}
	}
	f.LeaseTTL = api.Micros(ttl.Microseconds())
	f.MaxClockDrift = valueOr(b.MaxClockDrift, defaultMaxClockDrift)
	if !isBetween(f.MaxClockDrift, 0, maxMaxClockDrift) {
		return errorAt(b.Position, "clocks_apart is %g: it must be a share from 0 to %g", f.MaxClockDrift, maxMaxClockDrift)
	}
	f.InitialRanges = valueOr(b.Ranges, defaultRanges)
	if f.InitialRanges < 1 || f.InitialRanges > maxRanges {
		return errorAt(b.Position, "ranges is %d: it must be from 1 to %d", f.InitialRanges, maxRanges)
	}
	f.MaxDeparting = valueOr(b.MaxDeparting, defaultMaxDeparting)
	if f.MaxDeparting < 1 {
		return errorAt(b.Position, "leaving_at_once is %d: it must be at least 1", f.MaxDeparting)
	}
	return nil
}

// isBetween reports whether a value is within two bounds, inclusive. It is false for a NaN.
func isBetween(value, lowest, highest float64) bool { return value >= lowest && value <= highest }

// parseSubscribers returns the subscribers sorted and without duplicates, so that an announcement goes to each once.
func parseSubscribers(numbers []uint32) (subscribers []api.DestinationID) {
	for _, n := range numbers {
		subscribers = append(subscribers, api.DestinationID(n))
	}
	slices.Sort(subscribers)
	return slices.Compact(subscribers)
}
