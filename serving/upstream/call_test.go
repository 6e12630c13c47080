package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/test/fake/scriptedendpoint"
)

func TestDo_RequestArrivesUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
		for request := conn.ReadRequest(); request != nil; request = conn.ReadRequest() {
			got <- request
			conn.WriteText(okResponse)
		}
	})
	call := newCall(endpoint.Address())
	call.Priority, call.LastEventID = "3", "17"
	call.Header.Set("Priority", "9")
	call.Header.Set("Last-Event-Id", "1")
	call.Header.Set("X-Time-Left", "99999999")
	call.Header.Set("X-Deliver-To", "another")
	response, body, failure := doCall(t, New(testOptions), call)
	require.Nil(t, failure)
	assert.Equal(t, "body", body)
	assert.Equal(t, "s", response.Header.Get("X-Postmark"))

	request := <-got
	assert.Equal(t, call.RequestTarget, request.RequestURI)
	assert.Equal(t, "host.example", request.Host)
	assert.Equal(t, []string{"i-1"}, request.Header["X-Deliver-To"])
	assert.Equal(t, []string{"3"}, request.Header["Priority"])
	assert.Equal(t, []string{"17"}, request.Header["Last-Event-Id"])
	assert.Equal(t, []string{"a1"}, request.Header["X-Attempt-Id"])
	left, err := strconv.Atoi(request.Header.Get("X-Time-Left"))
	require.NoError(t, err)
	assert.InDelta(t, 60000, left, 5000)
	sent, err := io.ReadAll(request.Body)
	require.NoError(t, err)
	assert.Equal(t, "hello", string(sent))
	assert.Equal(t, "9", call.Header.Get("Priority"), "the caller's headers are not modified")
}

func TestPool_ReusesConnections(t *testing.T) {
	endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
		for conn.ReadRequest() != nil {
			conn.WriteText(okResponse)
		}
	})
	pool := New(testOptions)
	for range 5 {
		_, body, failure := doCall(t, pool, newCall(endpoint.Address()))
		require.Nil(t, failure)
		assert.Equal(t, "body", body)
	}
	assert.EqualValues(t, 1, endpoint.Connections())
	assert.Equal(t, 1, pool.OpenConnections())
	pool.Sweep(time.Now())
	assert.Equal(t, 1, pool.OpenConnections())
	pool.Sweep(time.Now().Add(time.Hour))
	assert.Zero(t, pool.OpenConnections())
}

// TestPool_DoesNotReuseAfter: after each of these responses, the next request uses a new connection.
func TestPool_DoesNotReuseAfter(t *testing.T) {
	surplus := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a0\r\nX-Postmark: s\r\nContent-Length: 3\r\n\r\nold"
	for name, sent := range map[string]string{
		"close":             strings.Replace(okResponse, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1),
		"keep-alive 0":      strings.Replace(okResponse, "\r\n\r\n", "\r\nKeep-Alive: timeout=0\r\n\r\n", 1),
		"http 1.0":          strings.Replace(okResponse, "HTTP/1.1", "HTTP/1.0", 1),
		"surplus after":     okResponse + surplus,
		"garbage after":     okResponse + "x",
		"surplus before":    surplus + okResponse,
		"two before":        surplus + surplus + okResponse,
		"surplus rejection": "HTTP/1.1 503 No\r\nX-Not-Delivered: 1\r\nX-Attempt-Id: a0\r\nContent-Length: 0\r\n\r\n" + okResponse,
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
				if conn.ReadRequest() == nil {
					return
				}
				if conn.Number == 0 {
					conn.WriteText(sent)
				} else {
					conn.WriteText(okResponse)
				}
				conn.ReadToEnd()
			})
			pool := New(testOptions)
			for range 2 {
				_, body, failure := doCall(t, pool, newCall(endpoint.Address()))
				require.Nil(t, failure)
				assert.Equal(t, "body", body)
			}
			assert.EqualValues(t, 2, endpoint.Connections())
		})
	}
}

