package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// callTimeout bounds one call to a control address.
	callTimeout = time.Second
	// maxAcknowledgementSize bounds the response to a heartbeat, in bytes.
	maxAcknowledgementSize = 4 << 10
	// drainRetryInterval is the time between heartbeats that report a closing endpoint until one is acknowledged.
	drainRetryInterval = 200 * time.Millisecond
)

// heartbeatSender sends heartbeats so that the endpoint stays registered.
type heartbeatSender struct {
	endpoint *Endpoint
	client   *http.Client
	wake     chan struct{}

	mutex            sync.Mutex
	draining         bool
	deregistered     bool          // the endpoint has begun to deregister
	acknowledged     chan struct{} // closed when the report of draining was acknowledged
	sequence         uint64
	preferredAddress string // where further heartbeats go first; empty: none was requested
	nextControl      int    // index of the control address to try first
}

func newHeartbeatSender(e *Endpoint) *heartbeatSender {
	return &heartbeatSender{
		endpoint:     e,
		client:       &http.Client{Timeout: callTimeout},
		wake:         make(chan struct{}, 1),
		acknowledged: make(chan struct{}),
	}
}

// announceDraining has the heartbeats report from now on that the endpoint is closing. The channel is closed when that
// has been acknowledged.
func (h *heartbeatSender) announceDraining() <-chan struct{} {
	h.mutex.Lock()
	h.draining = true
	h.mutex.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
	return h.acknowledged
}

// isLeaving reports whether the endpoint has announced that it is closing or has begun to deregister.
func (h *heartbeatSender) isLeaving() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.draining || h.deregistered
}

// run sends heartbeats until the context ends.
func (h *heartbeatSender) run(ctx context.Context) {
	defer h.client.CloseIdleConnections()
	acknowledged := false // that the endpoint is closing
	for ctx.Err() == nil {
		draining, err := h.sendHeartbeat(ctx)
		if draining && err == nil && !acknowledged {
			acknowledged = true
			close(h.acknowledged)
		}
		interval := h.endpoint.options.HeartbeatInterval
		if err != nil || draining && !acknowledged {
			interval = min(interval, drainRetryInterval)
		}
		h.sleep(ctx, interval)
	}
}

// sleep waits for a time, until it is woken or until the context ends.
func (h *heartbeatSender) sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.wake:
	case <-ctx.Done():
	}
}

// sendHeartbeat sends one heartbeat and returns whether it reported that the endpoint is closing.
func (h *heartbeatSender) sendHeartbeat(ctx context.Context) (draining bool, err error) {
	h.mutex.Lock()
	draining = h.draining
	h.mutex.Unlock()
	responseBody, err := h.callControl(ctx, heartbeatPath, func(sequence uint64) ([]byte, error) {
		return json.Marshal(h.endpoint.currentHeartbeat(draining, sequence))
	})
	if err != nil {
		return draining, err
	}
	var response heartbeatResponse
	if json.Unmarshal(responseBody, &response) == nil {
		h.mutex.Lock()
		h.preferredAddress = response.ForwardTo
		h.mutex.Unlock()
	}
	return draining, nil
}

// deregister reports, once, that the endpoint has ended.
func (h *heartbeatSender) deregister(ctx context.Context) error {
	h.mutex.Lock()
	h.deregistered = true
	h.mutex.Unlock()
	_, err := h.callControl(ctx, deregisterPath, func(uint64) ([]byte, error) { return nil, nil })
	return err
}

// callControl calls the preferred address, then each control address in turn, until one responds with 2xx. encode
// returns the body of each call.
func (h *heartbeatSender) callControl(
	ctx context.Context, path string, encode func(sequence uint64) ([]byte, error),
) (responseBody []byte, err error) {
	err = errors.New("no control address")
	for _, address := range h.controlTargets() {
		body, encodeErr := encode(h.nextSequence())
		if encodeErr != nil {
			return nil, encodeErr
		}
		if responseBody, err = h.post(ctx, "http://"+address+path+h.endpoint.ID, body); err == nil {
			return responseBody, nil
		}
		h.recordFailure(address)
	}
	return nil, err
}

// controlTargets returns the addresses to call, the best first.
func (h *heartbeatSender) controlTargets() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var targets []string
	if h.preferredAddress != "" {
		targets = append(targets, h.preferredAddress)
	}
	control := h.endpoint.options.Control
	for i := range control {
		targets = append(targets, control[(h.nextControl+i)%len(control)])
	}
	return targets
}

// recordFailure records that an address has not responded.
func (h *heartbeatSender) recordFailure(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if address == h.preferredAddress {
		h.preferredAddress = ""
		return
	}
	h.nextControl++
}

func (h *heartbeatSender) nextSequence() uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.sequence++
	return h.sequence
}

func (h *heartbeatSender) post(ctx context.Context, url string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "control address")
	}
	request.Header.Set(headerContentType, typeJSON)
	response, err := h.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	acknowledgement, err := io.ReadAll(io.LimitReader(response.Body, maxAcknowledgementSize+1))
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode/100 != 2 || len(acknowledgement) > maxAcknowledgementSize:
		return nil, errors.Newf("%s: %s", url, response.Status)
	}
	return acknowledgement, nil
}

// currentHeartbeat returns the endpoint's heartbeat.
func (e *Endpoint) currentHeartbeat(draining bool, sequence uint64) heartbeat {
	message := heartbeat{
		Service:    e.options.Service,
		Address:    e.address,
		Zone:       e.options.Zone,
		Edition:    e.options.Edition,
		Slots:      e.options.Slots,
		State:      stateAccepting,
		ColdMillis: e.warmup.remaining(time.Now()).Milliseconds(),
		Sequence:   sequence,
		Models:     e.models(),
	}
	if draining {
		message.State = stateClosing
	}
	if e.options.Engine != nil {
		message.Stage = stageBoth
	}
	return message
}

// models returns the models that the endpoint serves.
func (e *Endpoint) models() []model {
	if e.options.Engine == nil {
		return nil
	}
	return []model{{Name: e.options.Engine.Model, Edition: 1, Adapters: []string{}}}
}
