package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
)

// configureEventTypes writes the configuration with event types added after the two that are always present. Each is given
// as a JSON string, its name, and further members.
func (env *environment) configureEventTypes(added ...string) {
	env.t.Helper()
	env.configure("token", 3)
	const last = `"repeat":"pure"}`
	all := last
	for _, eventType := range added {
		all += fmt.Sprintf(`,{"name":%s,"aim":2500000000,"deadline":9000000000}`, eventType)
	}
	env.writeConfig(strings.Replace(env.readConfig(), last, all, 1))
}

// reload has the process reload its configuration, and waits until it has the given number of event types.
func (env *environment) reload(eventTypes int) {
	env.t.Helper()
	reloads := func() int { return strings.Count(env.output.String(), "configuration reloaded") }
	before := reloads()
	env.signal(syscall.SIGHUP)
	env.eventually("reloaded", func() bool { return reloads() > before })
	assert.Contains(env.t, env.output.String(), fmt.Sprint("event_types=", eventTypes))
}

// addDestinations adds an endpoint for each destination to the initial list.
func (env *environment) addDestinations(destinations ...string) {
	first := env.initialList[strings.Index(env.initialList, "[")+1 : strings.Index(env.initialList, "]")]
	for _, destination := range destinations {
		replacer := strings.NewReplacer("s-1", "s-1"+destination, `"cell":3`, `"cell":`+destination)
		env.initialList = strings.Replace(env.initialList, "]", ","+replacer.Replace(first)+"]", 1)
	}
}

// Guards against a call in flight that is lost, retried or ended by other settings than its own because its endpoint, its
// destination or its event type is removed from the list and the settings.
func TestCallsInFlightSurviveTheRemovalOfTheirSettings(t *testing.T) {
	env := startEnvironment(t, "token")
	env.kill()
	env.addDestinations("4", "5", "6")
	env.configureEventTypes(`"later","repeat":"pure"`, `"once","repeat":"side_effect"`)
	env.start()
	answerCalls := make(chan bool)
	env.handleCalls(func(_ int, response http.ResponseWriter, body string) {
		<-answerCalls
		if body != "ends" {
			closeConnection(response)
		}
	})
	for _, webhook := range []struct{ id, eventType, destination string }{
		{"moves", "later", "3"},
		{"gone", "status", "4"},
		{"breaks", "once", "5"},
		{"ends", "once", "6"},
	} {
		status := env.submit(webhook.id, webhook.id, "Request-Class", webhook.eventType,
			"X-Route-To", "dest="+webhook.destination, "Request-Timeout-Ms", "4000")
		assert.Equal(t, 202, status)
	}
	env.eventually("all calls are in flight", env.receivedCalls(4))
	removed, callsToNew := env.endpoint, make(chan string, 9)
	env.endpoint = env.startServer(func(_ http.ResponseWriter, request *http.Request) {
		callsToNew <- request.Header.Get("Request-Id")
	})
	newGeneration := strings.NewReplacer("s-1", "s-2", `"generation":1`, `"generation":2`)
	env.initialList = newGeneration.Replace(env.endpointList("SERVING"))
	env.handleWatches(func(_ string, response http.ResponseWriter) {
		_, _ = fmt.Fprintln(response, env.initialList)
		response.(http.Flusher).Flush()
	})
	env.platform = env.startServer(env.handlePlatform)
	env.configureEventTypes()
	env.reload(2)
	env.eventually("the new list is in force", env.hasMetric("rowanlink_lists_total 2"))
	close(answerCalls)
	env.eventually("retried at the new endpoint by its own terms", func() bool { return len(callsToNew) == 1 })
	env.eventually("the outcomes of the others are reported", env.receivedCallbacks(2))
	env.eventually("delivered", env.hasMetric("rowanlink_attempts_delivered_total 2"))
	assert.ElementsMatch(t, []string{
		`{"message":"gone","outcome":"given_up"}`,
		`{"message":"breaks","outcome":"given_up"}`,
	}, env.recordedCallbacks())
	assert.Len(t, env.recordedCalls(), 4, "the removed endpoint %s is not called again", removed)
	assert.Equal(t, "moves", <-callsToNew)
	assert.Empty(t, callsToNew)
}

// Guards against a duplicate and against a lost webhook when an event type is removed while one of its webhooks is pending:
// after a reload the webhook is still delivered by the settings of its event type, after a restart it is not retried.
func TestRemovedEventTypeIsNotRetriedAfterARestart(t *testing.T) {
	for name, eventTypesAfterRestart := range map[string][]string{
		"removed":                            nil,
		"its position has another":           {`"other","repeat":"pure"`},
		"it now has a token that it had not": {`"later","repeat":"token","window":8000000000`},
	} {
		t.Run(name, func(t *testing.T) { testRemovedEventType(t, eventTypesAfterRestart) })
	}
}

func testRemovedEventType(t *testing.T, eventTypesAfterRestart []string) {
	env := startEnvironment(t, "token")
	env.kill()
	env.initialList = strings.Replace(env.initialList, `}]}`, `},{"instanceId":"s-2","hostPort":"`+env.endpoint+
		`","zone":"a","machineType":"bulk","cell":4,"lifecycle":"DRAINING","weight":500}]}`, 1)
	env.configureEventTypes(`"later","repeat":"pure"`)
	env.start()
	env.handleCalls(func(n int, response http.ResponseWriter, _ string) {
		if n == 1 {
			closeConnection(response)
		} else {
			holdConnection(response)
		}
	})
	assert.Equal(t, 202, env.submit("ran", "x", "Request-Class", "later", "Idempotency-Key", ""))
	assert.Equal(t, 202, env.submit("waits", "x", "Request-Class", "later", "X-Route-To", "dest=4"))
	env.configureEventTypes()
	env.reload(2)
	env.configureEventTypes(`"third","repeat":"pure"`)
	env.signal(syscall.SIGHUP)
	env.eventually("the configuration is rejected", func() bool {
		return strings.Contains(env.output.String(), `\"third\" replaces \"later\"`)
	})
	assert.Equal(t, 400, env.submit("new", "x", "Request-Class", "later"))
	env.eventually("retried by its own terms", env.receivedCalls(2))
	env.kill()
	env.handleCalls(nil)
	env.initialList = strings.Replace(env.initialList, "DRAINING", "SERVING", 1)
	env.configureEventTypes(eventTypesAfterRestart...)
	env.start()
	env.eventually("its outcome is reported", env.receivedCallbacks(1))
	env.eventually("the webhook that never ran is called", env.receivedCalls(3))
	assert.Equal(t, "waits", env.recordedCalls()[2].id)
	env.eventually("delivered", env.hasMetric("rowanlink_attempts_delivered_total 1"))
	assert.Equal(t, []string{`{"message":"ran","outcome":"given_up"}`}, env.recordedCallbacks())
	assert.Len(t, env.recordedCalls(), 3)
}
