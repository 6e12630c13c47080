package event

import "github.com/rs/zerolog"

// Events of the operators' API and of endpoints (400 to 499).
var (
	ConfigurationAcknowledged = define(400, zerolog.InfoLevel, "configuration acknowledged")
	ConfigurationRejected     = define(401, zerolog.InfoLevel, "configuration rejected")
	ChangeInDoubt             = define(402, zerolog.WarnLevel, "outcome of an operator's change is in doubt")
	EvacuationAcknowledged    = define(410, zerolog.InfoLevel, "start or end of a zone's evacuation acknowledged")
	EndpointRegistered        = define(420, zerolog.InfoLevel, "endpoint registered")
	EndpointClosing           = define(421, zerolog.InfoLevel, "endpoint is closing")
	EndpointDeregistered      = define(422, zerolog.InfoLevel, "endpoint deregistered")
	EndpointNotReplicated     = define(423, zerolog.WarnLevel, "an endpoint's closing wasn't replicated to a majority in time")
	EndpointLost              = define(424, zerolog.InfoLevel, "endpoint timed out or its announced removal is due; it counts as departed")
	EndpointUnresponsive      = define(425, zerolog.DebugLevel, "endpoint has missed its heartbeats")
	EndpointFailing           = define(427, zerolog.InfoLevel, "requests to an endpoint fail at several proxies; it gets few requests for a while")
	EndpointReplicated        = define(428, zerolog.InfoLevel, "an endpoint's closing is stored on a majority of disks and applied by the proxies")
	SuccessorRegistered       = define(429, zerolog.InfoLevel, "a new process under the ID of a departed endpoint is registered")
	SuccessorUnconfirmed      = define(430, zerolog.DebugLevel, "a heartbeat of a departed endpoint is ignored: no new process has confirmed that it serves")
	RolloutOrdered            = define(440, zerolog.InfoLevel, "roll-out ordered")
	RolloutAcknowledged       = define(441, zerolog.InfoLevel, "order of a roll-out acknowledged")
	RolloutRejected           = define(442, zerolog.WarnLevel, "order of a roll-out rejected")
	ResourceUnknown           = define(431, zerolog.WarnLevel, "request for a resource that this member doesn't serve; answered with 404")
	EndpointUnreadable        = define(426, zerolog.ErrorLevel, "an endpoint's gossiped entry can't be decoded or encoded")
)
