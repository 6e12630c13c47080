package upstream

import (
	"net/http"
	"strings"

	"rowanlink/serving/attempt"
)

// responseKind tells how a response that has arrived is handled.
type responseKind uint8

const (
	responseMatches responseKind = iota // the response belongs to this request
	responseForeign                     // the response belongs to another request and is skipped
	responseInvalid                     // it is unknown which request the response belongs to, or it can't be relayed
)

// classify determines, from its status and headers, whether a response belongs to the request with the given attempt
// ID, and the outcome that it stands for.
func classify(status int, header http.Header, id string) (attempt.Outcome, responseKind) {
	outcome := outcomeOf(status, header)
	got := header.Get(headerAttempt)
	switch {
	case got == "" && outcome.NeverRan(): // an endpoint may reject a request before it has read its ID
	case got != id:
		if got == "" {
			return attempt.Broken, responseInvalid
		}
		return attempt.Broken, responseForeign
	}
	if outcome == attempt.Broken {
		return outcome, responseInvalid
	}
	return outcome, responseMatches
}

// outcomeOf returns the outcome that a response's status and headers stand for.
func outcomeOf(status int, header http.Header) attempt.Outcome {
	notDelivered := header.Get(headerNotDelivered) != ""
	switch {
	case status == http.StatusMisdirectedRequest:
		return attempt.Misdirected
	case notDelivered && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusBadRequest):
		return attempt.Rejected
	case status < http.StatusOK || status > 599:
		return attempt.Broken
	case !isIdentity(header.Get("Content-Encoding")):
		return attempt.Broken
	case status < http.StatusMultipleChoices && header.Get(headerStamp) == "":
		return attempt.Broken
	case status >= http.StatusInternalServerError, ImpliesNotRun(status):
		return attempt.Failed
	}
	return attempt.Succeeded
}

// isIdentity reports whether a Content-Encoding leaves the body unencoded.
func isIdentity(encoding string) bool {
	return encoding == "" || strings.EqualFold(encoding, "identity")
}

// ImpliesNotRun reports whether clients conclude from a status that the request has not run and never will.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}
