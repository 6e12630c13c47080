package httpserver

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/serving/placement"
	"rowanlink/test/fake/scriptedendpoint"
)

func TestForward_HeadersAndBodiesUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) {
		for request := conn.ReadRequest(); request != nil; request = conn.ReadRequest() {
			got <- request
			conn.WriteText(okHead + "X-Own: 1\r\nX-Own: 2\r\nKeep-Alive: timeout=9\r\nContent-Length: 4\r\n\r\nbody")
		}
	})
	request := proxy.request("/fetch/%2e%2e//a?x=%zz&&", "hello")
	request.URL.Opaque = "/fetch/%2e%2e//a"
	request.Header.Set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410")
	request.Header.Set("X-Token-Count", "1460,80")
	request.Header.Set("X-Model", "m")
	request.Header.Set("Te", "trailers")
	response := proxy.do(request)
	assert.Equal(t, http.StatusOK, response.status)
	assert.Equal(t, "body", response.body)
	assert.Equal(t, "s1", response.header.Get("X-Postmark"))
	assert.Equal(t, "a1", response.header.Get("X-Attempt-Id"))
	assert.Equal(t, []string{"1", "2"}, response.header["X-Own"])
	assert.Equal(t, "timeout=15", response.header.Get("Keep-Alive"), "the proxy's own idle timeout, not the endpoint's")
	assert.NotContains(t, response.header, "Content-Type")
	assert.NotContains(t, response.header, "Date")

	sent := <-got
	assert.Equal(t, "/fetch/%2e%2e//a?x=%zz&&", sent.RequestURI)
	assert.Equal(t, "shop.example", sent.Host)
	assert.Equal(t, "i-a", sent.Header.Get("X-Deliver-To"))
	assert.Equal(t, "5c1e07a2:800,91bd3f06:410", sent.Header.Get("X-Prompt-Prefix"))
	assert.Empty(t, sent.Header.Get("Te"))
	assert.Empty(t, sent.Header.Get("Priority"), "only language models support it")
	body, err := io.ReadAll(sent.Body)
	require.NoError(t, err)
	assert.Equal(t, "hello", string(body))

	placed := proxy.picker.requests[0]
	assert.Equal(t, "m", placed.Model)
	assert.Equal(t, 1460, placed.PromptTokens)
	assert.Equal(t, 80, placed.MaxOutputTokens)
	assert.Equal(t, []placement.PrefixBlock{{ID: "5c1e07a2", Tokens: 800}, {ID: "91bd3f06", Tokens: 410}}, placed.Blocks)
	assert.Equal(t, []attempt.Outcome{attempt.Succeeded}, proxy.picker.recordedOutcomes())
}

func TestForward_ChunkedRequestBody(t *testing.T) {
	got := make(chan string, 1)
	proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) {
		request := conn.ReadRequest()
		if request == nil { // the proxy has abandoned the connection
			return
		}
		body, _ := io.ReadAll(request.Body)
		got <- string(body)
		conn.WriteText(okResponse)
	})
	request := proxy.request("/once/", "")
	request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 70000)))
	request.ContentLength = -1
	assert.Equal(t, "body", proxy.do(request).body)
	assert.Len(t, <-got, 70000)
}

