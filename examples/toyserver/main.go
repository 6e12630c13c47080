// Command toyserver plays the surroundings of a dispatcher, so that one can be tried alone: the platform with its endpoint
// list and its receiver of callbacks, and two destinations. Destination 1 delivers every webhook; destination 2 rejects
// some calls with a Retry-After, fails some and accepts bundles.
package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Addresses.
const (
	platformAddress   = "127.0.0.1:8500"
	reliableAddress   = "127.0.0.1:9001" // destination 1
	unreliableAddress = "127.0.0.1:9002" // destination 2
)

// heartbeatInterval is the time between two empty lines of a watch.
const heartbeatInterval = 2 * time.Second

// faultInterval is how many calls of the unreliable destination have one rejection and one failure.
const faultInterval = 3

// generation is that of endpointList.
const generation = "1"

const endpointList = `{"generation":` + generation + `,"reset":true,"instances":[` +
	`{"instanceId":"e-good","hostPort":"` + reliableAddress + `","zone":"here","machineType":"shops","cell":1,` +
	`"lifecycle":"SERVING","weight":50,"startedAtMs":0},` +
	`{"instanceId":"e-fickle","hostPort":"` + unreliableAddress + `","zone":"here","machineType":"warehouses","cell":2,` +
	`"lifecycle":"SERVING","weight":20,"startedAtMs":0}]}`

func main() {
	platform := http.NewServeMux()
	platform.HandleFunc("GET /registry/instances", serveEndpointList)
	platform.HandleFunc("POST /v2/finals", logCallbacks)
	go func() { log.Fatal(http.ListenAndServe(platformAddress, platform)) }()
	go func() { log.Fatal(http.ListenAndServe(reliableAddress, &destination{name: "destination 1"})) }()
	log.Println("platform on", platformAddress, "destinations 1 and 2 on", reliableAddress, "and", unreliableAddress)
	unreliable := &destination{name: "destination 2", faultInterval: faultInterval}
	log.Fatal(http.ListenAndServe(unreliableAddress, unreliable))
}

// logCallbacks logs the results of webhooks that ended undelivered.
func logCallbacks(w http.ResponseWriter, r *http.Request) {
	for lines := bufio.NewScanner(r.Body); lines.Scan(); {
		log.Println("notice:", lines.Text())
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveEndpointList writes the list, unless the client has it already, and heartbeats if a watch is requested.
func serveEndpointList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("since") != generation {
		_, _ = fmt.Fprintln(w, endpointList) // a client that has left ends the request's context
	}
	for query.Get("follow") == "1" && r.Context().Err() == nil {
		_, _ = fmt.Fprintln(w)
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		time.Sleep(heartbeatInterval)
	}
}

// destination receives webhooks, one in a call or several in a bundle.
type destination struct {
	name          string
	faultInterval int64 // of so many calls one is rejected and the next one fails; 0: none
	calls         atomic.Int64
}

func (d *destination) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // what has arrived is logged
	if d.injectFault(w, r) {
		return
	}
	if r.URL.Path == "/events" {
		log.Printf("%s got %s, key %s: %q", d.name, r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key"), body)
		return
	}
	d.serveBundle(w, string(body))
}

// injectFault rejects or fails a call if it is due, and reports whether it did.
func (d *destination) injectFault(w http.ResponseWriter, r *http.Request) bool {
	call := d.calls.Add(1)
	if d.faultInterval == 0 {
		return false
	}
	switch call % d.faultInterval {
	case 1:
		log.Println(d.name, "is full:", r.Header.Get("Request-Id"))
		w.Header().Set("Retry-After", "0.8")
		w.WriteHeader(http.StatusTooManyRequests)
		return true
	case 2:
		log.Println(d.name, "fails:", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	return false
}

// serveBundle answers each webhook of a bundle. A webhook is a line with its identifier, its key and its length in bytes,
// and then its body and the end of a line.
func (d *destination) serveBundle(w http.ResponseWriter, bundle string) {
	reader := bufio.NewReader(strings.NewReader(bundle))
	for {
		var id, key string
		var length int
		if _, err := fmt.Fscanf(reader, "%s %s %d\r\n", &id, &key, &length); err != nil {
			return // the end of the bundle
		}
		body := make([]byte, length+len("\r\n"))
		if _, err := io.ReadFull(reader, body); err != nil {
			return
		}
		log.Printf("%s got %s in a bundle, key %s: %q", d.name, id, key, body[:length])
		_, _ = fmt.Fprintf(w, "%s delivered\r\n", id) // a client that has left doesn't need it
	}
}
