package httpserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rowanlink/serving/errcode"
)

// errorBody is the body of a response that doesn't come from an endpoint.
type errorBody struct {
	Error string       `json:"error"`
	Code  errcode.Code `json:"code"`
}

// respondError responds with a numbered error. A positive retryAfter is sent as Retry-After.
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
	_, _ = w.Write(body) // it fails only if the client has disconnected
}

const (
	// minRetryAfter is the shortest Retry-After, so that the cause of the rejection can pass.
	minRetryAfter = 20 * time.Millisecond
	// retryAfterDivisor: clients honor a Retry-After of up to this fraction of the time left.
	retryAfterDivisor = 3
)

// clampRetryAfter limits a Retry-After to what clients honor.
func clampRetryAfter(wanted, timeLeft time.Duration) time.Duration {
	wanted = max(wanted, minRetryAfter)
	return max(min(wanted, timeLeft/retryAfterDivisor), 0).Truncate(time.Millisecond)
}
