package endpoint

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"rowanlink/internal/ctxsleep"
)

const (
	// bodyMost bounds a request's body, in bytes.
	bodyMost = 8 << 20
	// middlePriority is that of requests that state none.
	middlePriority = 5
	// lastPriority is the least urgent.
	lastPriority = 9
)

// handler answers all calls of the endpoint.
func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+reportPath, e.serveReport)
	if path := e.options.HealthPath; path != "" && path != "/" {
		mux.HandleFunc("GET "+path, e.serveHealth)
	}
	mux.HandleFunc("/", e.serveRequest)
	return mux
}

// serveReport tells of the load.
func (e *Endpoint) serveReport(w http.ResponseWriter, _ *http.Request) {
	running, waiting := e.slots.counts()
	answer := report{Stage: stageBoth, Models: e.models(), Queued: waiting, Running: running}
	if e.memory != nil {
		answer.CacheUsed, answer.CacheTotal = e.memory.usedNow(), e.memory.total
	}
	w.Header().Set(headerContentType, typeJSON)
	_ = json.NewEncoder(w).Encode(answer) // the caller has left if it fails
}

// serveHealth waits for a place like a request.
func (e *Endpoint) serveHealth(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerEndpoint, e.ID)
	if left := e.cold.left(time.Now()); left > 0 {
		w.Header().Set(headerColdLeft, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if !e.slots.enter(r.Context(), middlePriority, 0) {
		notDelivered(w, http.StatusServiceUnavailable)
		return
	}
	e.slots.leave(0)
	if e.beats.isLeaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *heartbeats) isLeaving() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.leaving
}

// call is one request under way.
type call struct {
	endpoint *Endpoint
	writer   http.ResponseWriter
	request  *http.Request
	attempt  string
	body     []byte
	prompt   []part
	tokens   int // out, at the most; 0: no language model is asked
}

// serveRequest takes a request, runs it and answers.
func (e *Endpoint) serveRequest(w http.ResponseWriter, r *http.Request) {
	c := &call{endpoint: e, writer: w, request: r, attempt: r.Header.Get(headerAttempt)}
	if c.attempt == "" {
		notDelivered(w, http.StatusBadRequest)
		return
	}
	w.Header().Set(headerAttempt, c.attempt)
	if wanted := r.Header.Get(headerDeliverTo); wanted != "" && wanted != e.ID {
		w.Header().Set(headerEndpoint, e.ID)
		c.note(Misdirected, 0)
		notDelivered(w, http.StatusMisdirectedRequest)
		return
	}
	var err error
	if c.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost)); err != nil {
		notDelivered(w, http.StatusBadRequest)
		return
	}
	if !e.cold.arrive(time.Now()) {
		panic(http.ErrAbortHandler) // it has fallen over
	}
	ctx, cancel := withTimeLeft(r)
	defer cancel()
	c.admit(ctx)
}

// admit waits for a place and runs the request.
func (c *call) admit(ctx context.Context) {
	needed := 0
	if c.endpoint.memory != nil {
		var in int
		in, c.tokens = readTokens(c.request.Header.Get(headerTokens))
		c.prompt = readPrompt(c.request.Header.Get(headerPrompt))
		needed = in + c.tokens
	}
	if !c.endpoint.slots.enter(ctx, priorityOf(c.request), needed) {
		c.note(Refused, 0)
		notDelivered(c.writer, http.StatusServiceUnavailable)
		return
	}
	defer c.endpoint.slots.leave(needed)
	if c.tokens > 0 {
		c.stream(ctx)
		return
	}
	c.plain(ctx)
}

// plain answers with one body.
func (c *call) plain(ctx context.Context) {
	c.note(Began, 0)
	work := float64(c.endpoint.options.Work) * c.endpoint.cold.slowness(time.Now())
	if !ctxsleep.Sleep(ctx, time.Duration(work)) {
		c.breakOff()
		return
	}
	c.stamp()
	_, err := fmt.Fprintf(c.writer, "%s answers %s %s, body %x\n", c.endpoint.options.Service, c.request.Method,
		c.request.URL.RequestURI(), sha256.Sum256(c.body))
	if err != nil {
		c.note(Abandoned, 0)
		return
	}
	c.note(Done, 0)
}

// breakOff ends a request that ran but whose caller has left or whose time is over.
func (c *call) breakOff() {
	c.note(Abandoned, 0)
	c.writer.WriteHeader(http.StatusGatewayTimeout) // nobody hears it where the caller has left
}

// stamp marks an answer as the endpoint's own.
func (c *call) stamp() {
	c.writer.Header().Set(headerStamp, c.endpoint.ID+"."+c.attempt)
}

func (c *call) note(fate Fate, read int) {
	c.endpoint.options.Note(Note{At: time.Now(), Endpoint: c.endpoint.ID, Attempt: c.attempt,
		Path: c.request.URL.Path, Fate: fate, Read: read})
}

// notDelivered promises that the request has not run and never will.
func notDelivered(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotDelivered, "1")
	w.WriteHeader(status)
}

// withTimeLeft ends work at the time that the caller will wait.
func withTimeLeft(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseFloat(r.Header.Get(headerTimeLeft), 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left*float64(time.Millisecond)))
}

// priorityOf is the rank of a request, 0 first.
func priorityOf(r *http.Request) int {
	priority, err := strconv.Atoi(r.Header.Get(headerPriority))
	if err != nil {
		return middlePriority
	}
	return min(max(priority, 0), lastPriority)
}