// TestPool_LateForeignResponse: after the next request was sent on the connection, the endpoint sends its response to
// the first request again, before the response to the next one. The repeated response is skipped, and the connection is
// not reused any more.
func TestPool_LateForeignResponse(t *testing.T) {
	late := make(chan struct{})
	endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
		conn.ReadRequest()
		conn.WriteText(okResponse)
		if conn.ReadRequest() == nil {
			return
		}
		close(late)
		conn.WriteText(okResponse + strings.ReplaceAll(strings.ReplaceAll(okResponse, "a1", "a2"), "body", "next"))
		conn.ReadToEnd()
	})
	pool := New(testOptions)
	_, _, failure := doCall(t, pool, newCall(endpoint.Address()))
	require.Nil(t, failure)
	second := newCall(endpoint.Address())
	second.Header.Set("X-Attempt-Id", "a2")
	_, body, failure := doCall(t, pool, second)
	<-late
	require.Nil(t, failure)
	assert.Equal(t, "next", body)
	assert.Zero(t, pool.OpenConnections())
}

// TestDo_ResentRequestUsesNewConnection: an endpoint that rejected a request may repeat the rejection late, while it
// runs the resent request. If the rejection were taken for the response to the resent request, it would wrongly imply
// that the request has not run.
func TestDo_ResentRequestUsesNewConnection(t *testing.T) {
	const rejection = "HTTP/1.1 503 Full\r\nX-Not-Delivered: 1\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
	endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
		for conn.ReadRequest() != nil {
			if conn.Number == 0 {
				conn.WriteText(rejection)
			} else {
				conn.WriteText(okResponse)
			}
		}
	})
	pool := New(testOptions)
	_, _, failure := doCall(t, pool, newCall(endpoint.Address()))
	require.NotNil(t, failure)
	require.Equal(t, attempt.Rejected, failure.Outcome)

	resent := newCall(endpoint.Address())
	resent.Resent = true
	resent.MaxConnections = 1
	_, body, failure := doCall(t, pool, resent)
	require.Nil(t, failure)
	assert.Equal(t, "body", body)
	assert.EqualValues(t, 2, endpoint.Connections())
	assert.Equal(t, 1, pool.OpenConnections(), "the connection of the first attempt is replaced")
}

func TestPool_ConnectionClosedWhileIdle(t *testing.T) {
	for name, end := range map[string]func(*scriptedendpoint.Conn){
		"closed":      func(conn *scriptedendpoint.Conn) { _ = conn.Close() },
		"reset":       func(conn *scriptedendpoint.Conn) { conn.Reset() },
		"unsolicited": func(conn *scriptedendpoint.Conn) { conn.WriteText("HTTP/1.1 200 OK\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			responded, ended := make(chan struct{}), make(chan struct{})
			endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
				if conn.ReadRequest() == nil {
					return
				}
				conn.WriteText(okResponse)
				if conn.Number == 0 {
					<-responded
					end(conn)
					close(ended)
				}
				conn.ReadToEnd()
			})
			pool := New(testOptions)
			_, _, failure := doCall(t, pool, newCall(endpoint.Address()))
			require.Nil(t, failure)
			close(responded)
			<-ended
			_, body, failure := doCall(t, pool, newCall(endpoint.Address()))
			require.Nil(t, failure)
			assert.Equal(t, "body", body)
			assert.EqualValues(t, 2, endpoint.Connections())
		})
	}
}

func TestDo_Rejections(t *testing.T) {
	for sent, want := range map[string]attempt.Outcome{
		"HTTP/1.1 503 Full\r\nX-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n":                     attempt.Rejected,
		"HTTP/1.1 503 Full\r\nX-Not-Delivered: 1\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n": attempt.Rejected,
		"HTTP/1.1 429 Full\r\nX-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n":                     attempt.Rejected,
		"HTTP/1.1 400 What\r\nX-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n":                     attempt.Rejected,
		"HTTP/1.1 421 Other\r\nX-Endpoint-Id: i-2\r\nContent-Length: 0\r\n\r\n":                    attempt.Misdirected,
	} {
		endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
			for conn.ReadRequest() != nil {
				conn.WriteText(sent)
			}
		})
		pool := New(testOptions)
		for range 2 {
			_, _, failure := doCall(t, pool, newCall(endpoint.Address()))
			require.NotNil(t, failure)
			assert.Equal(t, want, failure.Outcome)
			assert.NoError(t, failure.Cause)
		}
		if strings.Contains(sent, "a1") {
			assert.EqualValues(t, 1, endpoint.Connections(), "after a rejection with an attempt ID, the connection is reused")
		} else {
			assert.EqualValues(t, 2, endpoint.Connections())
		}
	}
}

