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
	// healthCheckTimeout bounds a health check. Endpoints of this member's region answer within milliseconds unless all
	// their slots are in use. One that answers too late gets back into the table by its next heartbeat.
	healthCheckTimeout = 400 * time.Millisecond
	// maxHealthCheckBody is how many bytes of a response's body are read.
	maxHealthCheckBody = 4 << 10
)

// errUnconfirmed is returned for a process that runs under another endpoint ID or doesn't accept requests, and where no
// path for health checks is known.
var errUnconfirmed = errors.New("endpoint not confirmed: other ID, status other than 200, or no known health path")

// healthChecker asks endpoints by an HTTP health check whether they are running.
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

// check returns the endpoint with the time that it still warms up according to its response. Errors are those of the
// HTTP call, and errUnconfirmed if the response has a status other than 200 or another endpoint ID.
func (c *healthChecker) check(ctx context.Context, saved state.Endpoint, path string) (state.Endpoint, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+saved.Address+path, nil)
	if err != nil {
		return saved, errors.Wrap(err, "health check")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return saved, errors.Wrap(err, "health check")
	}
	defer func() { _ = response.Body.Close() }()                   // the rest of the body isn't needed
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
