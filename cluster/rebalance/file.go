// Package rebalance holds the plan language, the planner that orders moves of key ranges by it, what the log keeps
// of a running plan, and which of its moves may start. The file states what shall be; the steps are found
// here. docs/cluster.md, "The plan language", has the argument.
package rebalance

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// File is what the operator file says of the plan. Lists stand in the order in which the file has them.
type File struct {
	Name           string // what errors call it
	Ranges         int    // of the first map; 0: not said
	Members        []Member
	Rules          []Rule
	Precedences    []Precedence
	Limits         Limits
	StopConditions StopConditions
}

// Member is one process: Weight is its part of the ranges, Room how many it has at the most (0: no bound).
type Member struct {
	ID       cluster.MemberID
	Zone     string
	Weight   float64
	Capacity int
	Line     int
}

// RuleKind is what a rule asks.
type RuleKind uint8

const (
	Drain        RuleKind = iota + 1 // Member shall have no range
	Pin                              // these on Member
	AntiAffinity                     // no two of these on one member, or in one zone
	ZoneAffinity                     // these in Zone
	Dedicated                        // these on Member, and nothing else there
)

func (k RuleKind) String() string {
	return [...]string{"", "leave", "pin", "apart", "keep", "alone"}[k]
}

// Rule is one block that says where ranges shall be. Names are unlike in all rules.
type Rule struct {
	Kind     RuleKind
	Name     string
	Line     int
	Selector KeySelector
	Member   cluster.MemberID
	Zone     string
	ByZone   bool // Apart
}

// KeySelector says which ranges a rule is about: those that one of the destinations or a hash of the span lies in.
type KeySelector struct {
	Destinations        []api.DestinationID
	HasHashes           bool
	FirstHash, LastHash cluster.KeyHash // both belong to it
}

// Precedence says that what moves by rule First is through before anything moves by rule Then. Both are indexes.
type Precedence struct {
	First, Then int
	Line        int
}

// Limits is how much may be under way; 0 is no bound, but ConcurrentMoves is 1 or more.
type Limits struct {
	ConcurrentMoves int
	MovesPerMember  int     // moves that a member takes part in, on either side
	MovesPerZone    int     // moves with a side in a zone
	ValueInFlight   float64 // of what was delivered in the ranges under way, as Seen.Value tells it
	Cooldown        api.Micros
	Line            int
}

// StopConditions is the harm at which the plan stops: shares of what ended in the ranges under way, over what was
// usual there before. Below 0: it doesn't stop for it.
type StopConditions struct {
	Rejected, DeadLettered, Late float64
	Unhealthy                    bool // a destination went sick
	Line                         int
}

func (f *File) member(id cluster.MemberID) *Member {
	for i := range f.Members {
		if f.Members[i].ID == id {
			return &f.Members[i]
		}
	}
	return nil
}

// leaves finds the rule by which a member leaves.
func (f *File) leaves(id cluster.MemberID) *Rule { return f.about(Drain, id) }

func (f *File) about(kind RuleKind, id cluster.MemberID) *Rule {
	for i := range f.Rules {
		if r := &f.Rules[i]; r.Kind == kind && r.Member == id {
			return r
		}
	}
	return nil
}
