package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/attempt"
	"rowanlink/serving/retry"
	"rowanlink/serving/routing"
	"rowanlink/test/fake/scriptedendpoint"
)

const streamHead = okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const lastChunk = "0\r\n\r\n"

// testEvent returns event number n; every third one has another field before its ID.
func testEvent(n int) string {
	version := ""
	if n%3 == 0 {
		version = "versions: 2\n"
	}
	return fmt.Sprintf("%sid: %d\ndata: piece %d\n\n", version, n, n)
}

func testEvents(first, last int) (text string) {
	for n := first; n <= last; n++ {
		text += testEvent(n)
	}
	return text
}

func TestStream_RelayedEventByEvent(t *testing.T) {
	next := make(chan string)
	r := newTestProxy(t, func(p *scriptedendpoint.Conn) {
		request := p.ReadRequest()
		if request == nil { // the proxy has abandoned the connection
			return
		}
		if request.Header.Get("Priority") != "2" {
			return
		}
		p.WriteText(streamHead)
		for text := range next {
			p.WriteText(text)
		}
		p.ReadToEnd()
	})
	go func() {
		next <- chunk(testEvent(1)[:5])
		next <- chunk(testEvent(1)[5:])
	}()
	response, err := r.client.Do(r.request("/chat/x", ""))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	body := bufio.NewReader(response.Body)
	for n := 1; n <= 5; n++ { // each one arrives before the next one is sent
		got := ""
		for !strings.HasSuffix(got, "\n\n") {
			line, err := body.ReadString('\n')
			require.NoError(t, err)
			got += line
		}
		assert.Equal(t, testEvent(n), got)
		if n < 5 {
			next <- chunk(testEvent(n + 1))
		}
	}
	next <- lastChunk
	close(next)
	_, err = body.ReadByte()
	assert.EqualError(t, err, "EOF")
}

func TestStream_ClientsLastEventID(t *testing.T) {
	r := newTestProxy(t, func(p *scriptedendpoint.Conn) {
		request := p.ReadRequest()
		if request == nil { // the proxy has abandoned the connection
			return
		}
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		p.WriteText(streamHead + chunk(testEvents(last+1, 6)) + lastChunk)
	})
	request := r.request("/chat/x", "")
	request.Header.Set("Last-Event-Id", "4")
	assert.Equal(t, testEvents(5, 6), r.do(request).body)
}

func TestStream_NotResumable(t *testing.T) {
	r := newTestProxy(t, respondAndClose(streamHead+chunk(testEvent(1)+"id: 2\n")), respondWith(okResponse))
	a := r.do(r.request("/draft/x", ""))
	assert.Equal(t, 200, a.status)
	assert.Equal(t, testEvent(1), a.body)
	assert.False(t, a.complete)
	assert.Equal(t, []attempt.Outcome{attempt.Broken}, r.picker.recordedOutcomes())

	r = newTestProxy(t, respondAndClose(streamHead+chunk("id: 1\n")), respondWith(okResponse))
	assert.Equal(t, 502, r.do(r.request("/draft/x", "")).status, "nothing of it was passed on")
}

func TestStream_NoEndpointResumes(t *testing.T) {
	for name, second := range map[string]func(*scriptedendpoint.Conn){
		"full": respondWith(rejectedResponse), "own error": respondWith(serverErrorResponse), "no stream": respondWith(okResponse), "break": respondAndClose(""),
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestProxy(t, respondAndClose(streamHead+chunk(testEvent(1))), second)
			a := r.do(r.request("/chat/x", ""))
			assert.Equal(t, testEvent(1), a.body)
			assert.False(t, a.complete)
		})
	}
}

// scarceRetries is a retry policy whose budget is used up for its first decisions after one that it grants.
type scarceRetries struct {
	RetryPolicy
	decisions atomic.Int64
	exhausted int64
}

func (s *scarceRetries) Decide(now time.Time, failed retry.FailedAttempt) retry.Decision {
	if n := s.decisions.Add(1); n > 1 && n <= 1+s.exhausted {
		return retry.Decision{BudgetExhausted: true, End: retry.EndFailed, Backoff: time.Millisecond}
	}
	return s.RetryPolicy.Decide(now, failed)
}

