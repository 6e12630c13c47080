// Package e2e_test runs the complete dispatcher: its program, started and killed as in service, between a client, endpoints
// and a platform that the test itself serves on loopback.
package e2e_test

import (
	"context"
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

	"rowanlink/test/fake/portalloc"
	"rowanlink/test/procstate"
)

const (
	eventuallyTimeout  = 7 * time.Second
	eventuallyInterval = 5 * time.Millisecond
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rowanlink")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "rowanlink")
	build := exec.CommandContext(context.Background(),
		"go", "build", "-ldflags=-linkmode=external", "-o", binary, "../../../cmd/rowanlink")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// endpointCall is one call as an endpoint received it.
type endpointCall struct {
	path, id, token, body string
}

// synchronizedBuffer collects the output of the process while the test reads it.
type synchronizedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *synchronizedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *synchronizedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// callHandler answers the n-th call to an endpoint, counted from 1.
type callHandler func(n int, response http.ResponseWriter, body string)

// watchHandler writes the updates of a watch that asks for what changed since a generation.
type watchHandler func(since string, response http.ResponseWriter)

// environment is one dispatcher process with its endpoint and its platform.
type environment struct {
	t *testing.T

	mu                 sync.Mutex
	calls              []endpointCall
	callbacks          []string
	rejectCallbacks    bool
	unreadableCallback string // callbacks with this text are answered with 400, if it isn't empty
	watchHandler       watchHandler
	callHandler        callHandler

	initialList string // the endpoint list in the configuration

	dir, endpoint, platform, listen string
	process                         *exec.Cmd
	output                          *synchronizedBuffer
}

// settings has one formatting verb, the delivery semantics of the event type `status`.
const settings = `{"classes":[{"aim":2500000000,"deadline":9000000000,"group":"all","name":"status",
 "repeat":"%s","window":8000000000,"worth":1,"lateValue":0.3},
 {"aim":1,"deadline":9000000000,"repeat":"pure"}],
 "kinds":["bulk"],"zones":["a"],"fleetSize":1,"period":5000000,
 "familyInfo":{"slots":6,"batchByKind":[4],"kindApart":[false]},"weightSource":"nominal",
 "limits":{"openCap":50,"maxAttempts":8,"connectTimeout":300000000,"keepalive":1000000000,"cancel":true,
 "retryAfter":true,"maxRetryAfter":3000000000},
 "rules":{"startCapacity":0.15,"warmAfter":3000000000,"fallMultiple":2.5,"tipAfter":2000000000}}`

// startEnvironment starts a dispatcher for webhooks of the delivery semantics given, with destination 3 at one endpoint.
func startEnvironment(t *testing.T, semantics string) *environment {
	t.Helper()
	env := &environment{t: t, dir: t.TempDir(), listen: reserveAddress(t)}
	env.endpoint = env.startServer(env.handleEvent)
	env.platform = env.startServer(env.handlePlatform)
	env.initialList = env.endpointList("SERVING")
	env.configure(semantics, 3)
	env.start()
	return env
}

// endpointList returns generation 1 of the list, with the only endpoint in a lifecycle state.
func (env *environment) endpointList(lifecycle string) string {
	return `{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"` + env.endpoint +
		`","zone":"a","machineType":"bulk","cell":3,"lifecycle":"` + lifecycle + `","weight":500,"startedAtMs":0}]}`
}

func (env *environment) configPath() string { return filepath.Join(env.dir, "config.json") }

// configure writes the configuration file.
func (env *environment) configure(semantics string, diskMB float64) {
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","known":%s,
		"limits":{"memory_mb":192,"sockets":1024,"disk_mb":%v},"settings":%s}`,
		env.listen, env.platform, env.initialList, diskMB, fmt.Sprintf(settings, semantics))
	env.writeConfig(text)
}

func (env *environment) writeConfig(text string) {
	env.t.Helper()
	require.NoError(env.t, os.WriteFile(env.configPath(), []byte(text), 0o600))
}

func (env *environment) readConfig() string {
	env.t.Helper()
	text, err := os.ReadFile(env.configPath())
	require.NoError(env.t, err)
	return string(text)
}

func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// reserveAddress returns an address for the dispatcher to listen on. It stays reserved until the test ends, so that none
// of the test's own servers gets it meanwhile.
func reserveAddress(t *testing.T) string {
	t.Helper()
	port, err := portalloc.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = port.Close() })
	return port.Addr
}

// startServer serves handler until the test ends and returns the server's address.
func (env *environment) startServer(handler http.HandlerFunc) string {
	env.t.Helper()
	listener := listenOnLoopback(env.t)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	env.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// handleEvent records a call to the endpoint and answers it.
func (env *environment) handleEvent(response http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	env.mu.Lock()
	env.calls = append(env.calls, endpointCall{
		path:  request.URL.Path,
		id:    request.Header.Get("Request-Id"),
		token: request.Header.Get("Idempotency-Key"),
		body:  string(body),
	})
	n, handler := len(env.calls), env.callHandler
	env.mu.Unlock()
	if handler != nil {
		handler(n, response, string(body))
	}
}

// handlePlatform receives callbacks and serves watches of the endpoint list.
func (env *environment) handlePlatform(response http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/v2/finals" {
		env.handleCallbacks(response, request)
		return
	}
	response.WriteHeader(http.StatusOK)
	response.(http.Flusher).Flush()
	env.mu.Lock()
	handler := env.watchHandler
	env.mu.Unlock()
	if handler != nil {
		handler(request.URL.Query().Get("since"), response)
	}
	<-request.Context().Done()
}

func (env *environment) handleCallbacks(response http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.rejectCallbacks {
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if env.unreadableCallback != "" && strings.Contains(string(body), env.unreadableCallback) {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	env.callbacks = append(env.callbacks, strings.Split(strings.TrimSpace(string(body)), "\n")...)
	response.WriteHeader(http.StatusNoContent)
}

// command returns a process of the program. It isn't bound to the test's context, which ends before cleanups run: kill ends
// the process.
func (env *environment) command() *exec.Cmd {
	process := exec.CommandContext(context.Background(), binary)
	process.Env = []string{"LB_CONFIG=" + env.configPath(), "LB_STATE=" + env.dir}
	return process
}

// start starts the process and waits until it is ready.
func (env *environment) start() {
	env.t.Helper()
	env.process = env.command()
	env.output = &synchronizedBuffer{}
	env.process.Stdout, env.process.Stderr = env.output, env.output
	require.NoError(env.t, env.process.Start())
	env.t.Cleanup(env.kill)
	env.eventually("ready", env.isReady)
}

func (env *environment) get(path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(env.t.Context(), http.MethodGet, "http://"+env.listen+path, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}

func (env *environment) isReady() bool {
	response, err := env.get("/health/ready")
	return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

func (env *environment) metrics() string {
	response, err := env.get("/metrics")
	require.NoError(env.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(env.t, err)
	return string(text)
}

// hasMetric returns a condition: the metrics have a line, given without its end.
func (env *environment) hasMetric(line string) func() bool {
	return func() bool { return strings.Contains(env.metrics(), line+"\n") }
}

func (env *environment) signal(signal os.Signal) {
	env.t.Helper()
	require.NoError(env.t, env.process.Process.Signal(signal))
}

// suspend stops the process with SIGSTOP and waits until all its threads stand still.
func (env *environment) suspend() {
	env.t.Helper()
	env.signal(syscall.SIGSTOP)
	env.eventually("the process is suspended", func() bool {
		return procstate.AllThreadsStopped(env.process.Process.Pid)
	})
}

// suspendFor suspends the process for a time, as the scheduler does to one that gets a fraction of a core.
func (env *environment) suspendFor(span time.Duration) {
	assert.NoError(env.t, env.process.Process.Signal(syscall.SIGSTOP))
	time.Sleep(span)
	assert.NoError(env.t, env.process.Process.Signal(syscall.SIGCONT))
}

func (env *environment) kill() {
	_ = env.process.Process.Kill() // it may have ended already
	_ = env.process.Wait()
	assert.NotContains(env.t, env.output.String(), "DATA RACE") // if the program is built with the race detector
	assert.NotContains(env.t, env.output.String(), "panic")
}

func (env *environment) eventually(what string, condition func() bool) {
	env.t.Helper()
	require.Eventually(env.t, condition, eventuallyTimeout, eventuallyInterval, what)
}

// receivedCalls returns a condition: the endpoint has received at least n calls.
func (env *environment) receivedCalls(n int) func() bool {
	return func() bool { return len(env.recordedCalls()) >= n }
}

func (env *environment) recordedCalls() []endpointCall {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.calls)
}

// update changes fields that the handlers read.
func (env *environment) update(change func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	change()
}

// receivedCallbacks returns a condition: the platform has acknowledged at least n callbacks.
func (env *environment) receivedCallbacks(n int) func() bool {
	return func() bool { return len(env.recordedCallbacks()) >= n }
}

func (env *environment) recordedCallbacks() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.callbacks)
}

// handleCalls sets how the endpoint answers calls; nil has it deliver them all.
func (env *environment) handleCalls(handler callHandler) {
	env.update(func() { env.callHandler = handler })
}

// handleWatches sets what watches of the endpoint list write after their head.
func (env *environment) handleWatches(handler watchHandler) {
	env.update(func() { env.watchHandler = handler })
}

// holdConnection doesn't answer until the caller ends the connection.
func holdConnection(response http.ResponseWriter) {
	conn, _, err := response.(http.Hijacker).Hijack()
	if err == nil {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
}

// closeConnection ends the connection without an answer.
func closeConnection(response http.ResponseWriter) {
	if conn, _, err := response.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// holdCall is a callHandler that never answers.
func holdCall(_ int, response http.ResponseWriter, _ string) { holdConnection(response) }

// holdFirstCall is a callHandler that never answers the first call and delivers the others.
func holdFirstCall(n int, response http.ResponseWriter, _ string) {
	if n == 1 {
		holdConnection(response)
	}
}

// failCall is a callHandler that answers with an error.
func failCall(_ int, response http.ResponseWriter, _ string) {
	response.WriteHeader(http.StatusInternalServerError)
}
