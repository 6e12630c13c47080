package errcode

import "net/http"

// Errors of changes and reads of the replicated register (200 to 299).
var (
	// RegisterUnavailable means that nothing was changed; a retry is safe.
	RegisterUnavailable = define(200, http.StatusServiceUnavailable, "no majority of the register's replicas answered in time")
	// RegisterInDoubt means that the change may or may not be committed.
	RegisterInDoubt = define(201, http.StatusGatewayTimeout, "no majority confirmed the change in time; it may be in force")
	// VersionConflict means that the change's base version is not the current one. The change is not committed and
	// never will be.
	VersionConflict = define(202, http.StatusPreconditionFailed, "another version of the configuration is current")
	// VersionNotAbove means that the new version number is not above the current one.
	VersionNotAbove = define(203, http.StatusBadRequest, "the configuration's version is not above the current one")
	// RegisterNotReady means that this process doesn't know the register's replicas yet.
	RegisterNotReady = define(204, http.StatusServiceUnavailable, "the register's replicas are not known yet")
	// ChangeForgotten means that the history of changes is too short to tell whether the change was committed earlier.
	ChangeForgotten = define(205, http.StatusServiceUnavailable, "the change is older than the history of changes; it may have been in force")
)
