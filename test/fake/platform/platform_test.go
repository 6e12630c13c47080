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
	t.Helper()
	p, err := platform.New(deliverycheck.Requirements{
		EventTypes: map[string]api.EventType{
			"status": {TTL: 9 * api.Second},
			"paid":   {TTL: 9 * api.Second, Semantics: api.Deduplicated, DedupWindow: 8 * api.Second},
		},
		DrainGrace:     api.Second,
		NotifiedWithin: 6 * api.Second,
	}, 3)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, p.Close()) })
	return p
}

// startMember starts a member "m1" that answers clients with a status.
func startMember(t *testing.T, p *platform.Platform, status int) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Retry-After", "0.01")
		rw.WriteHeader(status)
	})}
	go func() { _ = server.Serve(listener) }() // returns once it is closed
	t.Cleanup(func() { _ = server.Close() })
	require.NoError(t, p.SetClientAddr("m1", listener.Addr().String()))
}

// endpointAddr returns the address of the first endpoint of a list.
func endpointAddr(list string) string {
	_, rest, _ := strings.Cut(list, `"hostPort":"`)
	addr, _, _ := strings.Cut(rest, `"`)
	return addr
}

// response is the response to a call, or the text of the error in place of it.
type response struct {
	status     int // 0: there was none
	retryAfter string
	text       string
}

func call(t *testing.T, addr, path, id, body string) response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Request-Id", id)
	request.Header.Set("Idempotency-Key", "k")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	received, err := client.Do(request)
	if err != nil {
		return response{text: err.Error()}
	}
	defer func() { _ = received.Body.Close() }()
	text, err := io.ReadAll(received.Body)
	require.NoError(t, err)
	return response{
		status:     received.StatusCode,
		retryAfter: received.Header.Get("Retry-After"),
		text:       string(text),
	}
}

func TestDestination_BehavesAsSet(t *testing.T) {
	p := newPlatform(t)
	startMember(t, p, http.StatusAccepted)
	view, err := p.View("m1")
	require.NoError(t, err)
	addr, d := endpointAddr(view.EndpointList()), p.Destination(3)
	id, status := p.Submit("m1", platform.Webhook{Type: "status", Destination: 3})
	require.Equal(t, http.StatusAccepted, status)
	assert.Equal(t, 1, p.Checker.Outstanding())
	d.QueueBehaviours(platform.Fails, platform.RateLimited(800*time.Millisecond), platform.Closes, platform.ResponseLost)
	for _, want := range []response{{status: 500}, {status: 429, retryAfter: "0.800"}} {
		assert.Equal(t, want, call(t, addr, "/events", id, "x"))
	}
	for range 2 {
		closed := call(t, addr, "/events", id, "x")
		assert.Zero(t, closed.status)
		assert.Contains(t, closed.text, "EOF")
	}
	require.NoError(t, d.SetBehaviour(platform.Refuses))
	assert.Contains(t, call(t, addr, "/events", id, "x").text, "refused")
	require.NoError(t, d.SetBehaviour(platform.Behaviour{PerSecond: 1, SendsRetryAfter: true}))
	assert.Equal(t, 1, p.Checker.Outstanding())
	assert.Equal(t, id+" delivered\r\n", call(t, addr, "/events/bundle", "", id+" k 2\r\nhi\r\n").text)
	assert.Zero(t, p.Checker.Outstanding())
	for range 3 {
		call(t, addr, "/events", id, "x")
	}
	assert.Positive(t, p.Checker.Counts().RateExceeded)
	assert.Equal(t, http.StatusBadRequest, call(t, addr, "/events/bundle", "", "odd").status)
	call(t, addr, "/events", "w99", "x")
	assert.Contains(t, fmt.Sprint(p.Check()), "w99 at destination 3 by m1")
}

