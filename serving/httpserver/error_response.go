package httpserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rowanlink/serving/errcode"
)

// errorBody is the body of an error response that the proxy itself generates.
type errorBody struct {
	Error string       `json:"error"`
	Code  errcode.Code `json:"code"`
}

// respondError responds with an error's status, message and code. A positive retryAfter is sent as Retry-After, in
// seconds with three decimals.
func respondError(w http.ResponseWriter, kind errcode.Kind, retryAfter time.Duration) {
	body, err := json.Marshal(errorBody{Error: kind.Message, Code: kind.Code})
	if err != nil { // can't happen: strings and numbers are always encodable
		body = nil
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if retryAfter > 0 {
		header.Set(headerRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(kind.Status)
	_, _ = w.Write(body) // fails only if the client has disconnected
}

const (
	// minRetryAfter is the shortest Retry-After, unless the request has too little time left. It gives the cause of the
	// rejection time to pass.
	minRetryAfter = 20 * time.Millisecond
	// retryAfterDivisor divides the time that the request has left: clients honor a Retry-After of at most the result.
	retryAfterDivisor = 3
)

// clampRetryAfter returns the wanted Retry-After, raised to minRetryAfter and then limited to what clients honor.
func clampRetryAfter(wanted, timeLeft time.Duration) time.Duration {
	wanted = max(wanted, minRetryAfter)
	return max(min(wanted, timeLeft/retryAfterDivisor), 0).Truncate(time.Millisecond)
}