// TestStream_WaitsForRetryBudget: a stream was abandoned as another attempt had been granted, and that one didn't run.
// The client has part of the stream already, so it isn't cut off while there is no budget for a third attempt.
func TestStream_WaitsForRetryBudget(t *testing.T) {
	r := newTestProxy(t, func(p *scriptedendpoint.Conn) {
		p.ReadRequest()
		p.WriteText(streamHead + chunk(testEvents(1, 2)))
		p.ReadToEnd()
	}, respondWith(misdirectedResponse), resumeStream(t, 5))
	policy := &scarceRetries{RetryPolicy: r.server.options.RetryPolicy, exhausted: 5}
	r.server.options.RetryPolicy = policy
	a := r.do(r.request("/chat/x", ""))
	assert.Equal(t, testEvents(1, 5), a.body)
	assert.True(t, a.complete)
	assert.Equal(t, int64(7), policy.decisions.Load(), "asked again until there was budget")
	assert.Equal(t, []attempt.Outcome{attempt.TimedOut, attempt.Misdirected, attempt.Succeeded}, r.picker.recordedOutcomes())
}

// TestForward_RejectsAtOnceWithoutRetryBudget: a request of which the client has nothing yet is answered at once.
func TestForward_RejectsAtOnceWithoutRetryBudget(t *testing.T) {
	r := newPatientProxy(t, respondWith(rejectedResponse), respondWith(okResponse))
	policy := &scarceRetries{RetryPolicy: r.server.options.RetryPolicy, exhausted: 1 << 30}
	policy.decisions.Store(1)
	r.server.options.RetryPolicy = policy
	a := r.do(r.patientRequest("/fetch/x", ""))
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Equal(t, int64(2), policy.decisions.Load())
}

func TestStream_StalledStreamIsResumed(t *testing.T) {
	r := newTestProxy(t, func(p *scriptedendpoint.Conn) {
		p.ReadRequest()
		p.WriteText(streamHead + chunk(testEvents(1, 2)))
		p.ReadToEnd()
	}, resumeStream(t, 5))
	a := r.do(r.request("/chat/x", ""))
	assert.Equal(t, testEvents(1, 5), a.body)
	assert.True(t, a.complete)
	assert.Equal(t, []attempt.Outcome{attempt.TimedOut, attempt.Succeeded}, r.picker.recordedOutcomes())
}

// TestStream_WithoutContentType: such a stream is not buffered, and its connection stays open as long as the endpoint
// announces.
func TestStream_WithoutContentType(t *testing.T) {
	next := make(chan string)
	r := newTestProxy(t, func(p *scriptedendpoint.Conn) {
		for p.ReadRequest() != nil {
			p.WriteText(okHead + "Keep-Alive: timeout=0\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(testEvent(1)))
			p.WriteText(<-next)
		}
	})
	response, err := r.client.Do(r.request("/draft/x", ""))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, len(testEvent(1)))
	_, err = io.ReadFull(response.Body, first)
	require.NoError(t, err)
	assert.Equal(t, testEvent(1), string(first))
	next <- lastChunk
	_, err = response.Body.Read(first)
	assert.Equal(t, io.EOF, err)
	assert.Zero(t, r.server.options.Pool.Open())
}

func TestTimeouts(t *testing.T) {
	route := &routing.Route{LatencyTarget: 800 * time.Millisecond, GapTarget: 400 * time.Millisecond}
	model, plain := &routing.Service{Engine: &routing.Engine{}}, &routing.Service{}
	assert.Equal(t, 1600*time.Millisecond, firstByteTimeout(route, model, 200*time.Millisecond))
	assert.Equal(t, 3*time.Second, firstByteTimeout(route, model, time.Second))
	assert.Equal(t, 400*time.Millisecond, firstByteTimeout(route, plain, 0))
	assert.Equal(t, minFirstByteTimeout, firstByteTimeout(&routing.Route{}, nil, 0))
	assert.Zero(t, streamIdleTimeout(route))
	route.Resumable = true
	assert.Equal(t, 800*time.Millisecond, streamIdleTimeout(route))
	assert.Equal(t, defaultStreamIdleTimeout, streamIdleTimeout(&routing.Route{Resumable: true}))
}

