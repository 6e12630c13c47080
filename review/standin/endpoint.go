package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that an endpoint has received and run.
type arrival struct {
	at       time.Time
	attempt  string
	endpoint string
	path     string
}

// endpoint is a stand-in for an endpoint of a service: it serves, sends heartbeats and can sign off.
type endpoint struct {
	record  *record
	id      string
	service string
	place   place
	work    time.Duration
	control []string // the platform's list of control addresses
	handle  http.HandlerFunc

	address  string
	listener net.Listener
	server   *http.Server
	client   *http.Client

	mutex    sync.Mutex
	sequence int
	forward  string // preferred control address
	leaving  bool
	stopBeat context.CancelFunc
	arrivals []arrival
}

// startEndpoint starts an endpoint at an address with a free port, and its heartbeats.
func startEndpoint(ctx context.Context, d *deployment, number int, service string, at place) (*endpoint, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.subnet, 200+number))
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		record: d.record, id: fmt.Sprintf("i-%s-%d", service, number), service: service, place: at,
		work: 20 * time.Millisecond, control: d.controlAddresses(),
		address: listener.Addr().String(), listener: listener, client: &http.Client{Timeout: time.Second},
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	beating, stop := context.WithCancel(ctx)
	e.stopBeat = stop
	go e.sendHeartbeats(beating)
	return e, nil
}

func (e *endpoint) close() {
	e.stopBeat()
	_ = e.server.Close()
}

// serve answers health checks, load reports and requests as the pages say.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/condition":
		w.Header().Set("X-Endpoint-Id", e.id)
		if e.isLeaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"stage":"both","models":[],"busy":false,"call_seq":0,"queued":0,"in_flight":0,`+
			`"cache_used":0,"cache_total":0,"handles":0}`)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if named := r.Header.Get("X-Deliver-To"); named != "" && named != e.id {
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("X-Not-Delivered", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.addArrival(arrival{at: time.Now(), attempt: id, endpoint: e.id, path: r.URL.Path})
	if e.handle != nil {
		e.handle(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(e.work)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Postmark", e.id+"."+id)
	_, _ = io.WriteString(w, "body of "+id)
}

func (e *endpoint) addArrival(a arrival) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.arrivals = append(e.arrivals, a)
	e.record.logAt(a.at, "run", "%s at %s", a.attempt, a.endpoint)
}

// allArrivals returns what the endpoint has run.
func (e *endpoint) allArrivals() []arrival {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]arrival{}, e.arrivals...)
}

func (e *endpoint) isLeaving() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.leaving
}

// sendHeartbeats registers the endpoint and keeps it registered.
func (e *endpoint) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		span := beat
		if !e.sendHeartbeat(ctx) {
			span = 200 * time.Millisecond
		}
		sleep(ctx, span)
	}
}

// sendHeartbeat sends one heartbeat, to the preferred address first and then to the others.
func (e *endpoint) sendHeartbeat(ctx context.Context) bool {
	for _, address := range e.targets() {
		body := fmt.Sprintf(`{"carrier":%q,"address":%q,"zone":%q,"edition":"v1","berths":6,"state":"accepting",`+
			`"cold_left_ms":0,"stage":"both","models":[],"call_seq":%d}`, e.service, e.address, e.place.zone, e.nextSequence())
		answer, status, err := e.call(ctx, address, "/Endpoints.Beat/"+e.id, body)
		if err == nil && status/100 == 2 {
			var parsed struct {
				ForwardTo string `json:"forward_to"`
			}
			_ = json.Unmarshal(answer, &parsed) // an unreadable answer names no address
			e.setForward(parsed.ForwardTo)
			return true
		}
		if ctx.Err() != nil {
			return false // the endpoint signs off meanwhile: the call was broken off, it didn't fail
		}
		e.setForward("")
	}
	return false
}

// signOff tells the system that the endpoint leaves, without having said closing before. It returns the address that
// has acknowledged it. onAcknowledged is called at once then.
func (e *endpoint) signOff(ctx context.Context, onAcknowledged func()) (string, error) {
	e.stopBeat()
	e.mutex.Lock()
	e.leaving = true
	e.mutex.Unlock()
	for ctx.Err() == nil {
		for _, address := range e.targets() {
			begun := time.Now()
			_, status, err := e.call(ctx, address, "/Endpoints.SignOff/"+e.id, "")
			if err == nil && status/100 == 2 {
				onAcknowledged()
				return address, nil
			}
			e.record.logAt(begun, "endpoint", "%s signs off at %s: status %d, %v", e.id, address, status, err)
		}
		e.setForward("")
	}
	return "", ctx.Err()
}

func (e *endpoint) call(ctx context.Context, address, path, body string) ([]byte, int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	return answer, response.StatusCode, err
}

// targets returns the control addresses to call: the preferred one first, and then the others in the order of the
// list, from the one after that.
func (e *endpoint) targets() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.forward == "" {
		return e.control
	}
	after := 0
	for i, address := range e.control {
		if lastNumber(address) == lastNumber(e.forward) {
			after = i + 1
		}
	}
	targets := []string{e.forward}
	for i := range e.control[1:] {
		targets = append(targets, e.control[(after+i)%len(e.control)])
	}
	return targets
}

// lastNumber returns the last number of an IP address with a port, which tells the machine whoever sees it.
func lastNumber(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host[strings.LastIndexByte(host, '.')+1:]
}

func (e *endpoint) setForward(address string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.forward = address
}

func (e *endpoint) nextSequence() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence++
	return e.sequence
}