func TestDestination_DeduplicatesByToken(t *testing.T) {
	p := newPlatform(t)
	startMember(t, p, http.StatusAccepted)
	view, err := p.View("m2")
	require.NoError(t, err)
	a, _ := p.Submit("m1", platform.Webhook{Type: "paid", Destination: 3})
	p.Destination(3).QueueBehaviours(platform.ResponseLost, platform.Slow(30*time.Millisecond))
	call(t, endpointAddr(view.EndpointList()), "/events", a, "x")
	assert.Equal(t, 1, p.Checker.Outstanding(), "its answer was lost")
	call(t, endpointAddr(view.EndpointList()), "/events", a, "x")
	assert.Zero(t, p.Checker.Outstanding())
	assert.Empty(t, p.Check())
	assert.Equal(t, 1, p.Checker.Counts().Effects)
}

func TestLoad_RetriesAfterRejection(t *testing.T) {
	p := newPlatform(t)
	startMember(t, p, http.StatusServiceUnavailable)
	p.StartLoad(context.Background(), platform.Load{
		Members:     []string{"m1"},
		PerSecond:   200,
		Clients:     2,
		MaxWebhooks: 4,
		MaxAttempts: 3,
		Next:        func(int) platform.Webhook { return platform.Webhook{Type: "paid", Destination: 3} },
	})()
	assert.Equal(t, deliverycheck.Counts{Submitted: 12, Rejected: 12}, p.Checker.Counts())
	require.NoError(t, p.SetClientAddr("m1", "127.0.0.1:1"))
	p.StartLoad(context.Background(), platform.Load{
		Members:     []string{"m1"},
		PerSecond:   200,
		MaxWebhooks: 4,
		MaxAttempts: 3,
		Next:        func(int) platform.Webhook { return platform.Webhook{Type: "paid", Destination: 3} },
	})()
	assert.Equal(t, 4, p.Checker.Counts().Unanswered, "a deduplicated webhook without a response is not submitted again")
}

func TestMemberView_WatchAndMutedDiscovery(t *testing.T) {
	p := newPlatform(t)
	view, err := p.View("m1")
	require.NoError(t, err)
	url := "http://" + view.AgentAddr + "/registry/instances?follow=1&since=1"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	require.NoError(t, err)
	watch, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = watch.Body.Close() }()
	lines := make(chan string, 99)
	go func() {
		for in := bufio.NewScanner(watch.Body); in.Scan(); {
			if in.Text() != "" {
				lines <- in.Text()
			}
		}
	}()
	e := p.Endpoints(3)[0]
	p.Drain(e)
	assert.Contains(t, <-lines, `"lifecycle":"DRAINING"`)
	view.MuteDiscovery(true)
	p.Relist(e)
	p.Drain(e)
	select {
	case line := <-lines:
		assert.Fail(t, "notified while muted", line)
	case <-time.After(100 * time.Millisecond):
	}
	view.MuteDiscovery(false)
	assert.Contains(t, <-lines, `"generation":4`)
	other, err := p.View("m2")
	require.NoError(t, err)
	assert.NotEqual(t, endpointAddr(view.EndpointList()), endpointAddr(other.EndpointList()), "each member is known by where it calls")
}

func TestMemberView_Notices(t *testing.T) {
	p := newPlatform(t)
	startMember(t, p, http.StatusAccepted)
	p.SubscriberLists["l"] = []api.DestinationID{3, 4}
	view, err := p.View("m1")
	require.NoError(t, err)
	a, _ := p.Submit("m1", platform.Webhook{Type: "status", List: "l"})
	notify := func(text string) int { return call(t, view.AgentAddr, "/v2/finals", "", text).status }
	assert.Equal(t, 400, notify(`{"message":"`+a+`","outcome":"given_up"}`+"\nodd"))
	assert.Equal(t, 204, notify(`{"message":"`+a+`","outcome":"given_up","dest":4}`+"\n"))
	assert.Equal(t, 1, p.Checker.Outstanding(), "the other subscriber's outcome is outstanding")
	assert.Equal(t, 204, notify(`{"message":"`+a+`.3","outcome":"given_up"}`+"\n"))
	assert.Zero(t, p.Checker.Outstanding())
}
