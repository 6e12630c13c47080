package errcode

import "net/http"

// Errors of settings and of programs as such.
var (
	SettingsUnreadable = define(100, http.StatusInternalServerError, "settings file can't be read")
	SettingsInvalid    = define(101, http.StatusInternalServerError, "settings file has missing or wrong settings")
)
