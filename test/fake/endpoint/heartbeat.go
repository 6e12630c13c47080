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
	// callTimeout bounds one call of a control address.
	callTimeout = time.Second
	// acknowledgementMost bounds the answer to a heartbeat, in bytes.
	acknowledgementMost = 4 << 10
	// hurriedInterval is between heartbeats of an endpoint whose closing nobody has acknowledged.
	hurriedInterval = 200 * time.Millisecond
)

// heartbeats keeps the endpoint registered.
type heartbeats struct {
	endpoint *Endpoint
	client   *http.Client
	wake     chan struct{}

	mutex        sync.Mutex
	leaving      bool
	acknowledged chan struct{} // closed when the closing was acknowledged
	sequence     uint64
	forward      string // where later heartbeats go; empty: no wish was told
	next         int    // of the control addresses
}

func newHeartbeats(e *Endpoint) *heartbeats {
	return &heartbeats{endpoint: e, client: &http.Client{Timeout: callTimeout}, wake: make(chan struct{}, 1),
		acknowledged: make(chan struct{})}
}

// closing has the heartbeats say from now on that the endpoint is closing. The channel is closed when somebody has
// acknowledged that.
func (h *heartbeats) closing() <-chan struct{} {
	h.mutex.Lock()
	h.leaving = true
	h.mutex.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
	return h.acknowledged
}

// run sends heartbeats until the context ends.
func (h *heartbeats) run(ctx context.Context) {
	defer h.client.CloseIdleConnections()
	told := false // that the endpoint is closing
	for ctx.Err() == nil {
		leaving, err := h.beat(ctx)
		if leaving && err == nil && !told {
			told = true
			close(h.acknowledged)
		}
		pause := h.endpoint.options.BeatInterval
		if err != nil || leaving && !told {
			pause = min(pause, hurriedInterval)
		}
		h.rest(ctx, pause)
	}
}

func (h *heartbeats) rest(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.wake:
	case <-ctx.Done():
	}
}

// beat sends one heartbeat and tells whether it said that the endpoint is closing.
func (h *heartbeats) beat(ctx context.Context) (leaving bool, err error) {
	h.mutex.Lock()
	leaving = h.leaving
	h.mutex.Unlock()
	answer, err := h.call(ctx, beatPath, func(sequence uint64) ([]byte, error) {
		return json.Marshal(h.endpoint.heartbeat(leaving, sequence))
	})
	if err != nil {
		return leaving, err
	}
	var told heartbeatAnswer
	if json.Unmarshal(answer, &told) == nil {
		h.mutex.Lock()
		h.forward = told.ForwardTo
		h.mutex.Unlock()
	}
	return leaving, nil
}

// signOff says the last word, once.
func (h *heartbeats) signOff(ctx context.Context) {
	_, _ = h.call(ctx, signOffPath, func(uint64) ([]byte, error) { return nil, nil })
}

// call goes to the address that was told, then to each control address in turn, until one answers with 2xx.
func (h *heartbeats) call(ctx context.Context, path string, body func(sequence uint64) ([]byte, error)) (answer []byte,
	err error) {
	err = errors.New("no control address")
	for _, address := range h.targets() {
		sent, failed := body(h.count())
		if failed != nil {
			return nil, failed
		}
		if answer, err = h.post(ctx, "http://"+address+path+h.endpoint.ID, sent); err == nil {
			return answer, nil
		}
		h.failed(address)
	}
	return nil, err
}

// targets are the addresses to call, the best first.
func (h *heartbeats) targets() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var targets []string
	if h.forward != "" {
		targets = append(targets, h.forward)
	}
	control := h.endpoint.options.Control
	for i := range control {
		targets = append(targets, control[(h.next+i)%len(control)])
	}
	return targets
}

// failed notes that an address did not answer.
func (h *heartbeats) failed(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if address == h.forward {
		h.forward = ""
		return
	}
	h.next++
}

func (h *heartbeats) count() uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.sequence++
	return h.sequence
}

func (h *heartbeats) post(ctx context.Context, url string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "control address")
	}
	request.Header.Set(headerContentType, typeJSON)
	response, err := h.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, acknowledgementMost+1))
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode/100 != 2 || len(answer) > acknowledgementMost:
		return nil, errors.Newf("%s: %s", url, response.Status)
	}
	return answer, nil
}

// heartbeat is what the endpoint says of itself.
func (e *Endpoint) heartbeat(leaving bool, sequence uint64) heartbeat {
	beat := heartbeat{Service: e.options.Service, Address: e.address, Zone: e.options.Zone, Edition: e.options.Edition,
		Slots: e.options.Slots, State: stateAccepting, ColdMillis: e.cold.left(time.Now()).Milliseconds(),
		Sequence: sequence, Models: e.models()}
	if leaving {
		beat.State = stateClosing
	}
	if e.options.Engine != nil {
		beat.Stage = stageBoth
	}
	return beat
}

// models are those that the endpoint serves.
func (e *Endpoint) models() []model {
	if e.options.Engine == nil {
		return nil
	}
	return []model{{Name: e.options.Engine.Model, Edition: 1, Adapters: []string{}}}
}
