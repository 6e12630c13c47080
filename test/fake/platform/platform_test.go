package platform_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/fake/platform"
	"rowanlink/webhook/api"
)

func newPlatform(t *testing.T) *platform.Platform {
	p, err := platform.New(deliverycheck.Requirements{EventTypes: map[string]api.EventType{
		"status": {TTL: 9 * api.Second},
		"paid":   {TTL: 9 * api.Second, Semantics: api.Deduplicated, DedupWindow: 8 * api.Second},
	}, DrainGrace: api.Second, NotifiedWithin: 6 * api.Second}, 3)
	require.NoError(t, err)
	t.Cleanup(func() { p.Close() })
	return p
}

// startMember answers clients 202 and calls destination 3 as told, once.
func startMember(t *testing.T, p *platform.Platform, code int) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Retry-After", "0.01")
		rw.WriteHeader(code)
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	require.NoError(t, p.SetClientAddr("m1", l.Addr().String()))
	return l.Addr().String()
}

// endpointAddr is the address of destination 3 in a list.
func endpointAddr(list string) string {
	_, rest, _ := strings.Cut(list, `"hostPort":"`)
	addr, _, _ := strings.Cut(rest, `"`)
	return addr
}

func call(t *testing.T, addr, path, id, body string) (*http.Response, string) {
	r, err := http.NewRequest("POST", "http://"+addr+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Request-Id", id)
	r.Header.Set("Idempotency-Key", "k")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return nil, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(text)
}

func TestDestination_BehavesAsSet(t *testing.T) {
	p := newPlatform(t)
	startMember(t, p, 202)
	seat, err := p.View("m1")
	require.NoError(t, err)
	addr, d := endpointAddr(seat.EndpointList()), p.Destination(3)
	a, code := p.Submit("m1", platform.Webhook{Type: "status", Destination: 3})
	require.Equal(t, 202, code)
	assert.Equal(t, 1, p.Checker.Outstanding())
	d.QueueBehaviours(platform.Fails, platform.RateLimited(800*time.Millisecond), platform.Closes, platform.ResponseLost)
	for _, want := range []string{"500", "429", "EOF", "EOF"} {
		resp, text := call(t, addr, "/events", a, "x")
		if resp != nil {
			text = resp.Status
			assert.Equal(t, want == "429", resp.Header.Get("Retry-After") == "0.800")
		}
		assert.Contains(t, text, want)
	}
	require.NoError(t, d.SetBehaviour(platform.Refuses))
	_, text := call(t, addr, "/events", a, "x")
	assert.Contains(t, text, "refused")
	require.NoError(t, d.SetBehaviour(platform.Behaviour{PerSecond: 1, TellsRetryAfter: true}))
	assert.Equal(t, 1, p.Checker.Outstanding())
	_, text = call(t, addr, "/events/bundle", "", a+" k 2\r\nhi\r\n")
	assert.Equal(t, a+" delivered\r\n", text)
	assert.Zero(t, p.Checker.Outstanding())
	for range 3 {
		call(t, addr, "/events", a, "x")
	}
	assert.Positive(t, p.Checker.Counts().RateExceeded)
	resp, _ := call(t, addr, "/events/bundle", "", "odd")
	assert.Equal(t, 400, resp.StatusCode)
	call(t, addr, "/events", "w99", "x")
	assert.Contains(t, fmt.Sprint(p.Check()), "w99 at destination 3 by m1")
}

func TestDestination_DeduplicatesByToken(t *testing.T) {
	p := newPlatform(t)
	startMember(t, p, 202)
	seat, err := p.View("m2")
	require.NoError(t, err)
	a, _ := p.Submit("m1", platform.Webhook{Type: "paid", Destination: 3})
	p.Destination(3).QueueBehaviours(platform.ResponseLost, platform.Slow(30*time.Millisecond))
	call(t, endpointAddr(seat.EndpointList()), "/events", a, "x")
	assert.Equal(t, 1, p.Checker.Outstanding(), "its answer was lost")
	call(t, endpointAddr(seat.EndpointList()), "/events", a, "x")
	assert.Zero(t, p.Checker.Outstanding())
	assert.Empty(t, p.Check())
	assert.Equal(t, 1, p.Checker.Counts().Effects)
}

func TestLoad_RetriesAfterRejection(t *testing.T) {
	p := newPlatform(t)
	startMember(t, p, 503)
	p.StartLoad(context.Background(), platform.Load{Members: []string{"m1"}, PerSecond: 200, Clients: 2, MaxWebhooks: 4,
		MaxAttempts: 3,
		Next:        func(int) platform.Webhook { return platform.Webhook{Type: "paid", Destination: 3} }})()
	assert.Equal(t, deliverycheck.Counts{Submitted: 12, Rejected: 12}, p.Checker.Counts())
	require.NoError(t, p.SetClientAddr("m1", "127.0.0.1:1"))
	p.StartLoad(context.Background(), platform.Load{Members: []string{"m1"}, PerSecond: 200, MaxWebhooks: 4, MaxAttempts: 3,
		Next: func(int) platform.Webhook { return platform.Webhook{Type: "paid", Destination: 3} }})()
	assert.Equal(t, 4, p.Checker.Counts().Unanswered, "a token is not handed in again unanswered")
}

func TestMemberView_WatchAndMutedDiscovery(t *testing.T) {
	p := newPlatform(t)
	seat, err := p.View("m1")
	require.NoError(t, err)
	resp, err := http.Get("http://" + seat.AgentAddr + "/registry/instances?follow=1&since=1")
	require.NoError(t, err)
	defer resp.Body.Close()
	lines := make(chan string, 99)
	go func() {
		for in := bufio.NewScanner(resp.Body); in.Scan(); {
			if in.Text() != "" {
				lines <- in.Text()
			}
		}
	}()
	e := p.Endpoints(3)[0]
	p.Drain(e)
	assert.Contains(t, <-lines, `"lifecycle":"DRAINING"`)
	seat.MuteDiscovery(true)
	p.Relist(e)
	p.Drain(e)
	select {
	case line := <-lines:
		assert.Fail(t, "told while mute", line)
	case <-time.After(100 * time.Millisecond):
	}
	seat.MuteDiscovery(false)
	assert.Contains(t, <-lines, `"generation":4`)
	other, err := p.View("m2")
	require.NoError(t, err)
	assert.NotEqual(t, endpointAddr(seat.EndpointList()), endpointAddr(other.EndpointList()), "each member is known by where it calls")
}

func TestMemberView_Notices(t *testing.T) {
	p := newPlatform(t)
	startMember(t, p, 202)
	p.SubscriberLists["l"] = []api.DestinationID{3, 4}
	seat, err := p.View("m1")
	require.NoError(t, err)
	a, _ := p.Submit("m1", platform.Webhook{Type: "status", List: "l"})
	tell := func(text string) int {
		resp, _ := call(t, seat.AgentAddr, "/v2/finals", "", text)
		return resp.StatusCode
	}
	assert.Equal(t, 400, tell(`{"message":"`+a+`","outcome":"given_up"}`+"\nodd"))
	assert.Equal(t, 204, tell(`{"message":"`+a+`","outcome":"given_up","dest":4}`+"\n"))
	assert.Equal(t, 1, p.Checker.Outstanding(), "the other subscriber's end is owed")
	assert.Equal(t, 204, tell(`{"message":"`+a+`.3","outcome":"given_up"}`+"\n"))
	assert.Zero(t, p.Checker.Outstanding())
}
