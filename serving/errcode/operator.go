package errcode

import "net/http"

// Answers to operators and endpoints (410 to 449).
var (
	BaseVersionUnreadable = define(410, http.StatusBadRequest, "the version that the configuration builds on is missing or no number")
	RequestTooLarge       = define(411, http.StatusRequestEntityTooLarge, "the body is larger than may be sent")
	RequestIncomplete     = define(412, http.StatusServiceUnavailable, "the body did not come whole")
	ZoneUnknown           = define(413, http.StatusNotFound, "no such zone")
	HeartbeatUnreadable   = define(414, http.StatusBadRequest, "the heartbeat can't be read")
	ChangeInDoubt         = define(415, http.StatusServiceUnavailable, "no majority has answered; the order may or may not be in force")
	NoQuorum              = define(416, http.StatusServiceUnavailable, "no majority has answered; the record can't be read")
	NotReplicated         = define(417, http.StatusServiceUnavailable, "no other member holds the endpoint's word yet")
	ResourceUnknown       = define(418, http.StatusNotFound, "no such resource")
	MemberStopping        = define(419, http.StatusServiceUnavailable, "this member is about to end")
)
