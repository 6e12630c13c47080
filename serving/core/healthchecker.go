package core

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/serving/state"
)

// Headers of an endpoint's response to a health check.
const (
	endpointIDHeader = "X-Endpoint-Id"
	warmupLeftHeader = "X-Cold-Left" // milliseconds
)

const (
	// healthCheckTimeout bounds a health check. Endpoints of the own region answer within milliseconds unless all their
	// slots are in use; one that is too late is found again by its next heartbeat.
	healthCheckTimeout = 400 * time.Millisecond
	// maxHealthCheckBody is how many bytes of a response's body are read.
	maxHealthCheckBody = 4 << 10
)

// errUnconfirmed is returned for an endpoint that isn't the saved one or doesn't take requests.
var errUnconfirmed = errors.New("endpoint isn't confirmed")

// healthChecker checks by health checks whether saved endpoints are still running.
type healthChecker struct{ client *http.Client }

func newHealthChecker() *healthChecker {
	dialer := &net.Dialer{Timeout: healthCheckTimeout}
	return &healthChecker{client: &http.Client{
		Timeout: healthCheckTimeout,
		Transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}}
}

// check returns the saved endpoint with its present time to warm up, as the endpoint itself reports it.
func (c *healthChecker) check(ctx context.Context, saved state.Endpoint, path string) (state.Endpoint, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+saved.Address+path, nil)
	if err != nil {
		return saved, errors.Wrap(err, "health check")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return saved, errors.Wrap(err, "health check")
	}
	defer func() { _ = response.Body.Close() }()                   // it was read as far as needed
	_, _ = io.CopyN(io.Discard, response.Body, maxHealthCheckBody) // only the headers are needed
	if response.StatusCode != http.StatusOK || response.Header.Get(endpointIDHeader) != saved.ID {
		return saved, errUnconfirmed
	}
	confirmed := saved
	confirmed.Unresponsive = false
	if warmupLeft, err := strconv.ParseFloat(response.Header.Get(warmupLeftHeader), 64); err == nil {
		confirmed.WarmupLeftMillis = max(int64(warmupLeft), 0)
	}
	return confirmed, nil
}
