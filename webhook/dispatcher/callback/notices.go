// Package callback tells the platform of webhooks that ended undelivered, again and again until it was heard.
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
	within   = 500 * time.Millisecond // the agent answers at once
	pause    = within / 10            // after a try that was not heard
	mostOnce = 256                    // notices in one call
)

// Sender holds what is not yet heard.
type Sender struct {
	counts *inflight.Counters
	heard  func([]api.WebhookID)
	mu     sync.Mutex
	client *fasthttp.HostClient
	ids    []api.WebhookID
	lines  [][]byte
	most   int // in the next call
	bell   chan struct{}
}

// New makes the sender; heard is told which notices were answered.
func New(addr string, counts *inflight.Counters, heard func([]api.WebhookID)) *Sender {
	return &Sender{counts: counts, heard: heard, most: mostOnce, bell: make(chan struct{}, 1),
		client: client(addr)}
}

// client makes one that may repeat a call by itself: here that does no harm.
func client(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: addr, MaxConns: 1, ReadTimeout: within, WriteTimeout: within}
}

// SetAddress sends from now on to the platform at another address.
func (n *Sender) SetAddress(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.client.CloseIdleConnections()
	n.client = client(addr)
}

// DeadLettered is the notice of a dead-lettered webhook.
func DeadLettered(requestID inflight.RequestID) []byte {
	return []byte(`{"message":` + strconv.Quote(string(requestID)) + `,"outcome":"given_up"}` + "\n")
}

// Rejected is the notice of a rejected webhook, with the time after which to come again, if any.
func Rejected(requestID inflight.RequestID, retryIn api.Micros) []byte {
	line := `{"message":` + strconv.Quote(string(requestID)) + `,"outcome":"handed_back"`
	if retryIn > 0 {
		line += `,"retry_in_ms":` + strconv.FormatInt(int64((retryIn+999)/1000), 10)
	}
	return []byte(line + "}\n")
}

// Enqueue puts a notice in.
func (n *Sender) Enqueue(id api.WebhookID, line []byte) {
	n.mu.Lock()
	n.ids, n.lines = append(n.ids, id), append(n.lines, line)
	n.mu.Unlock()
	select {
	case n.bell <- struct{}{}:
	default:
	}
}

// Run sends until the process ends.
func (n *Sender) Run() {
	for range n.bell {
		for n.once() {
		}
	}
}

// once sends what waits, and tells whether more does.
func (n *Sender) once() bool {
	n.mu.Lock()
	count := min(len(n.ids), n.most)
	ids, lines, platform := n.ids[:count], n.lines[:count], n.client
	n.mu.Unlock()
	if count == 0 {
		return false
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/x-ndjson")
	req.SetRequestURI("http://" + platform.Addr + "/v2/finals")
	for _, line := range lines {
		req.AppendBody(line)
	}
	err := platform.DoTimeout(req, resp, within)
	unread := err == nil && resp.StatusCode() == fasthttp.StatusBadRequest
	if unread && count == 1 { // it will never be read: guards those behind it
		slog.Error("notice not understood", "line", string(lines[0]))
	} else if err != nil || resp.StatusCode() != fasthttp.StatusNoContent {
		if unread { // one of them: from now on each goes alone
			n.most = 1
		}
		n.counts.Untold.Add(1)
		slog.Warn("notices not heard", "count", count, "status", resp.StatusCode(), "err", err)
		time.Sleep(pause)
		return true
	}
	n.counts.Told.Add(int64(count))
	n.mu.Lock()
	n.ids, n.lines = n.ids[count:], n.lines[count:]
	n.mu.Unlock()
	n.heard(ids)
	return true
}
