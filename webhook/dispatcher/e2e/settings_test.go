package e2e_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against SIGHUP ending the process, and against a watch and callbacks that keep using the old address.
func TestSIGHUPMovesWatchAndCallbacksAndAnInvalidFileChangesNothing(t *testing.T) {
	env := startEnvironment(t, "side_effect")
	env.handleCalls(failCall)
	env.writeConfig("{")
	env.signal(syscall.SIGHUP)
	env.submit("a1", "x")
	env.eventually("reported to the old address", env.receivedCallbacks(1))
	watches, callbacks := make(chan string, 9), make(chan string, 9)
	env.platform = env.startServer(func(response http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/v2/finals" {
			body, _ := io.ReadAll(request.Body)
			callbacks <- string(body)
			response.WriteHeader(http.StatusNoContent)
			return
		}
		watches <- request.URL.Query().Get("since")
		response.(http.Flusher).Flush()
		<-request.Context().Done()
	})
	env.configure("side_effect", 3)
	env.signal(syscall.SIGHUP)
	assert.Equal(t, "1", <-watches, "the watch resumes after the last generation received")
	env.submit("a2", "x")
	assert.Contains(t, <-callbacks, "a2")
	assert.Len(t, env.recordedCallbacks(), 1)
	env.kill()
	assert.Equal(t, 1, strings.Count(env.output.String(), "the old one stays"))
}

func TestInvalidConfigurationEndsTheStartWithOneLine(t *testing.T) {
	env := &environment{t: t, dir: t.TempDir()}
	for _, text := range []string{
		"",
		"{",
		"[]",
		`{"seed":"1"}`,
		`{"seed":"1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{}}`,
	} {
		env.writeConfig(text)
		output, err := env.command().CombinedOutput()
		assert.Error(t, err, text)
		assert.Equal(t, 1, strings.Count(string(output), "\n"), text)
	}
}

// executions counts the executions of each webhook at the endpoint.
type executions struct {
	count map[string]int
	last  map[string]time.Time
}

func (e executions) clone() executions {
	return executions{count: maps.Clone(e.count), last: maps.Clone(e.last)}
}

// reloadScenario submits webhooks while the configuration changes.
type reloadScenario struct {
	*environment
	executed executions // guarded by the environment's mutex
	accepted []string
}

func startReloadScenario(t *testing.T) *reloadScenario {
	s := &reloadScenario{
		environment: startEnvironment(t, "token"),
		executed:    executions{count: map[string]int{}, last: map[string]time.Time{}},
	}
	s.handleCalls(func(n int, response http.ResponseWriter, id string) {
		time.Sleep(50 * time.Millisecond)
		if n%5 == 0 {
			response.WriteHeader(503) // rejected without an effect
			return
		}
		s.update(func() {
			s.executed.count[id]++
			s.executed.last[id] = time.Now()
		})
	})
	return s
}

// load writes a configuration and reloads it until a text is in the log.
func (s *reloadScenario) load(config, logText string) {
	s.t.Helper()
	s.writeConfig(config)
	s.signal(syscall.SIGHUP)
	s.eventually(logText, func() bool { return strings.Contains(s.output.String(), logText) })
}

// submitBurst submits 20 webhooks and records those that are accepted.
func (s *reloadScenario) submitBurst(name string) {
	s.t.Helper()
	for i := range 20 {
		id := fmt.Sprintf("%s-%d.", name, i)
		if s.submit(id, id) < 300 {
			s.accepted = append(s.accepted, id)
		}
	}
}

func (s *reloadScenario) awaitOutcomes() {
	s.t.Helper()
	for _, id := range s.accepted {
		s.eventually(id+" has an outcome", func() bool {
			done := strings.Contains(fmt.Sprint(s.recordedCallbacks()), id)
			s.update(func() { done = done || s.executed.count[id] > 0 })
			return done
		})
	}
}

// Guards against a reload, forward or back, that loses or duplicates accepted webhooks; the process is killed in between.
func TestNewSettingsForwardAndBackUnderLoadLoseAndDuplicateNothing(t *testing.T) {
	s := startReloadScenario(t)
	old := strings.Replace(s.readConfig(), `"batchByKind":[4]`, `"batchByKind":[1]`, 1)
	next := strings.NewReplacer(`"slots":6`, `"slots":2`, `"openCap":50`, `"openCap":10`, `"kinds":["bulk"]`,
		`"kinds":["bulk","small"]`, `"repeat":"pure"}]`, `"repeat":"pure"},
		{"name":"later","aim":2500000000,"deadline":9000000000,"repeat":"pure"}]`).Replace(old)
	s.load(old, "slots=6")
	s.submitBurst("a")
	s.load(next, "slots=2")
	s.submitBurst("b")
	assert.Less(t, len(s.accepted), 40, "pending webhooks drain, and few are accepted meanwhile")
	s.load(strings.Replace(old, `"status"`, `"renamed"`, 1), "the old one stays")
	s.load(strings.Replace(old, s.listen, "127.0.0.1:1", 1), "listen can't change")
	s.writeConfig(next)
	killedAt := time.Now()
	var atKill executions
	s.update(func() { atKill = s.executed.clone() })
	s.kill()
	assert.Less(t, len(atKill.count), len(s.accepted), "some are pending or in flight")
	s.start()
	s.eventually("the new file's event type is known", func() bool {
		return s.submit("x", "x", "Request-Class", "later", "Idempotency-Key", "") < 300
	})
	s.load(old, "slots=6")
	assert.Equal(t, 400, s.submit("y", "y", "Request-Class", "later"), "the old settings are in force again")
	s.submitBurst("c")
	require.Greater(t, len(s.accepted), 30)
	s.awaitOutcomes()
	time.Sleep(time.Second / 2) // a duplicate or a second callback would arrive within the next backoff
	s.update(func() {
		for _, id := range s.accepted {
			// The answer to a call shortly before the kill may not have arrived.
			mayRetry := atKill.count[id] == 0 || killedAt.Sub(atKill.last[id]) < time.Second/10
			limit := 1
			if mayRetry && !strings.HasPrefix(id, "c") {
				limit = 2 // the next process may retry it, with its token
			}
			assert.LessOrEqual(t, s.executed.count[id], limit, id)
			assert.LessOrEqual(t, strings.Count(fmt.Sprint(s.callbacks), id), 1, id)
		}
	})
	for _, call := range s.recordedCalls() {
		assert.Contains(t, []string{"k" + call.id, ""}, call.token, "a retry carries its token")
	}
}
