package e2e_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pushed has the dispatcher's next start take lists for pushed.
func (w *world) pushed() {
	path := filepath.Join(w.dir, "config.json")
	was, err := os.ReadFile(path)
	require.NoError(w.t, err)
	now := strings.Replace(string(was), `"fleetSize":1,`, `"fleetSize":1,"registryMode":"push",`, 1)
	require.NoError(w.t, os.WriteFile(path, []byte(now), 0o600))
}

// What the agent has counts from a new process's first moment, while its kept list names what is gone.
func TestNewProcessCallsNobodyByItsKeptListBeforeTheAgentAnswered(t *testing.T) {
	w := begin(t, "token")
	for i := range 5 {
		w.kill()
		w.pushed()
		w.set(func() {
			w.watch = func(_ string, rw http.ResponseWriter) {
				fmt.Fprint(rw, strings.Replace(w.listed("DRAINING"), `"generation":1`, `"generation":2`, 1))
				rw.(http.Flusher).Flush()
			}
		})
		w.start()
		assert.Equal(t, 202, w.hand(fmt.Sprint("a", i), "x").StatusCode)
	}
	w.hand("b1", "x", "Request-Timeout-Ms", "400")
	w.soon("out of time, so that it would have been called", func() bool {
		return strings.Contains(strings.Join(w.heard(), "\n"), "b1")
	})
	assert.Empty(t, w.seen())
}

// While discovery is down its agent is silent: the kept list is all there is, and nobody waits for more.
func TestNewProcessWithASilentAgentTakesOnAndDeliversByItsKeptList(t *testing.T) {
	w := begin(t, "token")
	w.kill()
	w.platform = w.serve(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	w.configure("token", 3)
	w.pushed()
	w.start()
	assert.Equal(t, 202, w.hand("a1", "x").StatusCode, "taken on meanwhile")
	w.soon("delivered", w.called(1))
}
