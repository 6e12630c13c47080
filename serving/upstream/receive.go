package upstream

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/attempt"
)

const (
	// maxSkippedResponses bounds the surplus and interim answers that are skipped before the one that is waited for.
	maxSkippedResponses = 16
	// maxForeignBody bounds the body of a surplus answer, in bytes.
	maxForeignBody = 1 << 20
)

// receiveHead reads the head of the answer to this request and skips what comes before it.
func (a *Response) receiveHead() *Failure {
	for range maxSkippedResponses {
		response, err := a.readHead()
		if err != nil {
			return a.fail(err, attempt.Broken)
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		outcome, what := classify(response.StatusCode, response.Header, a.call.Header.Get(headerAttempt))
		switch what {
		case responseForeign:
			if err := a.skipForeign(response); err != nil {
				return a.fail(err, attempt.Broken)
			}
			continue
		case responseInvalid:
			return a.fail(errors.Newf("status %d is no answer to this request", response.StatusCode), attempt.Broken)
		}
		a.accept(response, outcome)
		if outcome.NeverRan() {
			a.Close()
			return &Failure{Outcome: outcome}
		}
		return nil
	}
	return a.fail(errors.New("too many answers that nobody asked for"), attempt.Broken)
}

// readHead reads one head within the bound on heads.
func (a *Response) readHead() (*http.Response, error) {
	a.connection.headBytesLeft = maxHeadSize
	response, err := http.ReadResponse(a.connection.reader, &http.Request{Method: a.call.Method})
	a.connection.headBytesLeft = -1
	a.connection.markAnswered()
	return response, errors.Wrap(err, "read head of answer")
}

// skipForeign reads a surplus answer to its end. Its connection is not used again.
func (a *Response) skipForeign(response *http.Response) error {
	a.notReusable = true
	if response.Close {
		return errors.New("the connection ends with an answer that nobody asked for")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody))
	if err == nil && n == maxForeignBody {
		err = errors.New("an answer that nobody asked for is too long")
	}
	return errors.Wrap(err, "skip surplus answer")
}

// accept makes the response the answer of this call.
func (a *Response) accept(response *http.Response, outcome attempt.Outcome) {
	a.Outcome = outcome
	a.httpResponse = response
	a.Status = response.StatusCode
	a.Header = response.Header
	a.Length = response.ContentLength
	a.idleTimeout = parseIdleTimeout(response.Header)
	// An answer without an id could be mistaken for the next one's if it came twice.
	unnamed := response.Header.Get(headerAttempt) == ""
	a.notReusable = a.notReusable || response.Close || unnamed
}
