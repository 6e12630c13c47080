package event

import "github.com/rs/zerolog"

// Events of core processes.
var (
	RecordUnreadable  = define(900, zerolog.ErrorLevel, "record can't be read or written; it is left out")
	RepairFailed      = define(901, zerolog.WarnLevel, "replica set could not be repaired; it is tried again")
	ChangeRecovered   = define(903, zerolog.InfoLevel, "a change whose maker has gone was looked up or finished")
	EndpointsRestored = define(902, zerolog.InfoLevel, "endpoints known before the start were asked and restored")
)
