package errcode

import "net/http"

// Errors that a proxy itself returns to clients (500 to 599). Those with status 408 or 503 are returned only for a
// request that hasn't been executed or is idempotent.
var (
	NoConfiguration        = define(500, http.StatusServiceUnavailable, "no configuration is known yet")
	NoRoute                = define(501, http.StatusNotFound, "no route matches")
	HeaderTooLarge         = define(502, http.StatusRequestHeaderFieldsTooLarge, "the request header exceeds the size limit")
	BodyTooLarge           = define(503, http.StatusRequestEntityTooLarge, "the request body exceeds the size limit")
	BodyTimeout            = define(504, http.StatusRequestTimeout, "the request body timed out")
	ShuttingDown           = define(505, http.StatusServiceUnavailable, "this process is shutting down")
	NoCapacity             = define(506, http.StatusServiceUnavailable, "no endpoint has capacity for the request")
	NotExecuted            = define(507, http.StatusServiceUnavailable, "no endpoint has executed the request")
	NotExecutedInTime      = define(508, http.StatusServiceUnavailable, "no endpoint had capacity for the request in time")
	EndpointResponseBroken = define(509, http.StatusBadGateway, "the endpoint's response is incomplete or invalid")
	DeadlineExceeded       = define(510, http.StatusGatewayTimeout, "deadline exceeded")
	TooManyLargeBodies     = define(511, http.StatusServiceUnavailable, "too many large request bodies are buffered")
)
