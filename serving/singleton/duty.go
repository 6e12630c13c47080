// Package singleton finds which member does a job that only one may do at a time. The first live member in an order
// that all agree on holds the duty, under an epoch that grows with each change of the holder. Two members may
// think for a moment that a duty is theirs; those who take their orders refuse epochs below the highest they know.
// The package does no input or output: time is passed in.
package singleton

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rowanlink/serving/state"
)

// settleSpan is how long a member must have been first in the order before it takes a duty from a live holder.
const settleSpan = time.Second

// Scope says among which members a duty is held. Empty fields do not restrict.
type Scope struct {
	Role   state.Role
	Zone   string
	Region string
}

// includes tells whether a member may hold duties of the scope.
func (s Scope) includes(member state.Member) bool {
	return (s.Role == 0 || s.Role == member.Role) &&
		(s.Zone == "" || s.Zone == member.Zone) &&
		(s.Region == "" || s.Region == member.Region)
}

// Claim is a member's word that it holds a duty from now on.
type Claim struct {
	Role   string `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
	Epoch  uint64 `cbor:"3,keyasint"`
}

// Assignment is who holds a duty.
type Assignment struct {
	Holder string // empty: nobody yet
	Epoch  uint64
	Local  bool // the own process may do the duty under Epoch
}

// epochStep leaves the lower bits of an epoch to a hash of the holder's name, so that two members that claim a
// duty at once do so under different epochs.
const epochStep = 1 << 32

// Table knows all claims. It is for one goroutine.
type Table struct {
	self   string
	claims map[string]Claim
	first  map[string]time.Time // since when the own process is first in the order of a duty
}

// New makes a table for a member.
func New(self string) *Table {
	return &Table{self: self, claims: map[string]Claim{}, first: map[string]time.Time{}}
}

// Merge takes in a claim that came by the spread.
func (t *Table) Merge(claim Claim) {
	if known, ok := t.claims[claim.Role]; !ok || known.Epoch < claim.Epoch {
		t.claims[claim.Role] = claim
	}
}

// AdmitsEpoch tells whether an order given under an epoch of a duty is to be followed.
func (t *Table) AdmitsEpoch(duty string, epoch uint64) bool { return epoch >= t.claims[duty].Epoch }

// Claims returns the newest claim of every duty, in no order.
func (t *Table) Claims() []Claim {
	claims := make([]Claim, 0, len(t.claims))
	for _, claim := range t.claims {
		claims = append(claims, claim)
	}
	return claims
}

// Acquire returns who holds a duty. Where the own process is to take it, the claim that it makes is returned too and
// must be spread.
func (t *Table) Acquire(now time.Time, duty string, scope Scope, live []state.Member) (Assignment, *Claim) {
	first, holderLives := t.order(duty, scope, live)
	if first != t.self {
		delete(t.first, duty)
		return t.holding(duty, holderLives), nil
	}
	if t.claims[duty].Holder == t.self {
		return t.holding(duty, true), nil
	}
	since, known := t.first[duty]
	if !known {
		since = now
		t.first[duty] = now
	}
	if holderLives && now.Sub(since) < settleSpan {
		return t.holding(duty, true), nil
	}
	claim := Claim{Role: duty, Holder: t.self, Epoch: t.nextEpoch(duty)}
	t.claims[duty] = claim
	return t.holding(duty, true), &claim
}

// order returns the first live member for a duty and whether the present holder is still a candidate.
func (t *Table) order(duty string, scope Scope, live []state.Member) (first string, holderLives bool) {
	var highest uint64
	holder := t.claims[duty].Holder
	for _, member := range live {
		if !scope.includes(member) || member.State == state.MemberLeaving || member.State == state.MemberLeft {
			continue
		}
		holderLives = holderLives || member.Name == holder
		rank := xxhash.Sum64String(duty + "\x00" + member.Name)
		if first == "" || rank > highest || rank == highest && member.Name < first {
			first, highest = member.Name, rank
		}
	}
	return first, holderLives
}

// holding reports the newest claim.
func (t *Table) holding(duty string, holderLives bool) Assignment {
	claim := t.claims[duty]
	if !holderLives {
		return Assignment{Epoch: claim.Epoch}
	}
	return Assignment{Holder: claim.Holder, Epoch: claim.Epoch, Local: claim.Holder == t.self}
}

// nextEpoch is above every epoch known of the duty.
func (t *Table) nextEpoch(duty string) uint64 {
	number := t.claims[duty].Epoch/epochStep + 1
	return number*epochStep + xxhash.Sum64String(t.self)%epochStep
}
