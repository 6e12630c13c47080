package httpserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rowanlink/serving/errcode"
)

// errorBody is the body of an answer that no endpoint gave.
type errorBody struct {
	Error string       `json:"error"`
	Code  errcode.Code `json:"code"`
}

// respondError answers a request by a numbered error. A retryAfter above zero tells the client when to come back.
func respondError(w http.ResponseWriter, kind errcode.Kind, retryAfter time.Duration) {
	body, err := json.Marshal(errorBody{Error: kind.Message, Code: kind.Code})
	if err != nil { // neither a string nor a number fails
		body = nil
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if retryAfter > 0 {
		header.Set(headerRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(kind.Status)
	_, _ = w.Write(body) // a client that has left gets nothing
}

const (
	// minRetryAfter is the shortest wait that a client is told, so that a refusal's cause can pass.
	minRetryAfter = 20 * time.Millisecond
	// retryAfterDivisor of the time left is the longest wait that clients honour.
	retryAfterDivisor = 3
)

// clampRetryAfter is the wait that a client is told: the wanted one within what clients honour.
func clampRetryAfter(wanted, left time.Duration) time.Duration {
	wanted = max(wanted, minRetryAfter)
	return max(min(wanted, left/retryAfterDivisor), 0).Truncate(time.Millisecond)
}
