package client

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unreachableAddress is an address that nothing listens on.
const unreachableAddress = "127.0.0.1:1"

// fakeCore records the calls that it gets and responds to each with the same status and body.
type fakeCore struct {
	calls  []string
	status int
	body   string
}

func (c *fakeCore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.calls = append(c.calls, r.Method+" "+r.URL.EscapedPath()+" "+r.Header.Get(baseVersionHeader)+" "+string(body))
	w.WriteHeader(c.status)
	_, _ = io.WriteString(w, c.body)
}

func startServer(t *testing.T, handler http.Handler) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestClient_Calls(t *testing.T) {
	reachable := &fakeCore{status: http.StatusOK, body: "the document"}
	client := &Client{Addresses: []string{unreachableAddress, startServer(t, reachable)}}
	document, err := client.Configuration(t.Context())
	require.NoError(t, err)
	assert.Equal(t, "the document", string(document))
	require.NoError(t, client.ReplaceConfiguration(t.Context(), 4, []byte("new")))
	require.NoError(t, client.Evacuate(t.Context(), "a/b"))
	require.NoError(t, client.EndEvacuation(t.Context(), "z"))
	assert.Equal(t, []string{"GET /Settings.Read  ", "POST /Settings.Replace 4 new", "POST /Clearance.Begin/a%2Fb  ",
		"POST /Clearance.Finish/z  "}, reachable.calls)
}

// TestClient_FinalResponses: a final status ends the call; after any other error status the client tries the next
// member.
func TestClient_FinalResponses(t *testing.T) {
	for status, isFinal := range map[int]bool{400: true, 404: true, 409: true, 412: true, 413: true, 422: true,
		408: false, 429: false, 500: false, 503: false, 504: false} {
		first, second := &fakeCore{status: status, body: `{"error":"R0202 why","code":202}`}, &fakeCore{status: http.StatusOK}
		client := &Client{Addresses: []string{startServer(t, first), startServer(t, second)}}
		err := client.Evacuate(t.Context(), "z")
		if !isFinal {
			assert.NoError(t, err, status)
			assert.Len(t, second.calls, 1, status)
			continue
		}
		assert.Empty(t, second.calls, status)
		var rejected *RejectedError
		require.True(t, errors.As(err, &rejected), status)
		assert.Equal(t, status, rejected.Status)
		assert.Equal(t, "R0202 why", rejected.Text)
	}
}

func TestClient_NoFinalResponseIsInDoubt(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	client := &Client{Addresses: []string{startServer(t, &fakeCore{status: http.StatusServiceUnavailable})}}
	assert.ErrorIs(t, client.Evacuate(ended, "z"), ErrInDoubt)
	_, err := (&Client{}).Configuration(t.Context())
	assert.ErrorIs(t, err, ErrNoAddress)
}

func TestErrorText(t *testing.T) {
	assert.Equal(t, "plain", errorText([]byte(" plain\n")))
	assert.Equal(t, `{"other":1}`, errorText([]byte(`{"other":1}`)))
	assert.Equal(t, "reported", errorText([]byte(`{"error":"reported"}`)))
}
