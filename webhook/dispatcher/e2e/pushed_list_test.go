package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// enablePushedLists configures the registry mode `push` for the next start.
func (env *environment) enablePushedLists() {
	env.writeConfig(strings.Replace(env.readConfig(), `"fleetSize":1,`, `"fleetSize":1,"registryMode":"push",`, 1))
}

// A new process must wait for the list that its agent already has, since its stored list may name removed endpoints.
func TestNewProcessMakesNoCallsByItsStoredListBeforeTheAgentAnswered(t *testing.T) {
	env := startEnvironment(t, "token")
	for i := range 5 {
		env.kill()
		env.enablePushedLists()
		env.handleWatches(func(_ string, response http.ResponseWriter) {
			list := strings.Replace(env.endpointList("DRAINING"), `"generation":1`, `"generation":2`, 1)
			_, _ = fmt.Fprint(response, list)
			response.(http.Flusher).Flush()
		})
		env.start()
		assert.Equal(t, 202, env.submit(fmt.Sprint("a", i), "x"))
	}
	env.submit("b1", "x", "Request-Timeout-Ms", "400")
	env.eventually("expired, so that it would have been called", func() bool {
		return strings.Contains(strings.Join(env.recordedCallbacks(), "\n"), "b1")
	})
	assert.Empty(t, env.recordedCalls())
}

// While discovery is down, its agent doesn't answer: the stored list is the only one, and calls must not wait for another.
func TestNewProcessWithASilentAgentDeliversByItsStoredList(t *testing.T) {
	env := startEnvironment(t, "token")
	env.kill()
	env.platform = env.startServer(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
	env.configure("token", 3)
	env.enablePushedLists()
	env.start()
	assert.Equal(t, 202, env.submit("a1", "x"), "accepted meanwhile")
	env.eventually("delivered", env.receivedCalls(1))
}
