package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/errcode"
)

// errorBody is the body of an unsuccessful response.
type errorBody struct {
	Error string       `json:"error"`
	Code  errcode.Code `json:"code"`
}

// emptyBody is the body of a successful response without data.
var emptyBody = []byte("{}")

// writeError responds with the error's text, its number and the HTTP status of its kind.
func writeError(w http.ResponseWriter, err error) {
	numbered := errcode.Of(err)
	body, marshalError := json.Marshal(errorBody{Error: numbered.Error(), Code: numbered.Kind.Code})
	if marshalError != nil {
		body = emptyBody
	}
	writeJSON(w, numbered.Kind.Status, body)
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails if the caller has disconnected; it will retry
}

// readBody reads a body of at most limit bytes. Errors are errcode.RequestTooLarge and errcode.RequestIncomplete.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errcode.RequestTooLarge.With("%d bytes, the limit is %d", r.ContentLength, limit)
	}
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := io.Copy(&body, http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body.Bytes(), nil
	case errors.As(err, &tooLarge):
		return nil, errcode.RequestTooLarge.With("more than %d bytes", limit)
	default:
		return nil, errcode.RequestIncomplete.With("%v", err)
	}
}

// changeError converts the error of a change for the response. An error with status 400 or 412, which means that the
// committed record rejects the change, and errcode.ChangeForgotten keep their kind. Any other error becomes one of the
// kind otherwise, after which the caller retries.
func changeError(err error, otherwise errcode.Kind) error {
	numbered := errcode.Of(err)
	switch {
	case numbered.Kind.Status == http.StatusBadRequest, numbered.Kind.Status == http.StatusPreconditionFailed:
		return numbered
	case numbered.Kind.Code == errcode.ChangeForgotten.Code:
		return numbered
	default:
		return otherwise.With("%v", err)
	}
}
