package cluster

import (
	"strconv"
	"strings"
)

// Resource is the name of what a lease is held on: a task that only one member may do at a time. Operators may use
// resources besides those defined here.
type Resource string

// LeaseHolder identifies the holder of the lease on a resource, and the grant by its epoch.
type LeaseHolder struct {
	Session SessionID
	Member  MemberID
	Epoch   Epoch
}

// CoordinatorResource is held by the member that coordinates rebalancing.
const CoordinatorResource Resource = "conduct"

// The prefixes of the resources of ranges, sites and planned restarts. They are stored in the replicated log.
const (
	rangeOwnerPrefix = "home/"
	siteSenderPrefix = "site/"
	departurePrefix  = "leave/"
)

// RangeOwnerResource is held by the owner of a range.
func RangeOwnerResource(r RangeID) Resource {
	return rangeOwnerPrefix + Resource(strconv.FormatUint(uint64(r), 10))
}

// SiteSenderResource is held by the member that sends to the relay of a site.
func SiteSenderResource(s SiteID) Resource { return siteSenderPrefix + Resource(s) }

// DepartureSlotResource is held by a member that leaves in a planned restart. The number of slots, counted from 0,
// limits how many members leave at once.
func DepartureSlotResource(slot int) Resource { return departurePrefix + Resource(strconv.Itoa(slot)) }

// OwnedRange returns the range whose owner holds the resource, or false if it is not the resource of a range owner.
func (r Resource) OwnedRange() (RangeID, bool) {
	text, hasPrefix := strings.CutPrefix(string(r), rangeOwnerPrefix)
	id, err := strconv.ParseUint(text, 10, 32)
	return RangeID(id), hasPrefix && err == nil
}
