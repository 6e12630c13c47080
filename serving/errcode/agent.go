package errcode

import "net/http"

// Errors of the agent and its directory.
var (
	AgentStopping             = define(800, http.StatusServiceUnavailable, "the agent is ending")
	DirectoryEmpty            = define(801, http.StatusServiceUnavailable, "no proxy is known to be ready")
	DirectoryNotFound         = define(802, http.StatusNotFound, "the directory answers look-ups only")
	DirectoryMethodNotAllowed = define(803, http.StatusMethodNotAllowed, "look-ups are made with GET")
	AgentAddressInUse         = define(804, http.StatusInternalServerError, "an address of the agent can't be listened on")
)
