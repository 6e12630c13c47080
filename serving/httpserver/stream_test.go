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
	"rowanlink/serving/placement"
	"rowanlink/serving/retry"
	"rowanlink/serving/routing"
	"rowanlink/test/fake/scriptedendpoint"
)

const streamHead = okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const lastChunk = "0\r\n\r\n"

// testEvent returns the event with ID n. If n is divisible by three, another field precedes the ID.
func testEvent(n int) string {
	version := ""
	if n%3 == 0 {
		version = "versions: 2\n"
	}
	return fmt.Sprintf("%sid: %d\ndata: piece %d\n\n", version, n, n)
}

// testEvents returns the events with the IDs from first to last.
func testEvents(first, last int) (text string) {
	for n := first; n <= last; n++ {
		text += testEvent(n)
	}
	return text
}

func TestStream_RelayedEventByEvent(t *testing.T) {
	next := make(chan string)
	proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) {
		request := conn.ReadRequest()
		if request == nil { // the proxy has abandoned the connection
			return
		}
		if request.Header.Get("Priority") != "2" {
			return
		}
		conn.WriteText(streamHead)
		for text := range next {
			conn.WriteText(text)
		}
		conn.ReadToEnd()
	})
	go func() {
		next <- chunk(testEvent(1)[:5])
		next <- chunk(testEvent(1)[5:])
	}()
	response, err := proxy.client.Do(proxy.request("/chat/x", ""))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	body := bufio.NewReader(response.Body)
	for n := 1; n <= 5; n++ { // each event arrives at the client before the next one is sent
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
	proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) {
		request := conn.ReadRequest()
		if request == nil { // the proxy has abandoned the connection
			return
		}
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		conn.WriteText(streamHead + chunk(testEvents(last+1, 6)) + lastChunk)
	})
	request := proxy.request("/chat/x", "")
	request.Header.Set("Last-Event-Id", "4")
	assert.Equal(t, testEvents(5, 6), proxy.do(request).body)
}

func TestStream_NotResumable(t *testing.T) {
	proxy := newTestProxy(t, respondAndClose(streamHead+chunk(testEvent(1)+"id: 2\n")), respondWith(okResponse))
	response := proxy.do(proxy.request("/draft/x", ""))
	assert.Equal(t, 200, response.status)
	assert.Equal(t, testEvent(1), response.body)
	assert.False(t, response.complete)
	assert.Equal(t, []attempt.Outcome{attempt.Broken}, proxy.picker.recordedOutcomes())

	proxy = newTestProxy(t, respondAndClose(streamHead+chunk("id: 1\n")), respondWith(okResponse))
	assert.Equal(t, 502, proxy.do(proxy.request("/draft/x", "")).status, "no event was relayed")
}

func TestStream_NoEndpointResumes(t *testing.T) {
	for name, second := range map[string]func(*scriptedendpoint.Conn){
		"full": respondWith(rejectedResponse), "server error": respondWith(serverErrorResponse), "no stream": respondWith(okResponse), "break": respondAndClose(""),
	} {
		t.Run(name, func(t *testing.T) {
			proxy := newTestProxy(t, respondAndClose(streamHead+chunk(testEvent(1))), second)
			response := proxy.do(proxy.request("/chat/x", ""))
			assert.Equal(t, testEvent(1), response.body)
			assert.False(t, response.complete)
		})
	}
}

// exhaustedBudgetPolicy is a retry policy whose retry budget is exhausted for some decisions, beginning with the second
// one.
type exhaustedBudgetPolicy struct {
	RetryPolicy
	decisions atomic.Int64 // decisions made
	exhausted int64        // number of decisions for which the budget is exhausted
}

func (s *exhaustedBudgetPolicy) Decide(now time.Time, failed retry.FailedAttempt) retry.Decision {
	if n := s.decisions.Add(1); n > 1 && n <= 1+s.exhausted {
		return retry.Decision{BudgetExhausted: true, End: retry.EndFailed, Backoff: time.Millisecond}
	}
	return s.RetryPolicy.Decide(now, failed)
}

// TestStream_WaitsForRetryBudget: the first attempt at a stream is abandoned because a second attempt has been granted,
// and the second attempt ends as Misdirected. The client has part of the stream already, so the proxy waits for
// retry budget for a third attempt, instead of ending the stream.
func TestStream_WaitsForRetryBudget(t *testing.T) {
	proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) {
		conn.ReadRequest()
		conn.WriteText(streamHead + chunk(testEvents(1, 2)))
		conn.ReadToEnd()
	}, respondWith(misdirectedResponse), resumeStream(t, 5))
	policy := &exhaustedBudgetPolicy{RetryPolicy: proxy.server.options.RetryPolicy, exhausted: 5}
	proxy.server.options.RetryPolicy = policy
	response := proxy.do(proxy.request("/chat/x", ""))
	assert.Equal(t, testEvents(1, 5), response.body)
	assert.True(t, response.complete)
	assert.Equal(t, int64(7), policy.decisions.Load(), "the policy is asked until there is budget")
	assert.Equal(t, []attempt.Outcome{attempt.TimedOut, attempt.Misdirected, attempt.Succeeded}, proxy.picker.recordedOutcomes())
}

