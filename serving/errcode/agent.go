package errcode

import "net/http"

// Errors of the agent and its directory (800 to 899).
var (
	AgentStopping             = define(800, http.StatusServiceUnavailable, "the agent is shutting down")
	DirectoryEmpty            = define(801, http.StatusServiceUnavailable, "no proxy is known to be ready")
	DirectoryNotFound         = define(802, http.StatusNotFound, "the directory answers look-ups only")
	DirectoryMethodNotAllowed = define(803, http.StatusMethodNotAllowed, "method not allowed: look-ups are made with GET")
	AgentAddressInUse         = define(804, http.StatusInternalServerError, "can't listen at an address of the agent")
)