// TestDo_ResponseBeforeBodyIsSent: the endpoint responds before it has read a long body. The connection must not be
// reused.
func TestDo_ResponseBeforeBodyIsSent(t *testing.T) {
	rest := make(chan int64, 1)
	responded := make(chan struct{})
	endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
		if conn.Number > 0 {
			conn.ReadRequest()
			conn.WriteText(okResponse)
			return
		}
		_, err := http.ReadRequest(conn.Reader)
		if err != nil {
			return
		}
		conn.WriteText(okResponse)
		<-responded
		n, _ := io.Copy(io.Discard, conn.Reader)
		rest <- n
	})
	pool := New(testOptions)
	call := newCall(endpoint.Address())
	call.Body = make([]byte, 32<<20) // more than the socket buffers can hold
	_, body, failure := doCall(t, pool, call)
	require.Nil(t, failure)
	assert.Equal(t, "body", body)
	assert.Zero(t, pool.OpenConnections())
	close(responded)
	assert.Less(t, <-rest, int64(len(call.Body)))
	_, _, failure = doCall(t, pool, newCall(endpoint.Address()))
	require.Nil(t, failure)
}

func TestDo_LongBody(t *testing.T) {
	got := make(chan int, 2)
	endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
		for request := conn.ReadRequest(); request != nil; request = conn.ReadRequest() {
			body, _ := io.ReadAll(request.Body)
			got <- len(body)
			conn.WriteText(okResponse)
		}
	})
	pool := New(testOptions)
	for range 2 {
		call := newCall(endpoint.Address())
		call.Body = make([]byte, 4<<20)
		_, _, failure := doCall(t, pool, call)
		require.Nil(t, failure)
		assert.Equal(t, 4<<20, <-got)
	}
	assert.EqualValues(t, 1, endpoint.Connections())
}

// TestDo_SendsTimeLeft: the endpoint receives the time that is left until the deadline when the request is sent, and
// not the value of the client's header.
func TestDo_SendsTimeLeft(t *testing.T) {
	received := make(chan []string, 1)
	endpoint := scriptedendpoint.Start(t, func(conn *scriptedendpoint.Conn) {
		if request := conn.ReadRequest(); request != nil {
			received <- request.Header.Values("X-Time-Left")
			conn.WriteText(okResponse)
		}
	})
	call := newCall(endpoint.Address())
	call.Header.Set("X-Time-Left", "60000")
	call.Deadline = time.Now().Add(20 * time.Second)
	_, _, failure := doCall(t, New(Options{}), call)
	require.Nil(t, failure)
	values := <-received
	require.Len(t, values, 1)
	left, err := strconv.Atoi(values[0])
	require.NoError(t, err)
	assert.LessOrEqual(t, left, 20000)
	assert.Positive(t, left)
}

// TestDialer_MinRoundTrip: a single connection that takes long to establish hardly raises the minimum, since its
// duration says little about the path's latency. If all connections take longer, the minimum follows.
func TestDialer_MinRoundTrip(t *testing.T) {
	d := newDialer(defaultConnectTimeout, defaultAckTimeout)
	for _, roundTrip := range []time.Duration{80, 75, 900, 70, 76} {
		d.recordRoundTrip("z", roundTrip*time.Millisecond)
	}
	minimum := (&Pool{dialer: d}).MinRoundTrips()["z"]
	assert.GreaterOrEqual(t, minimum, 70*time.Millisecond)
	assert.Less(t, minimum, 72*time.Millisecond)
	for range 500 {
		d.recordRoundTrip("z", 200*time.Millisecond)
	}
	assert.Greater(t, (&Pool{dialer: d}).MinRoundTrips()["z"], 190*time.Millisecond, "the path has become longer")
}
