package event

import "github.com/rs/zerolog"

// Orders of operators and calls of endpoints (400 to 499).
var (
	ConfigurationAcknowledged = define(400, zerolog.InfoLevel, "configuration acknowledged")
	ConfigurationRejected     = define(401, zerolog.InfoLevel, "configuration refused")
	ChangeInDoubt             = define(402, zerolog.WarnLevel, "an operator's order got no clear answer")
	EvacuationAcknowledged    = define(410, zerolog.InfoLevel, "evacuation of a zone or its end acknowledged")
	EndpointRegistered        = define(420, zerolog.InfoLevel, "endpoint registered")
	EndpointClosing           = define(421, zerolog.InfoLevel, "endpoint is closing")
	EndpointDeregistered      = define(422, zerolog.InfoLevel, "endpoint has signed off")
	EndpointNotReplicated     = define(423, zerolog.WarnLevel, "an endpoint's closing reached no other member in time")
	EndpointLost              = define(424, zerolog.InfoLevel, "endpoint was silent for long, or its time is over; it counts as gone")
	EndpointSilent            = define(425, zerolog.DebugLevel, "endpoint is silent")
	EndpointFailing           = define(427, zerolog.InfoLevel, "calls of an endpoint fail at several proxies; little is sent to it for a while")
	EndpointUnreadable        = define(426, zerolog.ErrorLevel, "an endpoint's entry in the spread can't be read or written")
)
