// Package node_test tells short stories of the whole dispatcher: its program, started and killed as in
// service, between a client, endpoints and a platform that the test plays on loopback.
package e2e_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/procstate"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rowanlink")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "rowanlink")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", binary, "../../../cmd/rowanlink")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// world is everything round one dispatcher.
type world struct {
	t      *testing.T
	mu     sync.Mutex
	calls  []got
	finals []string
	deaf   bool   // the platform does not hear notices
	odd    string // nor can it read those that hold this
	list   string
	watch  func(since string, w http.ResponseWriter) // writes what the watch says after the list
	answer func(n int, w http.ResponseWriter, body string)

	dir, endpoint, platform, listen string
	process                         *exec.Cmd
	out                             *output
}

const settings = `{"classes":[{"aim":2500000000,"deadline":9000000000,"group":"all","name":"status",
 "repeat":"%s","window":8000000000,"worth":1,"lateValue":0.3},
 {"aim":1,"deadline":9000000000,"repeat":"pure"}],
 "kinds":["bulk"],"zones":["a"],"fleetSize":1,"period":5000000,
 "familyInfo":{"slots":6,"batchByKind":[4],"kindApart":[false]},"weightSource":"nominal",
 "limits":{"openCap":50,"maxAttempts":8,"connectTimeout":300000000,"keepalive":1000000000,"cancel":true,
 "retryAfter":true,"maxRetryAfter":3000000000},
 "rules":{"startCapacity":0.15,"warmAfter":3000000000,"fallMultiple":2.5,"tipAfter":2000000000}}`

// begin starts a dispatcher for webhooks that repeat as told, with destination 3 at one endpoint.
func begin(t *testing.T, repeat string) *world {
	w := &world{t: t, dir: t.TempDir(), listen: free(t)}
	w.endpoint = w.serve(w.event)
	w.platform = w.serve(w.agent)
	w.list = w.listed("SERVING")
	w.configure(repeat, 3)
	w.start()
	return w
}

func (w *world) listed(lifecycle string) string {
	return `{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"` + w.endpoint +
		`","zone":"a","machineType":"bulk","cell":3,"lifecycle":"` + lifecycle + `","weight":500,"startedAtMs":0}]}`
}

func (w *world) configure(repeat string, diskMB float64) {
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","known":%s,
		"limits":{"memory_mb":192,"sockets":1024,"disk_mb":%v},"settings":%s}`,
		w.listen, w.platform, w.list, diskMB, fmt.Sprintf(settings, repeat))
	require.NoError(w.t, os.WriteFile(filepath.Join(w.dir, "config.json"), []byte(text), 0o600))
}

func free(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (w *world) serve(handler http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	s := &http.Server{Handler: handler}
	go s.Serve(l)
	w.t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

func (w *world) event(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	h := r.Header
	w.calls = append(w.calls, got{r.URL.Path, h.Get("Request-Id"), h.Get("Idempotency-Key"), string(body)})
	n, answer := len(w.calls), w.answer
	w.mu.Unlock()
	if answer != nil {
		answer(n, rw, string(body))
	}
}

func (w *world) agent(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v2/finals" {
		body, _ := io.ReadAll(r.Body)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.deaf {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if w.odd != "" && strings.Contains(string(body), w.odd) {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.finals = append(w.finals, strings.Split(strings.TrimSpace(string(body)), "\n")...)
		rw.WriteHeader(http.StatusNoContent)
		return
	}
	rw.WriteHeader(http.StatusOK)
	rw.(http.Flusher).Flush()
	w.mu.Lock()
	watch := w.watch
	w.mu.Unlock()
	if watch != nil {
		watch(r.URL.Query().Get("since"), rw)
	}
	<-r.Context().Done()
}

func (w *world) start() {
	w.process = exec.Command(binary)
	w.process.Env = []string{"LB_CONFIG=" + filepath.Join(w.dir, "config.json"), "LB_STATE=" + w.dir}
	w.out = &output{}
	w.process.Stdout, w.process.Stderr = w.out, w.out
	require.NoError(w.t, w.process.Start())
	w.t.Cleanup(w.kill)
	w.soon("ready", func() bool {
		resp, err := http.Get("http://" + w.listen + "/health/ready")
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	})
}

// stop has the process stand still, and waits until it does.
func (w *world) stop() {
	require.NoError(w.t, w.process.Process.Signal(syscall.SIGSTOP))
	w.soon("the process stands still", func() bool { return procstate.AllThreadsStopped(w.process.Process.Pid) })
}

func (w *world) kill() {
	w.process.Process.Kill()
	w.process.Wait()
	assert.NotContains(w.t, w.out.String(), "DATA RACE") // where the program is built to tell
	assert.NotContains(w.t, w.out.String(), "panic")
}

func (w *world) soon(what string, is func() bool) {
	w.t.Helper()
	require.Eventually(w.t, is, 7*time.Second, 5*time.Millisecond, what)
}

func (w *world) called(n int) func() bool {
	return func() bool { return len(w.seen()) >= n }
}

// seen are the calls so far.
func (w *world) seen() []got {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.calls)
}

// set changes how the world behaves from now on.
func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *world) told(n int) func() bool {
	return func() bool { return len(w.heard()) >= n }
}

// heard are the notices so far.
func (w *world) heard() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.finals)
}

// answers sets what endpoints answer to their n-th call; nil: that it is delivered.
func (w *world) answers(f func(n int, w http.ResponseWriter, body string)) {
	w.set(func() { w.answer = f })
}
