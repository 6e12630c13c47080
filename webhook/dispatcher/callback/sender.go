// Package callback reports webhooks that ended undelivered to the platform. Each callback is repeated until the platform
// has acknowledged it.
package callback

import (
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

const (
	callTimeout = 500 * time.Millisecond // the platform's agent answers at once
	retryDelay  = callTimeout / 10
	maxBatch    = 256 // callbacks in one call
	path        = "/v2/finals"
)

// Sender holds the callbacks that are not yet acknowledged. It is safe for concurrent use.
type Sender struct {
	counters     *inflight.Counters
	acknowledged func([]api.WebhookID)
	wakeUp       chan struct{}
	batchSize    int // of the next call; belongs to Run

	mu     sync.Mutex
	client *fasthttp.HostClient
	queue  []queued
}

type queued struct {
	id   api.WebhookID
	line []byte
}

// New returns a Sender that sends to the platform's address. acknowledged is called with the webhooks whose callbacks the
// platform has acknowledged, or rejected as malformed.
func New(address string, counters *inflight.Counters, acknowledged func([]api.WebhookID)) *Sender {
	return &Sender{
		counters:     counters,
		acknowledged: acknowledged,
		wakeUp:       make(chan struct{}, 1),
		batchSize:    maxBatch,
		client:       newClient(address),
	}
}

// newClient returns an HTTP client that may retry a request by itself, since callbacks are idempotent.
func newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: address, MaxConns: 1, ReadTimeout: callTimeout, WriteTimeout: callTimeout}
}

// SetAddress has later callbacks sent to the platform at another address.
func (s *Sender) SetAddress(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.CloseIdleConnections()
	s.client = newClient(address)
}

// DeadLettered returns the callback of a webhook that was given up although it may have run.
func DeadLettered(requestID inflight.RequestID) []byte {
	return []byte(`{"message":` + strconv.Quote(string(requestID)) + `,"outcome":"given_up"}` + "\n")
}

// Rejected returns the callback of a rejected webhook, with the time after which it may be submitted again, if any.
func Rejected(requestID inflight.RequestID, retryAfter api.Micros) []byte {
	line := `{"message":` + strconv.Quote(string(requestID)) + `,"outcome":"handed_back"`
	if retryAfter > 0 {
		line += `,"retry_in_ms":` + strconv.FormatInt(int64((retryAfter+999)/1000), 10)
	}
	return []byte(line + "}\n")
}

// Enqueue adds a callback.
func (s *Sender) Enqueue(id api.WebhookID, line []byte) {
	s.mu.Lock()
	s.queue = append(s.queue, queued{id, line})
	s.mu.Unlock()
	select {
	case s.wakeUp <- struct{}{}:
	default:
	}
}

// Run sends until the process ends.
func (s *Sender) Run() {
	for range s.wakeUp {
		for s.sendBatch() {
		}
	}
}

// sendBatch sends the oldest callbacks and reports whether there were any.
func (s *Sender) sendBatch() bool {
	s.mu.Lock()
	batch := s.queue[:min(len(s.queue), s.batchSize)]
	client := s.client
	s.mu.Unlock()
	if len(batch) == 0 {
		return false
	}
	status, err := post(client, batch)
	malformed := err == nil && status == fasthttp.StatusBadRequest
	switch {
	case malformed && len(batch) == 1: // it will never be accepted: dropped, so that later ones are sent
		slog.Error("callback rejected as malformed", "line", string(batch[0].line))
	case err != nil || status != fasthttp.StatusNoContent:
		if malformed { // one callback of the batch is malformed: from now on each is sent alone
			s.batchSize = 1
		}
		s.counters.CallbackBatchesFailed.Add(1)
		slog.Warn("callbacks not acknowledged", "count", len(batch), "status", status, "err", err)
		time.Sleep(retryDelay)
		return true
	}
	s.counters.CallbacksAcknowledged.Add(int64(len(batch)))
	s.mu.Lock()
	s.queue = s.queue[len(batch):]
	s.mu.Unlock()
	s.acknowledged(ids(batch))
	return true
}

// post returns the status that the platform answered with.
func post(client *fasthttp.HostClient, batch []queued) (status int, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/x-ndjson")
	request.SetRequestURI("http://" + client.Addr + path)
	for _, callback := range batch {
		request.AppendBody(callback.line)
	}
	err = client.DoTimeout(request, response, callTimeout)
	return response.StatusCode(), err
}

func ids(batch []queued) []api.WebhookID {
	all := make([]api.WebhookID, 0, len(batch))
	for _, callback := range batch {
		all = append(all, callback.id)
	}
	return all
}
