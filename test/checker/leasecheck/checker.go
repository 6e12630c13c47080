package leasecheck

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"rowanlink/test/fake/portalloc"
	"rowanlink/webhook/api"
)

// The phases of an operation; each is the path of its request, too.
const (
	phaseBegin = "begin"
	phaseEnd   = "end"
)

// Event is one recorded request. Times are in Unix microseconds: Call before it was processed, Return after.
type Event struct {
	Phase    string     `json:"What"` // begin or end
	Resource string     `json:"Task"`
	Epoch    uint64     `json:"Epoch"`
	Member   string     `json:"Member"`
	Call     api.Micros `json:"Call"`
	Return   api.Micros `json:"Return"`
	Rejected bool       `json:"Refused"`
}

// Checker records requests at Addr. It is safe for concurrent use.
type Checker struct {
	Addr string // host:port

	mu       sync.Mutex
	path     string
	port     *portalloc.Port
	server   *http.Server // nil: stopped
	file     *os.File
	events   []Event
	highest  map[string]uint64 // epoch accepted, by resource
	fenceAll bool
}

// Open listens on a free port and continues the history in a file, or begins one.
func Open(path string) (*Checker, error) {
	port, err := portalloc.Reserve()
	if err != nil {
		return nil, err
	}
	c := &Checker{Addr: port.Addr, path: path, port: port, highest: map[string]uint64{}}
	return c, c.Start()
}

// Start listens again after Stop, with the state that the file has.
func (c *Checker) Start() (err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.file, err = os.OpenFile(c.path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600); err != nil {
		return err
	}
	if err := c.readHistory(); err != nil {
		return err
	}
	listener, err := c.port.Listen()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: c.handler()}
	c.server = server
	go func() {
		_ = server.Serve(listener) // returns http.ErrServerClosed once Stop has closed it
	}()
	return nil
}

func (c *Checker) readHistory() error {
	c.events = nil
	c.highest = map[string]uint64{}
	for lines := bufio.NewReader(c.file); ; {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil // an incomplete last line was never answered
		}
		var e Event
		if err := errors.Join(err, json.Unmarshal(line, &e)); err != nil {
			return fmt.Errorf("%s: %w", c.path, err)
		}
		c.apply(e)
	}
}

func (c *Checker) handler() http.Handler {
	mux := http.NewServeMux()
	for _, phase := range []string{phaseBegin, phaseEnd} {
		mux.HandleFunc("POST /"+phase, func(rw http.ResponseWriter, r *http.Request) {
			c.handle(phase, rw, r)
		})
	}
	return mux
}

// SetFenceAll sets whether all requests are fenced, also those without &fence=1.
func (c *Checker) SetFenceAll(fence bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fenceAll = fence
}

func (c *Checker) apply(e Event) {
	c.events = append(c.events, e)
	if !e.Rejected {
		c.highest[e.Resource] = max(c.highest[e.Resource], e.Epoch)
	}
}

func (c *Checker) handle(phase string, rw http.ResponseWriter, r *http.Request) {
	e := Event{Phase: phase, Resource: r.FormValue("task"), Member: r.FormValue("member"), Call: now()}
	var err error
	e.Epoch, err = strconv.ParseUint(r.FormValue("epoch"), 10, 64)
	if err != nil || e.Resource == "" || e.Member == "" {
		http.Error(rw, "task, epoch and member are needed", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	isFenced := c.fenceAll || r.FormValue("fence") == "1"
	e.Rejected = isFenced && e.Epoch < c.highest[e.Resource]
	e.Return = now()
	if err := c.write(e); err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	c.apply(e)
	if e.Rejected {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (c *Checker) write(e Event) error {
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = c.file.Write(append(line, '\n'))
	return err
}

func now() api.Micros { return api.Micros(time.Now().UnixMicro()) }

// Stop ends the server as a kill would: only what the file has survives.
func (c *Checker) Stop() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server == nil {
		return nil
	}
	err := errors.Join(c.server.Close(), c.file.Close())
	c.server = nil
	return err
}

// Close stops the server and releases its port.
func (c *Checker) Close() error { return errors.Join(c.Stop(), c.port.Close()) }
