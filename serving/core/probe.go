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

// What an endpoint's answer to a health check says of it.
const (
	endpointIDHeader = "X-Endpoint-Id"
	coldLeftHeader   = "X-Cold-Left" // milliseconds
)

const (
	// probeTimeout bounds a health check. Endpoints of the own region answer within milliseconds unless all their
	// slots are taken; one that is late is known by its next heartbeat.
	probeTimeout   = 400 * time.Millisecond
	probeBodyBytes = 4 << 10
)

// errNotConfirmed is returned for an endpoint that isn't the one that was kept, or doesn't take requests.
var errNotConfirmed = errors.New("endpoint isn't confirmed")

// prober asks endpoints by health checks whether they still are who they were.
type prober struct{ client *http.Client }

func newProber() *prober {
	dialer := &net.Dialer{Timeout: probeTimeout}
	return &prober{client: &http.Client{Timeout: probeTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}}}
}

// confirm returns the endpoint with the span that it is cold now, by its own word.
func (p *prober) confirm(ctx context.Context, kept state.Endpoint, path string) (state.Endpoint, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+kept.Address+path, nil)
	if err != nil {
		return kept, errors.Wrap(err, "health check")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return kept, errors.Wrap(err, "health check")
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, probeBodyBytes) // what it says beyond its head isn't needed
	if response.StatusCode != http.StatusOK || response.Header.Get(endpointIDHeader) != kept.ID {
		return kept, errNotConfirmed
	}
	kept.Unresponsive = false
	if cold, err := strconv.ParseFloat(response.Header.Get(coldLeftHeader), 64); err == nil {
		kept.WarmupLeftMillis = max(int64(cold), 0)
	}
	return kept, nil
}
