package core

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// TestEndpointConfirmer_AsksTheEndpoint checks that a process is confirmed only if it answers 200 under the endpoint's
// ID, and only once the path of its health checks is known.
func TestEndpointConfirmer_AsksTheEndpoint(t *testing.T) {
	for _, test := range []struct {
		name      string
		status    int
		id        string
		service   string
		known     bool // a record is known
		confirmed bool
	}{
		{"serving", 200, "e", "plain", true, true},
		{"leaving", 503, "e", "plain", true, false},
		{"another endpoint at its address", 200, "f", "plain", true, false},
		{"no record yet", 200, "e", "plain", false, false},
		{"unknown service", 200, "e", "other", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				assert.Equal(t, "/health", r.URL.Path)
				w.Header().Set(endpointIDHeader, test.id)
				w.Header().Set(warmupLeftHeader, "1500")
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			confirmer := &endpointConfirmer{check: newHealthChecker().check, latest: committedRecord(t)}
			if !test.known {
				confirmer.latest = func() (state.Record, bool) { return state.Record{}, false }
			}
			endpoint := state.Endpoint{ID: "e", Service: test.service, Address: strings.TrimPrefix(server.URL, "http://")}
			confirmed, err := confirmer.confirm(context.Background(), endpoint)
			assert.Equal(t, test.confirmed, err == nil, "%v", err)
			if test.confirmed {
				assert.EqualValues(t, 1500, confirmed.WarmupLeftMillis)
			}
		})
	}
}
