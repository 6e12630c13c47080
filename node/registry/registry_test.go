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

// A discovery that refuses and is asked four times a second by each of a fleet never comes to serve any.
func TestADiscoveryThatRefusesIsAskedEverMoreRarely(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var asks atomic.Int64
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asks.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go s.Serve(l)
	defer s.Close()
	r := New(l.Addr().String(), facts.Names{}, 7, gateway.Second,
		func([]gateway.Entry, []string, bool) {}, func() {})
	go r.Follow()
	time.Sleep(3 * time.Second)
	assert.Positive(t, asks.Load())
	assert.LessOrEqual(t, asks.Load(), int64(7), "a pause of a quarter second makes 12")
}
