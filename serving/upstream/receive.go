package upstream

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/attempt"
)

const (
	// maxSkippedResponses bounds the number of responses read for one request. Interim (1xx) responses and foreign
	// responses, which belong to another request, are skipped.
	maxSkippedResponses = 16
	// maxForeignBody bounds the body of a foreign response, in bytes.
	maxForeignBody = 1 << 20
)

// receiveHead reads the status and headers of the response to this request. It skips interim and foreign responses.
func (r *Response) receiveHead() *Failure {
	for range maxSkippedResponses {
		response, err := r.readHead() //nolint:bodyclose // the body is read by Response.Read and ends with its connection
		if err != nil {
			return r.fail(err, attempt.Broken)
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		outcome, kind := classify(response.StatusCode, response.Header, r.call.Header.Get(headerAttempt))
		switch kind {
		case responseForeign:
			if err := r.skipForeign(response); err != nil {
				return r.fail(err, attempt.Broken)
			}
			continue
		case responseInvalid:
			return r.fail(errors.Newf("invalid response with status %d", response.StatusCode), attempt.Broken)
		}
		r.accept(response, outcome)
		if outcome.NeverRan() {
			r.Close()
			return &Failure{Outcome: outcome}
		}
		return nil
	}
	return r.fail(errors.New("too many interim or foreign responses"), attempt.Broken)
}

// readHead reads one response's status and headers, within the limit on their size.
func (r *Response) readHead() (*http.Response, error) {
	r.connection.headBytesLeft = maxHeadSize
	response, err := http.ReadResponse(r.connection.reader, &http.Request{Method: r.call.Method})
	r.connection.headBytesLeft = -1
	r.connection.markResponded()
	return response, errors.Wrap(err, "read response headers")
}

// skipForeign reads a foreign response to its end. The connection is not reused after this call.
func (r *Response) skipForeign(response *http.Response) error {
	r.notReusable = true
	if response.Close {
		return errors.New("the endpoint closes the connection after a foreign response")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody))
	if err == nil && n == maxForeignBody {
		err = errors.New("foreign response too long")
	}
	return errors.Wrap(err, "skip foreign response")
}

// accept takes an HTTP response as the response to this call.
func (r *Response) accept(response *http.Response, outcome attempt.Outcome) {
	r.Outcome = outcome
	r.httpResponse = response
	r.Status = response.StatusCode
	r.Header = response.Header
	r.Length = response.ContentLength
	r.idleTimeout = parseIdleTimeout(response.Header)
	// If the endpoint sent a response without an attempt ID twice, the second one could be taken for the response to
	// the next request.
	unidentified := response.Header.Get(headerAttempt) == ""
	r.notReusable = r.notReusable || response.Close || unidentified
}
