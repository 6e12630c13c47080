// Package singleton assigns singleton roles: tasks that one member at a time performs, such as polling the loads of a
// zone. The live member that ranks first by rendezvous hashing (Thaler and Ravishankar, 1998) claims the role under an
// epoch above all known ones, and the claims are gossiped. For a moment two members may both believe that they hold a
// role. The epoch is therefore a fencing token: members that execute the holder's orders reject epochs below the highest
// one that they know. The package does no I/O: times are arguments.
package singleton

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rowanlink/serving/state"
)

// takeoverDelay is how long a member must have been the first candidate before it takes over a role from a live holder.
const takeoverDelay = time.Second

// Scope restricts the members that may hold a role. An empty field matches every member.
type Scope struct {
	Role   state.Role // the member's role in the system, such as state.RoleCore
	Zone   string
	Region string
}

// matches reports whether a member may hold roles of the scope.
func (s Scope) matches(member state.Member) bool {
	return (s.Role == 0 || s.Role == member.Role) &&
		(s.Zone == "" || s.Zone == member.Zone) &&
		(s.Region == "" || s.Region == member.Region)
}

// Claim is a member's statement that it holds a role. A claim of the same role with a higher epoch supersedes it.
type Claim struct {
	Role   string `cbor:"1,keyasint"` // name of the singleton role
	Holder string `cbor:"2,keyasint"`
	Epoch  uint64 `cbor:"3,keyasint"`
}

// Assignment is the current holder of a role.
type Assignment struct {
	Holder string // empty: none yet
	Epoch  uint64
	Local  bool // the local member holds the role and may issue orders under Epoch
}

// epochStep divides an epoch into a number, which increases with each claim, and a hash of the holder's name in the lower
// bits. Because of the hash, two members that claim a role at the same time do so under different epochs.
const epochStep = 1 << 32

// Table holds the newest claim of each role that one member knows. It is not safe for concurrent use.
type Table struct {
	self        string // name of the local member
	claimByRole map[string]Claim
	firstSince  map[string]time.Time // since when the local member is the first candidate, by role
}

// New returns an empty table for the member with the name self.
func New(self string) *Table {
	return &Table{
		self:        self,
		claimByRole: map[string]Claim{},
		firstSince:  map[string]time.Time{},
	}
}

// Merge stores a claim that arrived by gossip if its epoch is higher than that of the known claim.
func (t *Table) Merge(claim Claim) {
	if known, ok := t.claimByRole[claim.Role]; !ok || known.Epoch < claim.Epoch {
		t.claimByRole[claim.Role] = claim
	}
}

// AdmitsEpoch reports whether an order that the holder of a role issued under an epoch may be executed.
func (t *Table) AdmitsEpoch(role string, epoch uint64) bool {
	return epoch >= t.claimByRole[role].Epoch
}

// Claims returns the newest claim of each role, in no order.
func (t *Table) Claims() []Claim {
	claims := make([]Claim, 0, len(t.claimByRole))
	for _, claim := range t.claimByRole {
		claims = append(claims, claim)
	}
	return claims
}

// Acquire returns the holder of a role among the live members, and takes the role for the local member if that is due. It
// then also returns the new claim, which the caller gossips.
func (t *Table) Acquire(now time.Time, role string, scope Scope, live []state.Member) (Assignment, *Claim) {
	first, holderIsCandidate := t.firstCandidate(role, scope, live)
	if first != t.self {
		delete(t.firstSince, role)
		return t.assignment(role, holderIsCandidate), nil
	}
	if t.claimByRole[role].Holder == t.self {
		return t.assignment(role, true), nil
	}
	since, known := t.firstSince[role]
	if !known {
		since = now
		t.firstSince[role] = now
	}
	if holderIsCandidate && now.Sub(since) < takeoverDelay {
		return t.assignment(role, true), nil
	}
	claim := Claim{
		Role:   role,
		Holder: t.self,
		Epoch:  t.nextEpoch(role),
	}
	t.claimByRole[role] = claim
	return t.assignment(role, true), &claim
}

// firstCandidate returns the live member with the highest rank for a role, and whether the current holder is still a
// candidate. Members that are leaving or have left are no candidates.
func (t *Table) firstCandidate(role string, scope Scope, live []state.Member) (first string, holderIsCandidate bool) {
	var highest uint64
	holder := t.claimByRole[role].Holder
	for _, member := range live {
		isEnding := member.State == state.MemberLeaving || member.State == state.MemberLeft
		if isEnding || !scope.matches(member) {
			continue
		}
		holderIsCandidate = holderIsCandidate || member.Name == holder
		rank := xxhash.Sum64String(role + "\x00" + member.Name)
		if first == "" || rank > highest || rank == highest && member.Name < first {
			first = member.Name
			highest = rank
		}
	}
	return first, holderIsCandidate
}

// assignment returns the assignment that follows from the newest claim of a role. It has no holder if the member that made
// the claim is no longer a candidate.
func (t *Table) assignment(role string, holderIsCandidate bool) Assignment {
	claim := t.claimByRole[role]
	if !holderIsCandidate {
		return Assignment{Epoch: claim.Epoch}
	}
	return Assignment{
		Holder: claim.Holder,
		Epoch:  claim.Epoch,
		Local:  claim.Holder == t.self,
	}
}

// nextEpoch returns an epoch for a claim by the local member that is above all known epochs of the role.
func (t *Table) nextEpoch(role string) uint64 {
	number := t.claimByRole[role].Epoch/epochStep + 1
	return number*epochStep + xxhash.Sum64String(t.self)%epochStep
}
