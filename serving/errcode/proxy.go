package errcode

import "net/http"

// Answers that a proxy gives to clients by itself. None of those with 408 or 503 is given to a request that may
// have run unless it may be repeated.
var (
	NoConfiguration        = define(500, http.StatusServiceUnavailable, "no configuration is known here yet")
	NoRoute                = define(501, http.StatusNotFound, "no route matches")
	HeaderTooLarge         = define(502, http.StatusRequestHeaderFieldsTooLarge, "head of request too large")
	BodyTooLarge           = define(503, http.StatusRequestEntityTooLarge, "body of request too large")
	BodyTimeout            = define(504, http.StatusRequestTimeout, "body of request did not come in time")
	ShuttingDown           = define(505, http.StatusServiceUnavailable, "this process is about to end")
	NoCapacity             = define(506, http.StatusServiceUnavailable, "no endpoint can take the request now")
	NotExecuted            = define(507, http.StatusServiceUnavailable, "no endpoint has run the request")
	NotExecutedInTime      = define(508, http.StatusServiceUnavailable, "no endpoint could take the request in time")
	EndpointResponseBroken = define(509, http.StatusBadGateway, "the endpoint's answer broke off or can't be used")
	DeadlineExceeded       = define(510, http.StatusGatewayTimeout, "no answer came in time")
	TooManyLargeBodies     = define(511, http.StatusServiceUnavailable, "too many large bodies are held now")
)
