package event

import "github.com/rs/zerolog"

// Events of agents (800 to 899).
var (
	ProxyStateChanged     = define(800, zerolog.InfoLevel, "state of the proxy changed")
	RecordUpdated         = define(801, zerolog.InfoLevel, "newer record in use")
	AgentEntryUnreadable  = define(802, zerolog.WarnLevel, "a gossiped entry can't be decoded and is ignored")
	AgentSynced           = define(803, zerolog.InfoLevel, "agent is synchronized with the other members")
	LeaveUnacknowledged   = define(804, zerolog.WarnLevel, "no member acknowledged that this member leaves")
	LoadPollerRoleChanged = define(805, zerolog.InfoLevel, "took or released the singleton role of polling the loads of the zone's endpoints")
	RecordUnconfirmed     = define(806, zerolog.WarnLevel, "no majority of the voters has confirmed the record after the start; serving the record that other members sent")
)
