// Package config reads the operator file's members, terms, sites and lists. It reads bytes, not files, and
// leaves the plan's blocks to cluster/rebalance.
package config

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// What holds where the file says nothing, and what is taken.
const (
	usualTerm   = 3 * time.Second
	usualApart  = 0.05
	usualRanges = 64
	leastTerm   = 100 * time.Millisecond
	mostTerm    = time.Minute
	mostRanges  = 1 << 16
	mostApart   = 0.3 // beyond it the holder's part of a term is less than half
)

// File is what the operator says of the fleet.
type File struct {
	Name          string
	LeaseTTL      api.Micros
	MaxClockDrift float64 // two clocks differ in rate by so much at the most
	InitialRanges int     // at the first start
	MaxDeparting  int     // members that may leave at once in a planned restart
	Members       []Member
	Sites         []Site
	Lists         []List
}

// Member is one of the fleet's processes. Says and Log are host:port; Log is empty for those that keep no
// copy of the log. Room is ranges at the most, 0: no bound. Relay: it serves a site and takes no clients'
// part.
type Member struct {
	ID          cluster.MemberID
	Address     string
	RaftAddress string
	Zone        string
	Weight      float64
	MaxRanges   int
}

// Site is where subscribers stand behind one relay.
type Site struct {
	ID          cluster.SiteID
	Relay       cluster.MemberID
	Subscribers []api.DestinationID
}

// List names the subscribers that an announcement goes to.
type List struct {
	ID          cluster.ListID
	Subscribers []api.DestinationID
}

// raw is the file as it is written. What is not named here is the plan's.
type raw struct {
	Fleet   []rawFleet  `hcl:"fleet,block"`
	Members []rawMember `hcl:"member,block"`
	Sites   []rawSite   `hcl:"site,block"`
	Lists   []rawList   `hcl:"list,block"`
	Rest    hcl.Body    `hcl:",remain"`
}

type rawFleet struct {
	Name    string    `hcl:"name,label"`
	Term    string    `hcl:"term,optional"`
	Apart   *float64  `hcl:"clocks_apart,optional"`
	Ranges  *int      `hcl:"ranges,optional"`
	Leaving *int      `hcl:"leaving_at_once,optional"`
	At      hcl.Range `hcl:",def_range"`
}

type rawMember struct {
	ID     string    `hcl:"name,label"`
	Says   string    `hcl:"says"`
	Log    string    `hcl:"log,optional"`
	Zone   string    `hcl:"zone,optional"`
	Weight *float64  `hcl:"weight,optional"`
	Room   int       `hcl:"room,optional"`
	At     hcl.Range `hcl:",def_range"`
}

type rawSite struct {
	ID          string    `hcl:"name,label"`
	Relay       string    `hcl:"relay"`
	Subscribers []uint32  `hcl:"subscribers"`
	At          hcl.Range `hcl:",def_range"`
}

type rawList struct {
	ID          string    `hcl:"name,label"`
	Subscribers []uint32  `hcl:"subscribers"`
	At          hcl.Range `hcl:",def_range"`
}

// Parse reads the file; name is what errors call it. An error is one line with file, line and what it may be.
func Parse(text []byte, name string) (File, error) {
	parsed, bad := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if bad.HasErrors() {
		return File{}, oneLine(bad)
	}
	var r raw
	if bad := gohcl.DecodeBody(parsed.Body, nil, &r); bad.HasErrors() {
		return File{}, oneLine(bad)
	}
	if len(r.Fleet) != 1 {
		return File{}, fmt.Errorf("%s: %d blocks fleet \"NAME\" { }: there has to be one", name, len(r.Fleet))
	}
	f := File{}
	for _, step := range []func(raw) error{f.terms, f.members, f.sites, f.lists} {
		if err := step(r); err != nil {
			return File{}, err
		}
	}
	return f, nil
}

func oneLine(bad hcl.Diagnostics) error {
	for _, d := range bad {
		if d.Severity == hcl.DiagError && d.Subject != nil {
			what := strings.Join(strings.Fields(d.Summary+": "+d.Detail), " ")
			return fmt.Errorf("%s:%d: %s", d.Subject.Filename, d.Subject.Start.Line, what)
		}
	}
	return bad
}

func at(where hcl.Range, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s", where.Filename, where.Start.Line, fmt.Sprintf(format, args...))
}

func (f *File) terms(r raw) error {
	b := r.Fleet[0]
	f.Name, f.MaxClockDrift, f.InitialRanges, f.MaxDeparting = b.Name, usualApart, usualRanges, 1
	term := usualTerm
	if b.Term != "" {
		var err error
		if term, err = time.ParseDuration(b.Term); err != nil || term < leastTerm || term > mostTerm {
			return at(b.At, "term is %q: a time from %s to %s, as in \"3s\"", b.Term, leastTerm, mostTerm)
		}
	}
	f.LeaseTTL = api.Micros(term.Microseconds())
	if b.Apart != nil {
		f.MaxClockDrift = *b.Apart
	}
	if !(f.MaxClockDrift >= 0 && f.MaxClockDrift <= mostApart) {
		return at(b.At, "clocks_apart is %g: a share from 0 to %g", f.MaxClockDrift, mostApart)
	}
	if b.Ranges != nil {
		f.InitialRanges = *b.Ranges
	}
	if f.InitialRanges < 1 || f.InitialRanges > mostRanges {
		return at(b.At, "ranges is %d: from 1 to %d", f.InitialRanges, mostRanges)
	}
	if b.Leaving != nil {
		f.MaxDeparting = *b.Leaving
	}
	if f.MaxDeparting < 1 {
		return at(b.At, "leaving_at_once is %d: 1 or more", f.MaxDeparting)
	}
	return nil
}

func (f *File) members(r raw) error {
	seen, keepers := map[string]hcl.Range{}, 0
	take := func(text string, where hcl.Range) error {
		if was, ok := seen[text]; ok {
			return at(where, "%s stands in line %d already: it has to be one member's", text, was.Start.Line)
		}
		seen[text] = where
		return nil
	}
	for _, m := range r.Members {
		weight := 1.0
		if m.Weight != nil {
			weight = *m.Weight
		}
		if m.ID == "" || !(weight >= 0 && weight <= 1e6) || m.Room < 0 {
			return at(m.At, "member %q: a name, weight from 0 to 1e6 and room from 0 (no bound) are taken", m.ID)
		}
		if err := take("member "+m.ID, m.At); err != nil {
			return err
		}
		for _, addr := range []string{m.Says, m.Log} {
			if addr == "" && m.Says != "" {
				continue
			}
			if _, _, err := net.SplitHostPort(addr); err != nil {
				return at(m.At, "member %q: %q is no host:port", m.ID, addr)
			}
			if err := take("address "+addr, m.At); err != nil {
				return err
			}
		}
		if m.Log != "" {
			keepers++
		}
		f.Members = append(f.Members, Member{cluster.MemberID(m.ID), m.Says, m.Log, m.Zone, weight, m.Room})
	}
	if keepers != 1 && keepers != 3 && keepers != 5 {
		return at(r.Fleet[0].At, "%d members have an address log: three or five keep the log (one: to try it)",
			keepers)
	}
	return nil
}

// Member finds one by its name.
func (f *File) Member(id cluster.MemberID) (Member, bool) {
	i := slices.IndexFunc(f.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return f.Members[i], true
}
