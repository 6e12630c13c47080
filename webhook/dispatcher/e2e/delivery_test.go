package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestBodyIsForwardedUnchangedAndCounted(t *testing.T) {
	env := startEnvironment(t, "token")
	assert.Equal(t, 202, env.submit("a1", "any \x00\r\nbytes"))
	env.eventually("called", env.receivedCalls(1))
	want := endpointCall{path: "/events", id: "a1", token: "ka1", body: "any \x00\r\nbytes"}
	assert.Equal(t, want, env.recordedCalls()[0])
	env.eventually("counted", func() bool {
		text := env.metrics()
		return strings.Contains(text, "rowanlink_webhooks_accepted_total 1\n") &&
			strings.Contains(text, "rowanlink_attempts_delivered_total 1\n")
	})
}

// Guards against a retry by the HTTP client, which may repeat a request whose idle connection ends.
func TestBrokenConnectionIsNotRetriedByTheHTTPClient(t *testing.T) {
	env := startEnvironment(t, "side_effect")
	env.submit("a0", "x") // leaves an idle connection
	env.eventually("delivered", env.receivedCalls(1))
	env.handleCalls(func(_ int, response http.ResponseWriter, _ string) { closeConnection(response) })
	env.submit("a1", "x")
	env.eventually("its outcome is reported", env.receivedCallbacks(1))
	assert.Len(t, env.recordedCalls(), 2)
}

func TestSIGTERMFinishesCallsInFlightAndKeepsPendingWebhooks(t *testing.T) {
	env := startEnvironment(t, "token")
	env.handleCalls(func(n int, response http.ResponseWriter, _ string) {
		time.Sleep(time.Second)
		if n > 1 {
			response.Header().Set("Retry-After", "4.5")
			response.WriteHeader(429)
		}
	})
	env.submit("a1", "x")
	env.eventually("a call is in flight", env.receivedCalls(1))
	env.submit("a2", "x")
	env.signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	received := env.submitForAnswer("a3", "x")
	assert.Equal(t, 202, received.status, "webhooks are still accepted")
	assert.True(t, received.closeConnection, "the client is to use another dispatcher")
	time.Sleep(600 * time.Millisecond)
	assert.Equal(t, 503, env.submit("a4", "x"))
	start := time.Now()
	assert.NoError(t, env.process.Wait())
	assert.Less(t, time.Since(start), 3*time.Second)
	env.handleCalls(nil)
	before := len(env.recordedCalls())
	env.start()
	env.eventually("a pending webhook is delivered", env.receivedCalls(before+1))
	env.eventually("each pending webhook is called again", func() bool {
		text := fmt.Sprint(env.recordedCalls()[before:])
		return strings.Contains(text, "a2") && strings.Contains(text, "a3")
	})
	assert.NotContains(t, fmt.Sprint(env.recordedCalls()[1:]), "{/events a1", "the answered call is finished")
}

func TestBundledWebhooksHaveSeparateOutcomes(t *testing.T) {
	env := startEnvironment(t, "side_effect")
	outcomes := []string{"delivered", "failed", "over", "delivered"}
	env.handleCalls(func(n int, response http.ResponseWriter, body string) {
		if n == 1 {
			response.Header().Set("Retry-After", "0.4") // the others queue meanwhile
			response.WriteHeader(503)
			return
		}
		for i, outcome := range outcomes {
			if strings.Contains(body, fmt.Sprint("a", i, " ka")) {
				_, _ = fmt.Fprintf(response, "a%d %s\r\n", i, outcome)
			}
		}
	})
	for i := range outcomes {
		env.submit(fmt.Sprint("a", i), "bo\r\ndy")
	}
	env.eventually("called", env.receivedCalls(2))
	env.eventually("a failure is reported", env.receivedCallbacks(1))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, "/events/bundle", env.recordedCalls()[1].path)
	assert.Contains(t, env.recordedCalls()[1].body, "a1 ka1 6\r\nbo\r\ndy\r\n")
	assert.Equal(t, []string{`{"message":"a1","outcome":"given_up"}`}, env.recordedCallbacks())
	assert.Len(t, env.recordedCalls(), 2)
}

func TestFullBufferHandsBackWebhooksOfTheLeastValue(t *testing.T) {
	env := startEnvironment(t, "token")
	env.handleCalls(holdCall)
	accepted := 0
	for i := range 60 {
		switch status := env.submit(fmt.Sprint("a", i), "x"); status {
		case 202:
			accepted++
		default:
			assert.Equal(t, 503, status)
		}
	}
	env.eventually("the surplus is handed back", func() bool {
		return accepted-len(env.recordedCallbacks()) <= 50
	})
	assert.Greater(t, accepted, 40)
	assert.NotContains(t, fmt.Sprint(env.recordedCallbacks()), "given_up", "none of them may have run")
}
