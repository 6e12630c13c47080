package cluster

import (
	"strconv"
	"strings"
)

// Resource names what a lease is held on: something that only one member may do at a time. Operators may name
// resources of their own besides those defined here.
type Resource string

// LeaseHolder says who holds the lease on a resource, and by which grant.
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

// DepartureSlotResource is one of the slots, counted from 0, that limit how many members leave at once in a
// planned restart.
func DepartureSlotResource(slot int) Resource { return departurePrefix + Resource(strconv.Itoa(slot)) }

// OwnedRange is the range whose owner holds the resource; false for any other resource.
func (r Resource) OwnedRange() (RangeID, bool) {
	text, hasPrefix := strings.CutPrefix(string(r), rangeOwnerPrefix)
	id, err := strconv.ParseUint(text, 10, 32)
	return RangeID(id), hasPrefix && err == nil
}