// TestForward_RejectsAtOnceWithoutRetryBudget: if the client has received nothing yet and there is no retry budget, the
// request is rejected without waiting for budget.
func TestForward_RejectsAtOnceWithoutRetryBudget(t *testing.T) {
	proxy := newTestProxyWithLongTimeouts(t, respondWith(rejectedResponse), respondWith(okResponse))
	policy := &exhaustedBudgetPolicy{RetryPolicy: proxy.server.options.RetryPolicy, exhausted: 1 << 30}
	policy.decisions.Store(1)
	proxy.server.options.RetryPolicy = policy
	response := proxy.do(proxy.requestWithLongDeadline("/fetch/x", ""))
	assert.Equal(t, http.StatusServiceUnavailable, response.status)
	assert.Equal(t, int64(2), policy.decisions.Load())
}

func TestStream_StalledStreamIsResumed(t *testing.T) {
	proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) {
		conn.ReadRequest()
		conn.WriteText(streamHead + chunk(testEvents(1, 2)))
		conn.ReadToEnd()
	}, resumeStream(t, 5))
	response := proxy.do(proxy.request("/chat/x", ""))
	assert.Equal(t, testEvents(1, 5), response.body)
	assert.True(t, response.complete)
	assert.Equal(t, []attempt.Outcome{attempt.TimedOut, attempt.Succeeded}, proxy.picker.recordedOutcomes())
}

// TestStream_OutputLeftOfResumedStream: the events that the client has received, of four tokens each, are no work that is
// left.
func TestStream_OutputLeftOfResumedStream(t *testing.T) {
	proxy := newTestProxy(t, respondAndClose(streamHead+chunk(testEvents(1, 3))), resumeStream(t, 5))
	request := proxy.request("/chat/x", "")
	request.Header.Set("X-Token-Count", "1460,80")
	assert.True(t, proxy.do(request).complete)
	require.Len(t, proxy.picker.requests, 2)
	assert.Equal(t, 80, proxy.picker.requests[0].MaxOutputTokens)
	assert.Equal(t, 80-3*4, proxy.picker.requests[1].MaxOutputTokens)
}

// TestStream_WithoutContentType: on a route for streams, a response of unknown length is not buffered even without a
// Content-Type. The endpoint announces an idle timeout of zero, so its connection is closed after the response.
func TestStream_WithoutContentType(t *testing.T) {
	next := make(chan string)
	proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) {
		for conn.ReadRequest() != nil {
			conn.WriteText(okHead + "Keep-Alive: timeout=0\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(testEvent(1)))
			conn.WriteText(<-next)
		}
	})
	response, err := proxy.client.Do(proxy.request("/draft/x", ""))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, len(testEvent(1)))
	_, err = io.ReadFull(response.Body, first)
	require.NoError(t, err)
	assert.Equal(t, testEvent(1), string(first))
	next <- lastChunk
	_, err = response.Body.Read(first)
	assert.Equal(t, io.EOF, err)
	assert.Zero(t, proxy.server.options.Pool.OpenConnections())
}

// TestTimeouts: an attempt is given up once it takes far longer than expected of its endpoint, whatever the route's
// latency target is.
func TestTimeouts(t *testing.T) {
	model, plain := &routing.Service{Engine: &routing.Engine{}}, &routing.Service{}
	choice := func(expected, deviation time.Duration) placement.Choice {
		return placement.Choice{ExpectedFirstByte: expected, FirstByteDeviation: deviation}
	}
	assert.Equal(t, minPrefillTimeout, firstByteTimeout(model, choice(200*time.Millisecond, 0)))
	assert.Equal(t, 3*time.Second, firstByteTimeout(model, choice(time.Second, 0)))
	assert.Equal(t, 190*time.Millisecond, firstByteTimeout(plain, choice(30*time.Millisecond, 40*time.Millisecond)))
	assert.Equal(t, 600*time.Millisecond, firstByteTimeout(plain, choice(200*time.Millisecond, 100*time.Millisecond)))
	assert.Equal(t, minFirstByteTimeout, firstByteTimeout(nil, choice(0, 0)))

	route := &routing.Route{LatencyTarget: 800 * time.Millisecond, GapTarget: 400 * time.Millisecond}
	assert.Zero(t, streamIdleTimeout(route))
	route.Resumable = true
	assert.Equal(t, time.Second, streamIdleTimeout(route), "a client gives up after two")
	route.GapTarget = 3 * time.Second
	assert.Equal(t, 3*time.Second, streamIdleTimeout(route), "a gap that the route allows")
}

