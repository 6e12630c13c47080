package event

import "github.com/rs/zerolog"

// Events of proxies.
var (
	ProxyReady              = define(500, zerolog.InfoLevel, "proxy knows configuration and endpoints and is ready")
	ProxyDraining           = define(501, zerolog.InfoLevel, "proxy was told to end and finishes what it has")
	ProxyDrained            = define(502, zerolog.InfoLevel, "proxy has finished what it had")
	ProxyDrainAborted       = define(503, zerolog.WarnLevel, "proxy must end while answers are unfinished")
	AgentConnectionLost     = define(510, zerolog.WarnLevel, "agent can't be reached; what was last known stays in use")
	AgentConnectionRestored = define(511, zerolog.InfoLevel, "agent answers again")
	ConfigurationActivated  = define(520, zerolog.InfoLevel, "configuration is in force here")
	ConfigurationInvalid    = define(521, zerolog.ErrorLevel, "configuration can't be read; the one before it stays in force")
	ListenerFailed          = define(530, zerolog.ErrorLevel, "clients can't be listened to any more")
	ConnectionLimitReached  = define(531, zerolog.WarnLevel, "too many client connections; new ones are closed")
	ClientServerFailed      = define(532, zerolog.ErrorLevel, "server of client connections reports a fault")
)
