package process

import (
	"context"
	"net"
	"time"
)

// How a process listens.
const (
	// listenRetry and listenTries bound how long a process that was just started waits for an address that the
	// process before it may still hold.
	listenRetry = 100 * time.Millisecond
	listenTries = 30
	// A caller that has lost power or is cut off says nothing. Its connection ends after probeAfter and probeCount
	// probes without an answer.
	probeAfter    = 10 * time.Second
	probeInterval = 3 * time.Second
	probeCount    = 3
)

// Listen listens at a TCP address. It tries for about three seconds: the process before this one may still hold it.
// Connections are plain TCP, never multipath, and are probed while they rest.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := listenConfig()
	for tried := 1; ; tried++ {
		listener, err := config.Listen(ctx, "tcp", address)
		if err == nil || tried == listenTries || ctx.Err() != nil {
			return listener, err
		}
		retry := time.NewTimer(listenRetry)
		select {
		case <-retry.C:
		case <-ctx.Done():
			retry.Stop()
		}
	}
}

func listenConfig() *net.ListenConfig {
	config := &net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeAfter, Interval: probeInterval, Count: probeCount,
	}}
	config.SetMultipathTCP(false)
	return config
}
