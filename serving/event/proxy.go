package event

import "github.com/rs/zerolog"

// Events of proxies (500 to 599).
var (
	ProxyReady              = define(500, zerolog.InfoLevel, "proxy has configuration and endpoints and is ready")
	ProxyDraining           = define(501, zerolog.InfoLevel, "proxy is draining")
	ProxyDrained            = define(502, zerolog.InfoLevel, "proxy drained")
	ProxyDrainAborted       = define(503, zerolog.WarnLevel, "proxy stops with unfinished responses")
	AgentConnectionLost     = define(510, zerolog.WarnLevel, "agent unreachable; the last known state stays in use")
	AgentConnectionRestored = define(511, zerolog.InfoLevel, "agent reachable again")
	ConfigurationActivated  = define(520, zerolog.InfoLevel, "configuration activated")
	ConfigurationInvalid    = define(521, zerolog.ErrorLevel, "configuration invalid; the previous one stays in force")
	EndpointUnused          = define(522, zerolog.InfoLevel, "endpoint accepts no more requests; this proxy sends it none")
	RolloutBreakerOpened    = define(540, zerolog.WarnLevel, "requests to the target of a roll-out failed at this proxy; it sends the target none for a while")
	ListenerFailed          = define(530, zerolog.ErrorLevel, "listener for clients failed")
	ConnectionLimitReached  = define(531, zerolog.WarnLevel, "limit of client connections reached; new ones are closed")
	ClientServerFailed      = define(532, zerolog.ErrorLevel, "server of client connections reports an error")
)
