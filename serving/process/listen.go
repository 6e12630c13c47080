package process

import (
	"context"
	"net"
	"time"
)

const (
	// listenRetryInterval and maxListenAttempts limit how long a starting process waits for an address on which the
	// previous process may still be listening.
	listenRetryInterval = 100 * time.Millisecond
	maxListenAttempts   = 30
	// keepAliveIdle, keepAliveInterval and keepAliveProbes are the parameters of the TCP keep-alive probes. The probes
	// end a connection whose peer has lost power or is partitioned and therefore can't close it.
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 3 * time.Second
	keepAliveProbes   = 3
)

// Listen listens on a TCP address. It retries for about three seconds, as the previous process may still be listening
// on the address. Connections use plain TCP, never multipath, with keep-alive probes.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := newListenConfig()
	for attempt := 1; ; attempt++ {
		listener, err := config.Listen(ctx, "tcp", address)
		if err == nil || attempt == maxListenAttempts || ctx.Err() != nil {
			return listener, err
		}
		retry := time.NewTimer(listenRetryInterval)
		select {
		case <-retry.C:
		case <-ctx.Done():
			retry.Stop()
		}
	}
}

func newListenConfig() *net.ListenConfig {
	config := &net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveProbes,
	}}
	config.SetMultipathTCP(false)
	return config
}
