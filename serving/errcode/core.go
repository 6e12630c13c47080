package errcode

import "net/http"

// CoreAddressInUse: a core process can't listen where its settings say.
var CoreAddressInUse = define(900, http.StatusServiceUnavailable, "core can't listen at its address")
