package errcode

import "net/http"

// CoreAddressInUse is the error of a core process that can't listen at the address in its settings.
var CoreAddressInUse = define(900, http.StatusServiceUnavailable, "can't listen at the core's address")
