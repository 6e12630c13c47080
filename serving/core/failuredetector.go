package core

import (
	"slices"
	"time"

	"rowanlink/serving/membership"
	"rowanlink/serving/register"
	"rowanlink/serving/state"
)

// memberLister lists the other members by their state; member.Service implements it.
type memberLister interface {
	Members() []state.Member
	DownMembers() []state.Member
	LeftMembers() []state.Member
}

// failureDetector tells the register by the state of the membership which replicas may be replaced.
type failureDetector struct {
	members memberLister
	started time.Time // of this process
	now     func() time.Time
}

var _ register.FailureDetector = (*failureDetector)(nil)

// IsDown reports whether the member at an address is down, has left, or is unknown. An unknown member counts as down
// only once this process has run for longer than membership.RetentionPeriod: before that it may just not have heard of
// the member yet.
func (d *failureDetector) IsDown(address string) bool {
	if hasMemberAt(d.members.Members(), address) {
		return false
	}
	return hasMemberAt(d.members.DownMembers(), address) ||
		hasMemberAt(d.members.LeftMembers(), address) ||
		d.now().Sub(d.started) > membership.RetentionPeriod
}

// IsExpired reports whether the member at an address has been gone for so long that no member remembers it any more.
func (d *failureDetector) IsExpired(address string) bool {
	return d.IsDown(address) &&
		!hasMemberAt(d.members.DownMembers(), address) &&
		!hasMemberAt(d.members.LeftMembers(), address)
}

func hasMemberAt(members []state.Member, address string) bool {
	return slices.ContainsFunc(members, func(member state.Member) bool { return member.Address == address })
}
