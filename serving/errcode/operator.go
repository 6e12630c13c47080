package errcode

import "net/http"

// Errors of the operators' API and of endpoints' heartbeats (410 to 449).
var (
	BaseVersionUnreadable      = define(410, http.StatusBadRequest, "the base version is missing or not a number")
	RequestTooLarge            = define(411, http.StatusRequestEntityTooLarge, "the request body exceeds the size limit")
	RequestIncomplete          = define(412, http.StatusServiceUnavailable, "the request body is incomplete")
	ZoneUnknown                = define(413, http.StatusNotFound, "unknown zone")
	HeartbeatUnreadable        = define(414, http.StatusBadRequest, "the heartbeat is invalid")
	ChangeInDoubt              = define(415, http.StatusServiceUnavailable, "no majority has answered; the change may or may not be in force")
	NoQuorum                   = define(416, http.StatusServiceUnavailable, "no majority has answered; the record can't be read")
	NotReplicated              = define(417, http.StatusServiceUnavailable, "the endpoint's state isn't replicated to a majority yet")
	ResourceUnknown            = define(418, http.StatusNotFound, "unknown resource")
	RolloutUnreadable          = define(420, http.StatusBadRequest, "the order of a roll-out is invalid")
	RolloutServiceUnknown      = define(421, http.StatusNotFound, "the configuration doesn't name the service of a roll-out")
	RolloutUnknown             = define(422, http.StatusNotFound, "the service has no roll-out")
	RolloutBeforeConfiguration = define(423, http.StatusServiceUnavailable, "there is no configuration yet, so no service to roll out")
	RolloutUnsupported         = define(424, http.StatusServiceUnavailable, "a member runs a release that doesn't know roll-outs")
	MemberStopping             = define(419, http.StatusServiceUnavailable, "this member is shutting down")
)
