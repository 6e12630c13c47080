package session_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
)

// When a holder is partitioned, the next holder continues with the actions. Once the next holder has reported one, the
// earlier holder reports none.
func TestRunLeaseWorkload_ActsOnlyWhileTheLeaseIsHeld(t *testing.T) {
	var mu sync.Mutex
	var reports []string
	guard := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		reports = append(reports, r.URL.Path+" "+r.FormValue("member"))
		rw.WriteHeader(http.StatusNoContent)
	}))
	defer guard.Close()
	c := startCluster(t, leaseTTL)
	env := func(name string) string {
		return map[string]string{"ROWAN_GUARD": strings.TrimPrefix(guard.URL, "http://"),
			"ROWAN_GUARD_TASKS": "job/1"}[name]
	}
	isReported := func(report string) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return slices.Contains(reports, report)
		}
	}
	a := c.startSession("a")
	a.RunLeaseWorkload(env)
	require.Eventually(t, isReported("/end a"), longTimeout, time.Millisecond)
	b := c.startSession("b")
	b.RunLeaseWorkload(env)
	c.partition("a", c.names...)
	require.Eventually(t, isReported("/end b"), longTimeout, time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	first := slices.IndexFunc(reports, func(s string) bool { return strings.HasSuffix(s, " b") })
	require.False(t, slices.ContainsFunc(reports[first:], func(s string) bool { return strings.HasSuffix(s, " a") }))
	_, held := b.Holds(cluster.Resource("job/1"))
	require.True(t, held)
}
