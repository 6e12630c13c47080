package upstream

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newCall returns a call to an endpoint with attempt ID "a1" and a deadline in a minute.
func newCall(address string) *Call {
	return &Call{
		EndpointID:    "i-1",
		Address:       address,
		Zone:          "near",
		Method:        http.MethodPost,
		RequestTarget: "/p/%2e%2e/x?q=1&&b",
		Host:          "host.example",
		Header:        http.Header{"X-Attempt-Id": {"a1"}, "X-Model": {"m"}},
		Body:          []byte("hello"),
		Deadline:      time.Now().Add(time.Minute),
	}
}

// doCall makes a call and reads the response to its end.
func doCall(t *testing.T, pool *Pool, call *Call) (*Response, string, *Failure) {
	t.Helper()
	response, failure := pool.Do(context.Background(), call)
	if failure != nil {
		return nil, "", failure
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	if err != nil {
		var failure *Failure
		require.ErrorAs(t, err, &failure)
		return response, string(body), failure
	}
	return response, string(body), nil
}

// testOptions has a long timeout, so that connecting succeeds even on a busy test machine: tests of responses are not
// about connecting.
var testOptions = Options{ConnectTimeout: 10 * time.Second}

const okResponse = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Postmark: s\r\nContent-Length: 4\r\n\r\nbody"
