package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDrainingUpdateStopsCallsAndASilentWatchIsRenewed(t *testing.T) {
	env := startEnvironment(t, "token")
	env.kill()
	watches := make(chan string, 9)
	env.handleWatches(func(since string, response http.ResponseWriter) {
		watches <- since
		if since == "1" {
			snapshot, delta := `"generation":1,"reset":true`, `"generation":2,"reset":false`
			_, _ = fmt.Fprintf(response, "\n%s\n", strings.Replace(env.endpointList("DRAINING"), snapshot, delta, 1))
			response.(http.Flusher).Flush()
		}
	})
	env.start()
	assert.Equal(t, "1", <-watches)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, 202, env.submit("a1", "x"))
	select {
	case since := <-watches:
		assert.Equal(t, "2", since, "the watch resumes after the last generation received")
	case <-time.After(5 * time.Second):
		assert.Fail(t, "a watch without its heartbeat line was not renewed")
	}
	assert.Empty(t, env.recordedCalls())
}

func TestMalformedListIsRequestedAgainAndAResetRemovesMissingEndpoints(t *testing.T) {
	env := startEnvironment(t, "token")
	env.kill()
	watches := make(chan string, 9)
	env.handleWatches(func(since string, response http.ResponseWriter) {
		watches <- since
		if len(watches) == 1 {
			_, _ = fmt.Fprint(response, "{\"generation\":2,\n")
		} else {
			_, _ = fmt.Fprint(response, "{\"generation\":3,\"reset\":true,\"instances\":[]}\n")
		}
		response.(http.Flusher).Flush()
	})
	env.start()
	env.eventually("watched again", func() bool { return len(watches) == 2 })
	assert.Equal(t, []string{"1", "1"}, []string{<-watches, <-watches})
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, 202, env.submit("a1", "x"))
	time.Sleep(100 * time.Millisecond)
	assert.Empty(t, env.recordedCalls())
}
