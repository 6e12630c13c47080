// Package planfile implements the plan language: the blocks of the cluster's operator file (HCL) that state the members
// of the cluster and the rules for the placement of key ranges on them. It parses and validates a file without knowing
// the shard map; package rebalance computes the steps. docs/cluster.md, "The plan language", has the reasons for the
// language.
package planfile

import (
	"fmt"
	"strings"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// File is the plan part of an operator file. Members are in the file's order; rules and precedences are sorted by line.
type File struct {
	Name           string // name of the file, for errors
	Ranges         int    // number of ranges of the initial map; 0: not stated
	Members        []Member
	Rules          []Rule
	Precedences    []Precedence
	Limits         Limits
	StopConditions StopConditions
}

// Member is one process of the cluster.
type Member struct {
	ID       cluster.MemberID
	Zone     string
	Weight   float64 // its share of the ranges, relative to the other members' weights
	Capacity int     // the most ranges that it may own; 0: unlimited
	Line     int
}

// RuleKind tells what a rule requires.
type RuleKind uint8

// The kinds of rules. Their keywords in the file are the strings that String returns.
const (
	Drain        RuleKind = iota + 1 // Rule.Member owns no range
	Pin                              // the selected ranges are on Rule.Member
	AntiAffinity                     // no two of the selected ranges are on one member, or in one zone
	ZoneAffinity                     // the selected ranges are in Rule.Zone
	Dedicated                        // the selected ranges are on Rule.Member, and it owns nothing else
)

// String returns the keyword of the kind's block.
func (k RuleKind) String() string {
	return [...]string{"", "leave", "pin", "apart", "keep", "alone"}[k]
}

// Rule is one block that constrains the placement of ranges. Rule names are unique in a file.
type Rule struct {
	Kind     RuleKind
	Name     string
	Line     int
	Selector KeySelector
	Member   cluster.MemberID // Drain, Pin, Dedicated
	Zone     string           // ZoneAffinity
	ByZone   bool             // AntiAffinity: no two in one zone, rather than on one member
}

// KeySelector selects the ranges that a rule applies to: those that contain one of the destinations, and those that
// intersect the interval of hashes.
type KeySelector struct {
	Destinations        []api.DestinationID
	HasHashes           bool
	FirstHash, LastHash cluster.KeyHash // inclusive
}

// Precedence requires that all moves by the rule First are done before any move by the rule Then starts. Both are
// indexes of File.Rules.
type Precedence struct {
	First, Then int
	Line        int
}

// Limits bounds the moves in flight at the same time. 0 means no limit; ConcurrentMoves is at least 1.
type Limits struct {
	ConcurrentMoves int
	MovesPerMember  int        // moves with one member as source or target
	MovesPerZone    int        // moves with their source or target in one zone
	ValueInFlight   float64    // value of the webhooks delivered in the ranges that move
	Cooldown        api.Micros // minimum time between the end of a move and the start of the next
	Line            int        // 0: the file states no limits
}

// StopConditions is the degradation at which the plan stops. Rejected, DeadLettered and Late limit the share of
// webhooks with that outcome in the ranges that move: how far it may rise above the share there before the moves. A
// limit below 0 is not checked.
type StopConditions struct {
	Rejected, DeadLettered, Late float64
	Unhealthy                    bool // stop when a destination becomes unhealthy
	Line                         int  // 0: the file states no conditions
}

// FindMember returns the member with an ID, or nil.
func (f *File) FindMember(id cluster.MemberID) *Member {
	for i := range f.Members {
		if f.Members[i].ID == id {
			return &f.Members[i]
		}
	}
	return nil
}

// FindDrain returns the rule that drains a member, or nil.
func (f *File) FindDrain(id cluster.MemberID) *Rule { return f.FindRule(Drain, id) }

// FindRule returns the first rule of a kind for a member, or nil.
func (f *File) FindRule(kind RuleKind, id cluster.MemberID) *Rule {
	for i := range f.Rules {
		if r := &f.Rules[i]; r.Kind == kind && r.Member == id {
			return r
		}
	}
	return nil
}

// Errorf returns a one-line error that begins with the file's name and a line number.
func (f *File) Errorf(line int, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s", f.Name, line, fmt.Sprintf(format, args...))
}

// JoinSome joins the first few items and states the number of others, so that an error with many items stays readable.
func JoinSome(items []string) string {
	const limit = 8
	if len(items) > limit {
		return strings.Join(items[:limit], ", ") + fmt.Sprintf(" and %d more", len(items)-limit)
	}
	return strings.Join(items, ", ")
}
