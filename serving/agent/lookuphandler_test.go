package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// serveTestLookup passes one request to a directory whose agent knows the given live members.
func serveTestLookup(method, target string, ready bool, maxTTL time.Duration, live ...state.Member) *httptest.ResponseRecorder {
	handler := &lookupHandler{members: func() []state.Member { return live }, isReady: func() bool { return ready },
		regions: testRegions, maxTTL: maxTTL, random: rand.New(rand.NewPCG(1, 2))}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(context.Background(), method, target, nil))
	return recorder
}

func TestLookupHandler_Responses(t *testing.T) {
	near, far := newProxyMember("n1", 1, state.MemberReady), newProxyMember("s1", 1, state.MemberReady)
	target := "/lookup?name=a.example&region=north&zone=n1"
	for _, test := range []struct {
		name   string
		method string
		target string
		ready  bool
		live   []state.Member
		status int
		body   string
	}{
		{"near", "GET", target, true, []state.Member{near, far}, 200, `{"addresses":["n1-1:80"],"ttl_s":1}`},
		{"no proxy is ready", "GET", target, true, nil, 503, `{"error":"no proxy is known to be ready","code":801}`},
		{"just started", "GET", target, false, []state.Member{near}, 503,
			`{"error":"no proxy is known to be ready","code":801}`},
		{"other path", "GET", "/", true, []state.Member{near}, 404,
			`{"error":"the directory answers look-ups only","code":802}`},
		{"wrong method", "POST", target, true, []state.Member{near}, 405,
			`{"error":"method not allowed: look-ups are made with GET","code":803}`},
		{"unreadable query", "GET", "/lookup?zone=%zz&region=north", true, []state.Member{near, far}, 200,
			`{"addresses":["n1-1:80"],"ttl_s":1}`},
	} {
		got := serveTestLookup(test.method, test.target, test.ready, 5*time.Second, test.live...)
		assert.Equal(t, test.status, got.Code, test.name)
		assert.JSONEq(t, test.body, got.Body.String(), test.name)
		assert.Equal(t, "application/json", got.Header().Get("Content-Type"), test.name)
	}
}

func TestLookupHandler_LimitsTheTTL(t *testing.T) {
	near := newProxyMember("n1", 1, state.MemberReady)
	got := serveTestLookup(http.MethodGet, "/lookup?zone=n1", true, 500*time.Millisecond, near)
	assert.JSONEq(t, `{"addresses":["n1-1:80"],"ttl_s":0.5}`, got.Body.String())
}

func TestIsDirectoryReady_OncePeersAreKnownOrTheDelayIsOver(t *testing.T) {
	a := newTestAgent(time.Second)
	defer a.stateActor.Stop()
	assert.False(t, a.isDirectoryReady(), "just started and without peers")
	a.members.setPeers(newProxyMember("n2", 1, state.MemberReady))
	assert.True(t, a.isDirectoryReady())
	a.members.setPeers()
	a.started = time.Now().Add(-directoryStartDelay)
	assert.True(t, a.isDirectoryReady(), "without peers, but the delay is over")
	assert.False(t, a.isSynced())
}
