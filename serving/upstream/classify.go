package upstream

import (
	"net/http"
	"strings"

	"rowanlink/serving/attempt"
)

// responseKind is what the head of an answer says.
type responseKind uint8

const (
	responseMatches responseKind = iota // the answer to this request
	responseForeign                     // an answer to some other request: to be skipped
	responseInvalid                     // no answer that can be attributed or passed on
)

// classify reads the head of an answer to the request with the given id.
func classify(status int, header http.Header, id string) (attempt.Outcome, responseKind) {
	outcome := outcomeOf(status, header)
	got := header.Get(headerAttempt)
	switch {
	case got == "" && outcome.NeverRan(): // refusals may come from before the request was read
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

func outcomeOf(status int, header http.Header) attempt.Outcome {
	refused := header.Get(headerNotDelivered) != ""
	switch {
	case status == http.StatusMisdirectedRequest:
		return attempt.Misdirected
	case refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
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

// isIdentity tells whether a body with that encoding is the endpoint's own.
func isIdentity(encoding string) bool {
	return encoding == "" || strings.EqualFold(encoding, "identity")
}

// ImpliesNotRun tells whether callers take a status for a promise that the request has not run and never will.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}
