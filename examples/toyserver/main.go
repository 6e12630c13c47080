// Command toyserver plays what stands round a dispatcher, so that one can be tried alone: the platform with
// its endpoint list and its ear for notices, and two destinations. Destination 1 answers well; destination 2
// turns some calls away with a wait, fails some and takes bundles.
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

const (
	platform = "127.0.0.1:8500"
	good     = "127.0.0.1:9001"
	fickle   = "127.0.0.1:9002"
)

const list = `{"generation":1,"reset":true,"instances":[` +
	`{"instanceId":"e-good","hostPort":"` + good + `","zone":"here","machineType":"shops","cell":1,` +
	`"lifecycle":"SERVING","weight":50,"startedAtMs":0},` +
	`{"instanceId":"e-fickle","hostPort":"` + fickle + `","zone":"here","machineType":"warehouses","cell":2,` +
	`"lifecycle":"SERVING","weight":20,"startedAtMs":0}]}`

func main() {
	agent := http.NewServeMux()
	agent.HandleFunc("GET /registry/instances", instances)
	agent.HandleFunc("POST /v2/finals", func(w http.ResponseWriter, r *http.Request) {
		for lines := bufio.NewScanner(r.Body); lines.Scan(); {
			log.Println("notice:", lines.Text())
		}
		w.WriteHeader(http.StatusNoContent)
	})
	go func() { log.Fatal(http.ListenAndServe(platform, agent)) }()
	go func() { log.Fatal(http.ListenAndServe(good, endpoint("destination 1", 0))) }()
	log.Println("platform on", platform, "destinations 1 and 2 on", good, "and", fickle)
	log.Fatal(http.ListenAndServe(fickle, endpoint("destination 2", 3)))
}

// instances gives the list, and where a watch is asked for an empty line every 2 s.
func instances(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("since") != "1" {
		fmt.Fprintln(w, list)
	}
	for r.URL.Query().Get("follow") == "1" && r.Context().Err() == nil {
		if fmt.Fprintln(w); w.(http.Flusher) != nil {
			w.(http.Flusher).Flush()
		}
		time.Sleep(2 * time.Second)
	}
}

// endpoint answers calls; of every so many one is told to wait and the next one fails.
func endpoint(name string, every int64) http.Handler {
	var calls atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		n := calls.Add(1)
		if every > 0 && n%every == 1 {
			log.Println(name, "is full:", r.Header.Get("Request-Id"))
			w.Header().Set("Retry-After", "0.8")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if every > 0 && n%every == 2 {
			log.Println(name, "fails:", r.Header.Get("Request-Id"))
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		if r.URL.Path == "/events" {
			h := r.Header
			log.Printf("%s got %s, key %s: %q", name, h.Get("Request-Id"), h.Get("Idempotency-Key"), body)
			return
		}
		for in := bufio.NewReader(strings.NewReader(string(body))); ; {
			var id, key string
			var length int
			if _, err := fmt.Fscanf(in, "%s %s %d\r\n", &id, &key, &length); err != nil {
				return
			}
			one := make([]byte, length+2)
			if _, err := io.ReadFull(in, one); err != nil {
				return
			}
			log.Printf("%s got %s in a bundle, key %s: %q", name, id, key, one[:length])
			fmt.Fprintf(w, "%s delivered\r\n", id)
		}
	})
}
