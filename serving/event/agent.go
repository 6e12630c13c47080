package event

import "github.com/rs/zerolog"

// Events of the agent.
var (
	ProxyStateChanged     = define(800, zerolog.InfoLevel, "state of the proxy has changed")
	RecordUpdated         = define(801, zerolog.InfoLevel, "newer record in use")
	AgentEntryUnreadable  = define(802, zerolog.WarnLevel, "entry from the mesh can't be read and is ignored")
	AgentSynced           = define(803, zerolog.InfoLevel, "agent has caught up with the mesh")
	LeaveUnacknowledged   = define(804, zerolog.WarnLevel, "no member could be told that this one has left")
	LoadPollerRoleChanged = define(805, zerolog.InfoLevel, "duty of reading the loads of the zone's endpoints taken or given up")
	RecordUnconfirmed     = define(806, zerolog.WarnLevel, "no majority of the voters has confirmed the record after the start; serving with what other members told")
)