// TestForward_AfterFailedAttempt: the first endpoint fails, in each case in another way; the second one would succeed.
// An idempotent request is retried. A request that may run only once is retried only if the first attempt can't have
// run.
func TestForward_AfterFailedAttempt(t *testing.T) {
	for _, c := range []struct {
		name       string
		first      func(*scriptedendpoint.Conn)
		idempotent int // status of a request that may be run more than once
		once       int // status of a request that may run only once
		outcome    attempt.Outcome
	}{
		{name: "full", first: respondWith(rejectedResponse), idempotent: 200, once: 200, outcome: attempt.Rejected},
		{name: "other incarnation", first: respondWith(misdirectedResponse), idempotent: 200, once: 200, outcome: attempt.Misdirected},
		{name: "server error", first: respondWith(serverErrorResponse), idempotent: 200, once: 500, outcome: attempt.Failed},
		{name: "close without a response", first: respondAndClose(""), idempotent: 200, once: 502, outcome: attempt.Broken},
		{name: "reset", first: func(conn *scriptedendpoint.Conn) { conn.ReadRequest(); conn.Reset() }, idempotent: 200, once: 502, outcome: attempt.Broken},
		{name: "truncated head", first: respondAndClose(okHead[:20]), idempotent: 200, once: 502, outcome: attempt.Broken},
		{name: "truncated body", first: respondAndClose(okResponse[:len(okResponse)-1]), idempotent: 200, once: 502, outcome: attempt.Broken},
		{name: "garbage", first: respondAndClose("garbage\r\n\r\n"), idempotent: 200, once: 502, outcome: attempt.Broken},
		{name: "encoded", first: respondAndClose(okHead + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"), idempotent: 200, once: 502, outcome: attempt.Broken},
		{name: "unmarked 503", first: respondWith(strings.Replace(serverErrorResponse, "500 Oops", "503 Oops", 1)), idempotent: 200, once: 502, outcome: attempt.Failed},
		{name: "unmarked 429", first: respondWith(strings.Replace(serverErrorResponse, "500 Oops", "429 Oops", 1)), idempotent: 200, once: 502, outcome: attempt.Failed},
	} {
		for path, want := range map[string]int{"/fetch/x": c.idempotent, "/once/x": c.once} {
			t.Run(c.name+path, func(t *testing.T) {
				proxy := newTestProxyWithLongTimeouts(t, c.first, respondWith(okResponse))
				response := proxy.do(proxy.requestWithLongDeadline(path, "q"))
				assert.Equal(t, want, response.status)
				assert.True(t, response.complete)
				assert.Equal(t, c.outcome, proxy.picker.recordedOutcomes()[0])
				if want == 200 {
					assert.Equal(t, "body", response.body)
					assert.Len(t, proxy.picker.recordedOutcomes(), 2)
				} else {
					assert.Len(t, proxy.picker.recordedOutcomes(), 1)
					assert.Empty(t, response.header.Get("Retry-After"))
					hasStamp := response.header.Get("X-Postmark") != ""
					assert.Equal(t, want == 500, hasStamp, "only a relayed endpoint response carries the endpoint's stamp")
				}
			})
		}
	}
}

func TestForward_LastServerErrorIsRelayed(t *testing.T) {
	proxy := newTestProxy(t, respondWith(serverErrorResponse), respondWith(serverErrorResponse))
	response := proxy.do(proxy.request("/fetch/x", ""))
	assert.Equal(t, 500, response.status)
	assert.Equal(t, "err", response.body)
	assert.Equal(t, "1", response.header.Get("X-Own"))
	assert.Len(t, proxy.picker.recordedOutcomes(), 2)
}

func TestForward_RejectedByAllEndpoints(t *testing.T) {
	for _, script := range []func(*scriptedendpoint.Conn){respondWith(rejectedResponse), respondWith(misdirectedResponse)} {
		proxy := newTestProxy(t, script, script)
		request := proxy.request("/once/x", "")
		request.Header.Set("X-Time-Left", "150")
		response := proxy.do(request)
		assert.Equal(t, 503, response.status)
		after, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Greater(t, after, 0.)
		assert.LessOrEqual(t, after, 0.05)
	}
}

// TestForward_RetryAfterOfThePicker: a client whose request endpoints have rejected is told when the picker expects one
// to be free, whatever the route's latency target is, and never more than it honors.
func TestForward_RetryAfterOfThePicker(t *testing.T) {
	for wanted, told := range map[time.Duration]string{500 * time.Millisecond: "0.500", time.Minute: "1.66", 0: "0.020"} {
		full := respondWith(rejectedResponse)
		proxy := newTestProxy(t, full, full, full) // as many as the route allows attempts
		proxy.picker.retryAfter = wanted
		response := proxy.do(proxy.request("/once/x", ""))
		assert.Equal(t, 503, response.status)
		assert.Contains(t, response.header.Get("Retry-After"), told)
	}
}

func TestForward_NoEndpoint(t *testing.T) {
	proxy := newTestProxy(t)
	response := proxy.do(proxy.request("/once/x", ""))
	assert.Equal(t, 503, response.status)
	assert.Equal(t, "0.100", response.header.Get("Retry-After"))
}

// TestForward_RetryHasNotWaited: for the picker, a retry is like a first attempt, even if that had to wait.
func TestForward_RetryHasNotWaited(t *testing.T) {
	proxy := newTestProxy(t, respondWith(rejectedResponse), respondWith(okResponse))
	proxy.picker.decisions = []placement.Decision{{Kind: placement.Wait, Delay: time.Millisecond, Service: "plain"}}
	assert.Equal(t, 200, proxy.do(proxy.request("/once/x", "")).status)
	assert.Equal(t, "plain", proxy.picker.requests[1].Service, "the one that it waits for")
	var waited []bool
	for _, request := range proxy.picker.requests {
		waited = append(waited, request.Waited)
	}
	assert.Equal(t, []bool{false, true, false}, waited)
}

func TestForward_WaitsForASlot(t *testing.T) {
	proxy := newTestProxy(t, respondWith(okResponse))
	proxy.picker.decisions = []placement.Decision{{Kind: placement.Wait, Delay: time.Millisecond}, {Kind: placement.Wait}}
	assert.Equal(t, 200, proxy.do(proxy.request("/once/x", "")).status)
	assert.Len(t, proxy.picker.requests, 3)
}

// TestForward_Deadlines: a request ends at the client's or the route's deadline, whichever is earlier.
func TestForward_Deadlines(t *testing.T) {
	silent := func(conn *scriptedendpoint.Conn) { conn.ReadToEnd() }
	proxy := newTestProxy(t, silent)
	request := proxy.request("/once/x", "")
	request.Header.Set("X-Time-Left", "30")
	assert.Equal(t, 504, proxy.do(request).status)
	assert.Equal(t, 504, proxy.do(proxy.request("/short/x", "")).status)
	assert.Equal(t, []attempt.Outcome{attempt.TimedOut, attempt.TimedOut}, proxy.picker.recordedOutcomes())

	request = proxy.request("/once/x", "")
	request.Header.Set("X-Time-Left", "0")
	response := proxy.do(request)
	assert.Equal(t, 503, response.status, "no attempt was made")
	assert.Len(t, proxy.picker.recordedOutcomes(), 2)
}

func TestForward_LongResponseIsNotBuffered(t *testing.T) {
	long := strings.Repeat("0123456789", 30000)
	for _, framing := range []string{"length", "chunked", "none"} {
		for _, truncated := range []bool{false, true} {
			t.Run(framing+strconv.FormatBool(truncated), func(t *testing.T) {
				proxy := newTestProxyWithLongTimeouts(t, func(conn *scriptedendpoint.Conn) {
					conn.ReadRequest()
					text := map[string]string{
						"length":  "Content-Length: " + strconv.Itoa(len(long)) + "\r\n\r\n" + long,
						"chunked": "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(long)), 16) + "\r\n" + long + "\r\n0\r\n\r\n",
						"none":    "\r\n" + long,
					}[framing]
					if truncated {
						text = text[:len(text)-10]
					}
					conn.WriteText(okHead + text)
					if truncated && framing == "none" { // without a length, a clean close would end the body properly
						conn.Reset()
					}
				}, respondWith(okResponse))
				response := proxy.do(proxy.requestWithLongDeadline("/fetch/x", ""))
				if response.status == 0 && truncated && framing == "none" {
					return // the reset arrived before the headers were relayed
				}
				if truncated && framing == "none" && response.body == "body" {
					return // the reset arrived so early that the request was retried
				}
				assert.Equal(t, 200, response.status)
				assert.Equal(t, !truncated, response.complete)
				if !truncated {
					assert.Equal(t, long, response.body)
				}
			})
		}
	}
}

func TestForward_ResponsesWithoutBody(t *testing.T) {
	proxy := newTestProxy(t, respondWith("HTTP/1.1 204 None\r\nX-Attempt-Id: a1\r\nX-Postmark: s1\r\n\r\n"))
	response := proxy.do(proxy.request("/fetch/x", ""))
	assert.Equal(t, 204, response.status)
	assert.True(t, response.complete)

	proxy = newTestProxy(t, respondWith(okHead+"Content-Length: 4\r\n\r\n"))
	request := proxy.request("/fetch/x", "")
	request.Method = http.MethodHead
	request.Body = nil
	request.ContentLength = 0
	response = proxy.do(request)
	assert.Equal(t, 200, response.status)
	assert.Equal(t, "4", response.header.Get("Content-Length"))
}

func TestForward_ClientDisconnects(t *testing.T) {
	for name, sent := range map[string]string{"/once/x": "", "/chat/x": streamHead + chunk("id: 1\ndata: x\n\n")} {
		t.Run(name, func(t *testing.T) {
			reached, disconnected := make(chan struct{}), make(chan struct{})
			proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) {
				conn.ReadRequest()
				conn.WriteText(sent)
				close(reached)
				conn.ReadToEnd()
				close(disconnected)
			})
			done := make(chan struct{})
			request := proxy.request(name, "q")
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				proxy.do(request.WithContext(ctx))
				close(done)
			}()
			<-reached
			cancel()
			<-disconnected
			<-done
		})
	}
}

func TestForward_UnresponsiveEndpointIsAbandoned(t *testing.T) {
	proxy := newTestProxy(t, func(conn *scriptedendpoint.Conn) { conn.ReadToEnd() }, respondWith(okResponse))
	response := proxy.do(proxy.request("/fetch/x", ""))
	assert.Equal(t, 200, response.status)
	assert.Equal(t, []attempt.Outcome{attempt.TimedOut, attempt.Succeeded}, proxy.picker.recordedOutcomes())
}

// TestForward_DeadlineDuringRetryBackoff: the first attempt may have run, so the response must not imply that the
// request has not run.
func TestForward_DeadlineDuringRetryBackoff(t *testing.T) {
	proxy := newTestProxy(t, respondAndClose(okHead[:20]), respondWith(okResponse))
	proxy.picker.decisions = []placement.Decision{{Kind: placement.Picked}, {Kind: placement.Wait, Delay: time.Minute}}
	request := proxy.request("/fetch/x", "")
	request.Header.Set("X-Time-Left", "100")
	assert.Equal(t, 504, proxy.do(request).status)
	assert.Equal(t, []attempt.Outcome{attempt.Broken}, proxy.picker.recordedOutcomes())
}
