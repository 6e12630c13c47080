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
	Name     string // what errors call it
	Ranges   int    // of the first map; 0: not said
	Members  []Member
	Rules    []Rule
	Turns    []Turn
	Bounds   Bounds
	StopWhen StopWhen
}

// Member is one process: Weight is its part of the ranges, Room how many it has at the most (0: no bound).
type Member struct {
	ID     cluster.MemberID
	Zone   string
	Weight float64
	Room   int
	Line   int
}

// Kind is what a rule asks.
type Kind uint8

const (
	Leave Kind = iota + 1 // Member shall have no range
	Pin                   // these on Member
	Apart                 // no two of these on one member, or in one zone
	Keep                  // these in Zone
	Alone                 // these on Member, and nothing else there
)

func (k Kind) String() string { return [...]string{"", "leave", "pin", "apart", "keep", "alone"}[k] }

// Rule is one block that says where ranges shall be. Names are unlike in all rules.
type Rule struct {
	Kind   Kind
	Name   string
	Line   int
	Of     Keys
	Member cluster.MemberID
	Zone   string
	ByZone bool // Apart
}

// Keys says which ranges a rule is about: those that one of the destinations or a hash of the span lies in.
type Keys struct {
	Destinations []api.DestinationID
	Span         bool
	From, To     cluster.KeyHash // both belong to it
}

// Turn says that what moves by rule First is through before anything moves by rule Then. Both are indexes.
type Turn struct {
	First, Then int
	Line        int
}

// Bounds is how much may be under way; 0 is no bound, but MovesAtOnce is 1 or more.
type Bounds struct {
	MovesAtOnce int
	PerMember   int     // moves that a member takes part in, on either side
	PerZone     int     // moves with a side in a zone
	Value       float64 // of what was delivered in the ranges under way, as Seen.Value tells it
	Pause       api.Micros
	Line        int
}

// StopWhen is the harm at which the plan stops: shares of what ended in the ranges under way, over what was
// usual there before. Below 0: it doesn't stop for it.
type StopWhen struct {
	Rejected, DeadLettered, Late float64
	Sick                         bool // a destination went sick
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
func (f *File) leaves(id cluster.MemberID) *Rule { return f.about(Leave, id) }

func (f *File) about(kind Kind, id cluster.MemberID) *Rule {
	for i := range f.Rules {
		if r := &f.Rules[i]; r.Kind == kind && r.Member == id {
			return r
		}
	}
	return nil
}
