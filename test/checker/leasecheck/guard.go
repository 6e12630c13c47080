// Package leasecheck is a process that only tests have: it is told when each deed of a task began and ended, and
// by whom with which epoch, at its own clock, and finds deeds of two holders that overlap and epochs that go
// back.
//
//	POST /begin?task=T&epoch=N&member=M   204: noted; 409: fenced, do nothing
//	POST /end?task=T&epoch=N&member=M     204: noted, the deed has taken effect; 409: fenced, it has not
//
// A holder looks at its clock before /begin and again before the last byte of /end. A deed that never ends
// has no effect: it counts as a moment in which it was held. With &fence=1 what comes with a lower epoch than
// the guard has seen for the task is refused: a deed that lands in a process of our own. Without it is one
// that lands at a partner. SetFenceAll has it so for all, whatever they ask for.
//
// All that is told stands in a file, one JSON object a line: fences hold over a restart of the guard, and the
// file is the history that porcupine checks.
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

// Event is what was told once. Times are in Unix microseconds, from before it was looked at to after.
type Event struct {
	Phase   string     `json:"What"` // begin, end
	Task    string     `json:"Task"`
	Epoch   uint64     `json:"Epoch"`
	Member  string     `json:"Member"`
	Call    api.Micros `json:"Call"`
	Return  api.Micros `json:"Return"`
	Refused bool       `json:"Refused"`
}

// Checker is safe for use by several goroutines.
type Checker struct {
	Addr string

	mu     sync.Mutex
	path   string
	port   *portalloc.Port
	server *http.Server
	file   *os.File
	events []Event
	seen   map[string]uint64
	fence  bool
}

// Open listens on a free port and goes on with the history in a file, or begins one.
func Open(path string) (*Checker, error) {
	at, err := portalloc.Reserve()
	if err != nil {
		return nil, err
	}
	g := &Checker{Addr: at.Addr, path: path, port: at, seen: map[string]uint64{}}
	return g, g.Start()
}

// Start listens again after Stop, with no more than what stands in the file.
func (g *Checker) Start() (err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.file, err = os.OpenFile(g.path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600); err != nil {
		return err
	}
	g.events, g.seen = nil, map[string]uint64{}
	for lines := bufio.NewReader(g.file); ; {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			break // what has no end was never answered
		}
		var e Event
		if err := errors.Join(err, json.Unmarshal(line, &e)); err != nil {
			return fmt.Errorf("%s: %w", g.path, err)
		}
		g.note(e)
	}
	on, err := g.port.Listen()
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	for _, what := range []string{"begin", "end"} {
		mux.HandleFunc("POST /"+what, func(rw http.ResponseWriter, r *http.Request) { g.told(what, rw, r) })
	}
	g.server = &http.Server{Handler: mux}
	go g.server.Serve(on)
	return nil
}

// SetFenceAll has what comes late refused, or no longer.
func (g *Checker) SetFenceAll(fence bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fence = fence
}

func (g *Checker) note(e Event) {
	g.events = append(g.events, e)
	if !e.Refused {
		g.seen[e.Task] = max(g.seen[e.Task], e.Epoch)
	}
}

func (g *Checker) told(what string, rw http.ResponseWriter, r *http.Request) {
	e := Event{Phase: what, Task: r.FormValue("task"), Member: r.FormValue("member"), Call: now()}
	var err error
	if e.Epoch, err = strconv.ParseUint(r.FormValue("epoch"), 10, 64); err != nil || e.Task == "" ||
		e.Member == "" {
		http.Error(rw, "task, epoch and member are needed", http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e.Refused = (g.fence || r.FormValue("fence") == "1") && e.Epoch < g.seen[e.Task]
	e.Return = now()
	line, err := json.Marshal(e)
	if err == nil {
		_, err = g.file.Write(append(line, '\n'))
	}
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	g.note(e)
	rw.WriteHeader(map[bool]int{false: http.StatusNoContent, true: http.StatusConflict}[e.Refused])
}

func now() api.Micros { return api.Micros(time.Now().UnixMicro()) }

// Stop ends it as a kill would: what it holds in memory is gone.
func (g *Checker) Stop() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server == nil {
		return nil
	}
	err := errors.Join(g.server.Close(), g.file.Close())
	g.server = nil
	return err
}

// Close ends it and gives its port up.
func (g *Checker) Close() error { return errors.Join(g.Stop(), g.port.Close()) }