// TestForward_HopelessRetryIsNotMade: an attempt that makes no progress is not abandoned if another one could not be in
// time: the endpoint may still respond.
func TestForward_HopelessRetryIsNotMade(t *testing.T) {
	proxy := newTestProxy(t)
	route := &routing.Route{Kind: routing.KindIdempotent, MaxAttempts: 3}
	for range 100 { // each adds to the retry budget
		proxy.server.options.RetryPolicy.CountRequest(time.Now(), "plain")
	}
	for needed, abandons := range map[time.Duration]bool{time.Second: true, time.Hour: false} {
		f := &forwarder{server: proxy.server, service: "plain", request: &request{route: route, deadline: time.Now().Add(time.Minute)}}
		f.nextAttemptTime.Store(int64(needed))
		assert.Equal(t, abandons, f.mayAbandonAttempt())
		assert.Equal(t, abandons, f.grantedRetry != nil)
	}
}

// resumeStream returns a script that sends the events after the request's Last-Event-Id, up to the given last one.
func resumeStream(t *testing.T, last int) func(*scriptedendpoint.Conn) {
	return func(conn *scriptedendpoint.Conn) {
		request := conn.ReadRequest()
		if request == nil { // the proxy has abandoned the connection
			return
		}
		after, err := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		assert.NoError(t, err)
		conn.WriteText(strings.Replace(streamHead, "s1", "s2", 1) + chunk(testEvents(after+1, last)) + lastChunk)
	}
}

// brokenStream describes a stream that an endpoint sends, and where it breaks off.
type brokenStream struct {
	breakAt  int  // number of bytes of events that are sent
	chunks   int  // number of chunks in which they are sent
	overlap  int  // number of events that are sent again although the request's Last-Event-Id includes them
	reset    bool // the connection is reset instead of closed
	complete bool // the stream doesn't break off
}

// script returns the endpoint's script. The script must not draw random values, since it runs on another goroutine than
// the property test.
func (f brokenStream) script(total int) func(*scriptedendpoint.Conn) {
	return func(conn *scriptedendpoint.Conn) {
		request := conn.ReadRequest()
		if request == nil { // the proxy has abandoned the connection
			return
		}
		after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		text := testEvents(max(after+1-f.overlap, 1), total)
		if !f.complete {
			text = text[:min(f.breakAt, len(text))]
		}
		conn.WriteText(streamHead)
		for size := max(len(text)/max(f.chunks, 1), 1); len(text) > 0; {
			end := min(size, len(text))
			conn.WriteText(chunk(text[:end]))
			text = text[end:]
		}
		if f.complete {
			conn.WriteText(lastChunk)
		} else if f.reset {
			conn.Reset()
		}
	}
}

// TestStream_ResumeProperty: wherever streams break off, the client receives each event at most once, in order and
// complete, and the response ends cleanly only if it has all events.
func TestStream_ResumeProperty(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(draw, "events")
		var scripts []func(*scriptedendpoint.Conn)
		anyComplete := false
		for range rapid.IntRange(1, 6).Draw(draw, "attempts") {
			stream := brokenStream{
				breakAt:  rapid.IntRange(0, 40*total).Draw(draw, "breakAt"),
				chunks:   rapid.IntRange(1, 20).Draw(draw, "chunks"),
				overlap:  rapid.IntRange(0, 3).Draw(draw, "overlap"),
				reset:    rapid.Bool().Draw(draw, "reset"),
				complete: rapid.IntRange(0, 3).Draw(draw, "complete") == 0,
			}
			anyComplete = anyComplete || stream.complete
			scripts = append(scripts, stream.script(total))
		}
		proxy := newTestProxy(t, scripts...)
		response := proxy.do(proxy.request("/chat/x", ""))
		allEvents := testEvents(1, total)
		if anyComplete {
			if response.status != http.StatusOK || response.body != allEvents || !response.complete {
				draw.Fatalf("want all of %d events, got %d %t %q", total, response.status, response.complete, response.body)
			}
			return
		}
		if response.status == http.StatusOK {
			if response.complete {
				draw.Fatalf("ends cleanly: %q", response.body)
			}
			if !strings.HasPrefix(allEvents, response.body) || response.body != "" && !strings.HasSuffix(response.body, "\n\n") {
				draw.Fatalf("not a series of complete events: %q", response.body)
			}
		}
	})
}

// TestStream_WithoutEventIDsIsNotResumed: without IDs there is no position to resume from.
func TestStream_WithoutEventIDsIsNotResumed(t *testing.T) {
	const event = "data: piece\n\n"
	proxy := newTestProxy(t, respondAndClose(streamHead+chunk(event)), respondWith(streamHead+chunk(event+event)+lastChunk))
	response := proxy.do(proxy.request("/chat/x", ""))
	assert.Equal(t, event, response.body)
	assert.False(t, response.complete)
	assert.Equal(t, []attempt.Outcome{attempt.Broken}, proxy.picker.recordedOutcomes())
}
