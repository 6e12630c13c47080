package errcode

import "net/http"

// Errors of replication by gossip (300 to 399).
var (
	TooFewMembers    = define(300, http.StatusServiceUnavailable, "too few other members are live")
	NotAcknowledged  = define(301, http.StatusServiceUnavailable, "too few other members acknowledged in time")
	NotPersisted     = define(303, http.StatusServiceUnavailable, "the disk hasn't confirmed the entries")
	NotApplied       = define(304, http.StatusServiceUnavailable, "the process hasn't applied the entries in time")
	MembershipClosed = define(302, http.StatusServiceUnavailable, "this member has left the membership")
)
