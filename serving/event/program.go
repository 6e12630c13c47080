package event

import "github.com/rs/zerolog"

// Events of settings and of any program (100 to 199).
var (
	SettingsChanged  = define(100, zerolog.InfoLevel, "settings file changed and reloaded")
	SettingsRejected = define(101, zerolog.WarnLevel, "settings file invalid; the previous settings stay in use")
	SettingIgnored   = define(102, zerolog.WarnLevel, "setting has no effect in this release")
	ProgramStarted   = define(110, zerolog.InfoLevel, "program started")
	ProgramStopping  = define(111, zerolog.InfoLevel, "program is shutting down")
	ProgramStopped   = define(112, zerolog.InfoLevel, "program stopped")
	ProgramFailed    = define(113, zerolog.ErrorLevel, "program failed")
)
