package endpoint

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"rowanlink/internal/ctxsleep"
)

const (
	// maxBodySize bounds a request's body, in bytes.
	maxBodySize = 8 << 20
	// defaultPriority is the priority of requests that state none.
	defaultPriority = 5
	// lowestPriority is the lowest priority; 0 is the highest.
	lowestPriority = 9
)

// handler serves all requests to the endpoint.
func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+reportPath, e.serveLoadReport)
	if path := e.options.HealthPath; path != "" && path != "/" {
		mux.HandleFunc("GET "+path, e.serveHealth)
	}
	mux.HandleFunc("/", e.serveRequest)
	return mux
}

// serveLoadReport responds with the endpoint's load.
func (e *Endpoint) serveLoadReport(w http.ResponseWriter, _ *http.Request) {
	running, waiting := e.slots.counts()
	report := loadReport{Stage: stageBoth, Models: e.models(), Queued: waiting, Running: running}
	if e.kvCache != nil {
		report.CacheUsed, report.CacheTotal = e.kvCache.reservedTokens(), e.kvCache.total
	}
	w.Header().Set(headerContentType, typeJSON)
	_ = json.NewEncoder(w).Encode(report) // it fails only if the caller has disconnected
}

// serveHealth responds to a health check, which waits for a slot like a request.
func (e *Endpoint) serveHealth(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerEndpoint, e.ID)
	if left := e.warmup.remaining(time.Now()); left > 0 {
		w.Header().Set(headerColdLeft, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if !e.slots.acquire(r.Context(), defaultPriority, 0) {
		respondNotDelivered(w, http.StatusServiceUnavailable)
		return
	}
	e.slots.release(0)
	if e.heartbeats.isLeaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// call is a request in progress.
type call struct {
	endpoint *Endpoint
	writer   http.ResponseWriter
	request  *http.Request
	attempt  string
	body     []byte
	prompt   []promptBlock
	tokens   int // maximum number of output tokens; 0: not for a language model
}

// serveRequest reads a request, runs it and responds.
func (e *Endpoint) serveRequest(w http.ResponseWriter, r *http.Request) {
	c := &call{endpoint: e, writer: w, request: r, attempt: r.Header.Get(headerAttempt)}
	if c.attempt == "" {
		respondNotDelivered(w, http.StatusBadRequest)
		return
	}
	w.Header().Set(headerAttempt, c.attempt)
	if wanted := r.Header.Get(headerDeliverTo); wanted != "" && wanted != e.ID {
		w.Header().Set(headerEndpoint, e.ID)
		c.report(Misdirected, 0)
		respondNotDelivered(w, http.StatusMisdirectedRequest)
		return
	}
	var err error
	if c.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize)); err != nil {
		respondNotDelivered(w, http.StatusBadRequest)
		return
	}
	if !e.warmup.admitArrival(time.Now()) {
		panic(http.ErrAbortHandler) // the endpoint is overloaded
	}
	ctx, cancel := withDeadline(r.Context(), r.Header)
	defer cancel()
	c.waitForSlot(ctx)
}

// waitForSlot waits for a slot and runs the request.
func (c *call) waitForSlot(ctx context.Context) {
	needed := 0
	if c.endpoint.kvCache != nil {
		var in int
		in, c.tokens = parseTokenCounts(c.request.Header.Get(headerTokens))
		c.prompt = parsePrompt(c.request.Header.Get(headerPrompt))
		needed = in + c.tokens
	}
	if !c.endpoint.slots.acquire(ctx, priorityOf(c.request), needed) {
		c.report(Rejected, 0)
		respondNotDelivered(c.writer, http.StatusServiceUnavailable)
		return
	}
	defer c.endpoint.slots.release(needed)
	if c.tokens > 0 {
		c.respondStream(ctx)
		return
	}
	c.respondPlain(ctx)
}

// respondPlain responds with a single body.
func (c *call) respondPlain(ctx context.Context) {
	c.report(Started, 0)
	work := float64(c.endpoint.options.ProcessingTime) * c.endpoint.warmup.slowdown(time.Now())
	if !ctxsleep.Sleep(ctx, time.Duration(work)) {
		c.abandon()
		return
	}
	c.setStamp()
	if rand.Float64() < c.endpoint.options.FailureShare {
		c.report(Completed, 0)
		c.writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, err := fmt.Fprintf(c.writer, "%s answers %s %s, body %x\n", c.endpoint.options.Service, c.request.Method,
		c.request.URL.RequestURI(), sha256.Sum256(c.body))
	if err != nil {
		c.report(Abandoned, 0)
		return
	}
	c.report(Completed, 0)
}

// abandon ends a request that ran but whose caller has disconnected or whose deadline has passed.
func (c *call) abandon() {
	c.report(Abandoned, 0)
	c.writer.WriteHeader(http.StatusGatewayTimeout) // has no effect if the caller has disconnected
}

// setStamp adds the header by which clients recognize the endpoint's responses.
func (c *call) setStamp() {
	c.writer.Header().Set(headerStamp, c.endpoint.ID+"."+c.attempt)
}

// report reports a phase of the request.
func (c *call) report(phase RequestPhase, uncachedTokens int) {
	c.endpoint.options.OnRequest(RequestEvent{
		At:             time.Now(),
		Endpoint:       c.endpoint.ID,
		Attempt:        c.attempt,
		Path:           c.request.URL.Path,
		Phase:          phase,
		UncachedTokens: uncachedTokens,
	})
}

// respondNotDelivered promises that the request has not run and never will.
func respondNotDelivered(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotDelivered, "1")
	w.WriteHeader(status)
}

// withDeadline bounds the work by the time that the caller waits.
func withDeadline(ctx context.Context, header http.Header) (context.Context, context.CancelFunc) {
	millis, err := strconv.ParseFloat(header.Get(headerTimeLeft), 64)
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(millis*float64(time.Millisecond)))
}

// priorityOf returns the priority of a request; 0 is the highest.
func priorityOf(r *http.Request) int {
	priority, err := strconv.Atoi(r.Header.Get(headerPriority))
	if err != nil {
		return defaultPriority
	}
	return min(max(priority, 0), lowestPriority)
}
