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

// errorBody is the body of an answer that is no success.
type errorBody struct {
	Error string       `json:"error"`
	Code  errcode.Code `json:"code"`
}

// emptyBody is the body of a success that has nothing to say.
var emptyBody = []byte("{}")

// writeError answers with the status of the error's numbered kind.
func writeError(w http.ResponseWriter, err error) {
	numbered := errcode.Of(err)
	body, failed := json.Marshal(errorBody{Error: numbered.Error(), Code: numbered.Kind.Code})
	if failed != nil {
		body = emptyBody
	}
	writeJSON(w, numbered.Kind.Status, body)
}

func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller has left if it fails; it asks again
}

// readBody reads a body of limit bytes at most. Errors are errcode.RequestTooLarge and errcode.RequestIncomplete.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errcode.RequestTooLarge.With("%d bytes, %d may come", r.ContentLength, limit)
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

// changeError keeps an error by which the committed record refuses an order, and makes all others the given kind: the
// caller asks again.
func changeError(err error, otherwise errcode.Kind) error {
	switch numbered := errcode.Of(err); numbered.Kind.Status {
	case http.StatusBadRequest, http.StatusPreconditionFailed:
		return numbered
	default:
		return otherwise.With("%v", err)
	}
}
