package upstream

import (
	"net/http"
	"strings"

	"rowanlink/serving/attempt"
)

// responseKind is the class of a response. It determines how the response is handled.
type responseKind uint8

const (
	responseMatches responseKind = iota // it responds to this request
	responseForeign                     // it responds to another request and is skipped
	responseInvalid                     // it can't be attributed to a request or not be relayed
)

// classify classifies a response to the request with the attempt ID by its status and headers.
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

// outcomeOf returns the outcome that a response's status and headers mean.
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

// isIdentity reports whether a content encoding leaves the body as it is.
func isIdentity(encoding string) bool {
	return encoding == "" || strings.EqualFold(encoding, "identity")
}

// ImpliesNotRun reports whether callers conclude from a status that the request has not run and never will.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}
