package registry

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/gateway"
	"rowanlink/internal/facts"
)

// counted waits next to nothing and counts what it was asked.
type counted struct{ waits atomic.Int64 }

func (c *counted) Next() gateway.Micros { c.waits.Add(1); return 1000 }
func (c *counted) Heard()               {}

// Without a wait before each, the first one too, a fleet that starts or is moved together asks in one moment.
func TestBeforeEachAskTheModuleIsAskedForAWait(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	waits := &counted{}
	var asks, hasty atomic.Int64
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if asks.Add(1) > waits.waits.Load() {
			hasty.Add(1)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go s.Serve(l)
	defer s.Close()
	r := New("127.0.0.1:1", facts.Names{}, waits, gateway.Second,
		func([]gateway.Entry, []string, bool) {}, func() {})
	r.Move(l.Addr().String())
	go r.Follow()
	require.Eventually(t, func() bool { return asks.Load() >= 5 }, 10*time.Second, time.Millisecond)
	assert.Zero(t, hasty.Load())
}
