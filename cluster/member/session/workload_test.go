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

// Deeds go on from one holder to the next: none is told of after its holder's leaseTTL.
func TestDeedsAreDoneByWhoeverHolds(t *testing.T) {
	var mu sync.Mutex
	var by []string
	guard := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		by = append(by, r.URL.Path+" "+r.FormValue("member"))
		rw.WriteHeader(http.StatusNoContent)
	}))
	defer guard.Close()
	f := keepers(t, 3, leaseTTL)
	env := func(name string) string {
		return map[string]string{"ROWAN_GUARD": strings.TrimPrefix(guard.URL, "http://"),
			"ROWAN_GUARD_TASKS": "job/1"}[name]
	}
	told := func(what string) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return slices.Contains(by, what)
		}
	}
	a := f.member("a")
	a.RunLeaseWorkload(env)
	require.Eventually(t, told("/end a"), longTimeout, time.Millisecond)
	b := f.member("b")
	b.RunLeaseWorkload(env)
	f.cut("a", true, f.names...)
	require.Eventually(t, told("/end b"), longTimeout, time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	first := slices.IndexFunc(by, func(s string) bool { return strings.HasSuffix(s, " b") })
	require.False(t, slices.ContainsFunc(by[first:], func(s string) bool { return strings.HasSuffix(s, " a") }))
	_, held := b.Holds(cluster.Resource("job/1"))
	require.True(t, held)
}