// resumeStream returns a script that continues after the last event that the request names.
func resumeStream(t *testing.T, last int) func(*scriptedendpoint.Conn) {
	return func(p *scriptedendpoint.Conn) {
		request := p.ReadRequest()
		if request == nil { // the proxy has abandoned the connection
			return
		}
		after, err := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		assert.NoError(t, err)
		p.WriteText(strings.Replace(streamHead, "s1", "s2", 1) + chunk(testEvents(after+1, last)) + lastChunk)
	}
}

// brokenStream is an endpoint's response to a stream request that breaks off at a random byte.
type brokenStream struct {
	breakAt  int // bytes of events that are sent
	chunks   int // chunks that they are sent in
	overlap  int // events before the requested position that are sent again
	reset    bool
	complete bool // it doesn't break off
}

// script returns the endpoint's script. It must not generate random values: it runs on another goroutine.
func (f brokenStream) script(total int) func(*scriptedendpoint.Conn) {
	return func(p *scriptedendpoint.Conn) {
		request := p.ReadRequest()
		if request == nil { // the proxy has abandoned the connection
			return
		}
		after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		text := testEvents(max(after+1-f.overlap, 1), total)
		if !f.complete {
			text = text[:min(f.breakAt, len(text))]
		}
		p.WriteText(streamHead)
		for size := max(len(text)/max(f.chunks, 1), 1); len(text) > 0; {
			end := min(size, len(text))
			p.WriteText(chunk(text[:end]))
			text = text[end:]
		}
		if f.complete {
			p.WriteText(lastChunk)
		} else if f.reset {
			p.Reset()
		}
	}
}

// TestStream_ResumeProperty: wherever streams break off, the client receives each event once, in order and complete,
// and the response ends cleanly only if it is complete.
func TestStream_ResumeProperty(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(draw, "events")
		var scripts []func(*scriptedendpoint.Conn)
		clean := false
		for range rapid.IntRange(1, 6).Draw(draw, "attempts") {
			run := brokenStream{
				breakAt:  rapid.IntRange(0, 40*total).Draw(draw, "breakAt"),
				chunks:   rapid.IntRange(1, 20).Draw(draw, "chunks"),
				overlap:  rapid.IntRange(0, 3).Draw(draw, "overlap"),
				reset:    rapid.Bool().Draw(draw, "reset"),
				complete: rapid.IntRange(0, 3).Draw(draw, "complete") == 0,
			}
			clean = clean || run.complete
			scripts = append(scripts, run.script(total))
		}
		r := newTestProxy(t, scripts...)
		a := r.do(r.request("/chat/x", ""))
		complete := testEvents(1, total)
		if clean {
			if a.status != http.StatusOK || a.body != complete || !a.complete {
				draw.Fatalf("want all of %d events, got %d %t %q", total, a.status, a.complete, a.body)
			}
			return
		}
		if a.status == http.StatusOK {
			if a.complete {
				draw.Fatalf("ends cleanly: %q", a.body)
			}
			if !strings.HasPrefix(complete, a.body) || a.body != "" && !strings.HasSuffix(a.body, "\n\n") {
				draw.Fatalf("not a series of complete events: %q", a.body)
			}
		}
	})
}

// TestStream_WithoutEventIDsIsNotResumed: without IDs there is no position to resume from.
func TestStream_WithoutEventIDsIsNotResumed(t *testing.T) {
	const event = "data: piece\n\n"
	r := newTestProxy(t, respondAndClose(streamHead+chunk(event)), respondWith(streamHead+chunk(event+event)+lastChunk))
	a := r.do(r.request("/chat/x", ""))
	assert.Equal(t, event, a.body)
	assert.False(t, a.complete)
	assert.Equal(t, []attempt.Outcome{attempt.Broken}, r.picker.recordedOutcomes())
}
