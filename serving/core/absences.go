package core

import (
	"slices"
	"time"

	"rowanlink/serving/membership"
	"rowanlink/serving/state"
)

// memberships is what is known of the other members.
type memberships interface {
	Members() []state.Member
	DownMembers() []state.Member
	LeftMembers() []state.Member
}

// absences tells which replicas may be replaced: those at whose address no member lives any more.
type absences struct {
	mesh    memberships
	started time.Time // of this process
	now     func() time.Time
}

// absent tells whether the member at an address is down, has ended by plan, or went so long ago that nobody remembers
// it. A process that has just started knows too little to say the last.
func (a *absences) absent(address string) bool {
	holds := func(member state.Member) bool { return member.Address == address }
	if slices.ContainsFunc(a.mesh.Members(), holds) {
		return false
	}
	return slices.ContainsFunc(a.mesh.DownMembers(), holds) || slices.ContainsFunc(a.mesh.LeftMembers(), holds) ||
		a.now().Sub(a.started) > membership.RetentionPeriod
}

// forgotten tells whether the member at an address went so long ago that nobody remembers it.
func (a *absences) forgotten(address string) bool {
	holds := func(member state.Member) bool { return member.Address == address }
	return a.absent(address) && !slices.ContainsFunc(a.mesh.DownMembers(), holds) &&
		!slices.ContainsFunc(a.mesh.LeftMembers(), holds)
}
