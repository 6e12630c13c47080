package event

import "github.com/rs/zerolog"

// Events of settings and of programs as such.
var (
	SettingsChanged  = define(100, zerolog.InfoLevel, "settings file has changed and is in use")
	SettingsRejected = define(101, zerolog.WarnLevel, "settings file can't be used; the settings before it stay")
	ProgramStarted   = define(110, zerolog.InfoLevel, "program started")
	ProgramStopping  = define(111, zerolog.InfoLevel, "program was told to end")
	ProgramStopped   = define(112, zerolog.InfoLevel, "program has ended as told")
	ProgramFailed    = define(113, zerolog.ErrorLevel, "program can't go on")
)
