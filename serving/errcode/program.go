package errcode

import "net/http"

// Errors of settings (100 to 199).
var (
	SettingsUnreadable = define(100, http.StatusInternalServerError, "can't read the settings file")
	SettingsInvalid    = define(101, http.StatusInternalServerError, "the settings file has missing or invalid settings")
)
