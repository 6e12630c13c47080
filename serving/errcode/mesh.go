package errcode

import "net/http"

// The errors of the spread of updates.
var (
	TooFewMembers   = define(300, http.StatusServiceUnavailable, "too few other members are live")
	NotAcknowledged = define(301, http.StatusServiceUnavailable, "too few other members acknowledged in time")
	MeshClosed      = define(302, http.StatusServiceUnavailable, "this member has ended its part in the spread")
)
