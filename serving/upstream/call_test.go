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
)

func TestRequestArrivesUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	e := newEndpoint(t, func(p *peer) {
		for r := p.request(); r != nil; r = p.request() {
			got <- r
			p.say(okAnswer)
		}
	})
	call := e.call()
	call.Priority, call.LastEventID = "3", "17"
	call.Header.Set("Priority", "9")
	call.Header.Set("Last-Event-Id", "1")
	call.Header.Set("X-Time-Left", "99999999")
	call.Header.Set("X-Deliver-To", "another")
	answer, body, failure := outcome(t, New(patient), call)
	require.Nil(t, failure)
	assert.Equal(t, "body", body)
	assert.Equal(t, "s", answer.Header.Get("X-Postmark"))

	r := <-got
	assert.Equal(t, call.RequestTarget, r.RequestURI)
	assert.Equal(t, "host.example", r.Host)
	assert.Equal(t, []string{"i-1"}, r.Header["X-Deliver-To"])
	assert.Equal(t, []string{"3"}, r.Header["Priority"])
	assert.Equal(t, []string{"17"}, r.Header["Last-Event-Id"])
	assert.Equal(t, []string{"a1"}, r.Header["X-Attempt-Id"])
	left, err := strconv.Atoi(r.Header.Get("X-Time-Left"))
	require.NoError(t, err)
	assert.InDelta(t, 60000, left, 5000)
	sent, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	assert.Equal(t, "hello", string(sent))
	assert.Equal(t, "9", call.Header.Get("Priority"), "the caller's headers stay as they are")
}

func TestConnectionIsUsedAgain(t *testing.T) {
	e := newEndpoint(t, func(p *peer) {
		for p.request() != nil {
			p.say(okAnswer)
		}
	})
	pool := New(patient)
	for range 5 {
		_, body, failure := outcome(t, pool, e.call())
		require.Nil(t, failure)
		assert.Equal(t, "body", body)
	}
	assert.EqualValues(t, 1, e.connections.Load())
	assert.Equal(t, 1, pool.Open())
	pool.Sweep(time.Now())
	assert.Equal(t, 1, pool.Open())
	pool.Sweep(time.Now().Add(time.Hour))
	assert.Zero(t, pool.Open())
}

// TestConnectionIsNotUsedAgain: after each of these the next request travels on a connection of its own.
func TestConnectionIsNotUsedAgain(t *testing.T) {
	surplus := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a0\r\nX-Postmark: s\r\nContent-Length: 3\r\n\r\nold"
	for name, said := range map[string]string{
		"close":           strings.Replace(okAnswer, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1),
		"keep-alive 0":    strings.Replace(okAnswer, "\r\n\r\n", "\r\nKeep-Alive: timeout=0\r\n\r\n", 1),
		"http 1.0":        strings.Replace(okAnswer, "HTTP/1.1", "HTTP/1.0", 1),
		"surplus after":   okAnswer + surplus,
		"garbage after":   okAnswer + "x",
		"surplus before":  surplus + okAnswer,
		"two before":      surplus + surplus + okAnswer,
		"surplus refusal": "HTTP/1.1 503 No\r\nX-Not-Delivered: 1\r\nX-Attempt-Id: a0\r\nContent-Length: 0\r\n\r\n" + okAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(p *peer) {
				if p.request() == nil {
					return
				}
				if p.number == 0 {
					p.say(said)
				} else {
					p.say(okAnswer)
				}
				p.awaitEnd()
			})
			pool := New(patient)
			for range 2 {
				_, body, failure := outcome(t, pool, e.call())
				require.Nil(t, failure)
				assert.Equal(t, "body", body)
			}
			assert.EqualValues(t, 2, e.connections.Load())
		})
	}
}

// TestSurplusThatComesLate: it is there when the connection is taken again, or comes after the next request went out.
func TestSurplusThatComesLate(t *testing.T) {
	late := make(chan struct{})
	e := newEndpoint(t, func(p *peer) {
		p.request()
		p.say(okAnswer)
		if p.request() == nil {
			return
		}
		close(late)
		p.say(okAnswer + strings.ReplaceAll(strings.ReplaceAll(okAnswer, "a1", "a2"), "body", "next"))
		p.awaitEnd()
	})
	pool := New(patient)
	_, _, failure := outcome(t, pool, e.call())
	require.Nil(t, failure)
	second := e.call()
	second.Header.Set("X-Attempt-Id", "a2")
	_, body, failure := outcome(t, pool, second)
	<-late
	require.Nil(t, failure)
	assert.Equal(t, "next", body)
	assert.Zero(t, pool.Open())
}

// TestRequestComesBackToAnEndpoint: an endpoint that refused it may repeat its refusal late, while it runs the request
// that came again. Taken for the answer to that one, the refusal would promise what isn't so.
func TestRequestComesBackToAnEndpoint(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nX-Not-Delivered: 1\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
	e := newEndpoint(t, func(p *peer) {
		for p.request() != nil {
			if p.number == 0 {
				p.say(refusal)
			} else {
				p.say(okAnswer)
			}
		}
	})
	pool := New(patient)
	_, _, failure := outcome(t, pool, e.call())
	require.NotNil(t, failure)
	require.Equal(t, attempt.Rejected, failure.Outcome)

	again := e.call()
	again.Resent, again.MaxConnections = true, 1
	_, body, failure := outcome(t, pool, again)
	require.Nil(t, failure)
	assert.Equal(t, "body", body)
	assert.EqualValues(t, 2, e.connections.Load())
	assert.Equal(t, 1, pool.Open(), "the connection of the first time makes room")
}

func TestConnectionEndedWhileIdle(t *testing.T) {
	for name, end := range map[string]func(*peer){
		"closed":  func(p *peer) { _ = p.Close() },
		"reset":   func(p *peer) { p.reset() },
		"unasked": func(p *peer) { p.say("HTTP/1.1 200 OK\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			answered, ended := make(chan struct{}), make(chan struct{})
			e := newEndpoint(t, func(p *peer) {
				if p.request() == nil {
					return
				}
				p.say(okAnswer)
				if p.number == 0 {
					<-answered
					end(p)
					close(ended)
				}
				p.awaitEnd()
			})
			pool := New(patient)
			_, _, failure := outcome(t, pool, e.call())
			require.Nil(t, failure)
			close(answered)
			<-ended
			_, body, failure := outcome(t, pool, e.call())
			require.Nil(t, failure)
			assert.Equal(t, "body", body)
			assert.EqualValues(t, 2, e.connections.Load())
		})
	}
}

func TestRefusals(t *testing.T) {
	for said, want := range map[string]attempt.Outcome{
		"HTTP/1.1 503 Full\r\nX-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n":                     attempt.Rejected,
		"HTTP/1.1 503 Full\r\nX-Not-Delivered: 1\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n": attempt.Rejected,
		"HTTP/1.1 429 Full\r\nX-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n":                     attempt.Rejected,
		"HTTP/1.1 400 What\r\nX-Not-Delivered: 1\r\nContent-Length: 0\r\n\r\n":                     attempt.Rejected,
		"HTTP/1.1 421 Other\r\nX-Endpoint-Id: i-2\r\nContent-Length: 0\r\n\r\n":                    attempt.Misdirected,
	} {
		e := newEndpoint(t, func(p *peer) {
			for p.request() != nil {
				p.say(said)
			}
		})
		pool := New(patient)
		for range 2 {
			_, _, failure := outcome(t, pool, e.call())
			require.NotNil(t, failure)
			assert.Equal(t, want, failure.Outcome)
			assert.NoError(t, failure.Cause)
		}
		if strings.Contains(said, "a1") {
			assert.EqualValues(t, 1, e.connections.Load(), "a refusal with an id leaves its connection usable")
		} else {
			assert.EqualValues(t, 2, e.connections.Load())
		}
	}
}

// TestEarlyAnswer: the endpoint answers before it has read a long body. The connection must not carry anything else.
func TestEarlyAnswer(t *testing.T) {
	rest := make(chan int64, 1)
	answered := make(chan struct{})
	e := newEndpoint(t, func(p *peer) {
		if p.number > 0 {
			p.request()
			p.say(okAnswer)
			return
		}
		_, err := http.ReadRequest(p.reader)
		if err != nil {
			return
		}
		p.say(okAnswer)
		<-answered
		n, _ := io.Copy(io.Discard, p.reader)
		rest <- n
	})
	pool := New(patient)
	call := e.call()
	call.Body = make([]byte, 32<<20) // more than the sockets' buffers take
	_, body, failure := outcome(t, pool, call)
	require.Nil(t, failure)
	assert.Equal(t, "body", body)
	assert.Zero(t, pool.Open())
	close(answered)
	assert.Less(t, <-rest, int64(len(call.Body)))
	_, _, failure = outcome(t, pool, e.call())
	require.Nil(t, failure)
}

func TestLongBodyIsSentWhole(t *testing.T) {
	got := make(chan int, 2)
	e := newEndpoint(t, func(p *peer) {
		for r := p.request(); r != nil; r = p.request() {
			body, _ := io.ReadAll(r.Body)
			got <- len(body)
			p.say(okAnswer)
		}
	})
	pool := New(patient)
	for range 2 {
		call := e.call()
		call.Body = make([]byte, 4<<20)
		_, _, failure := outcome(t, pool, call)
		require.Nil(t, failure)
		assert.Equal(t, 4<<20, <-got)
	}
	assert.EqualValues(t, 1, e.connections.Load())
}

// TestEndpointIsToldWhatIsLeft: not what the client said when it asked, and never more than until the deadline.
func TestEndpointIsToldWhatIsLeft(t *testing.T) {
	told := make(chan []string, 1)
	e := newEndpoint(t, func(p *peer) {
		if request := p.request(); request != nil {
			told <- request.Header.Values("X-Time-Left")
			p.say(okAnswer)
		}
	})
	call := e.call()
	call.Header.Set("X-Time-Left", "60000")
	call.Deadline = time.Now().Add(20 * time.Second)
	_, _, failure := outcome(t, New(Options{}), call)
	require.Nil(t, failure)
	values := <-told
	require.Len(t, values, 1)
	left, err := strconv.Atoi(values[0])
	require.NoError(t, err)
	assert.LessOrEqual(t, left, 20000)
	assert.Positive(t, left)
}

// TestRoundTripIsTheLeastOfLate: a connection that came up late says little of the way.
func TestRoundTripIsTheLeastOfLate(t *testing.T) {
	d := newDialer(defaultConnectTimeout, defaultAckTimeout)
	for _, took := range []time.Duration{80, 75, 900, 70, 76} {
		d.recordRoundTrip("z", took*time.Millisecond)
	}
	least := (&Pool{dialer: d}).RoundTrips()["z"]
	assert.GreaterOrEqual(t, least, 70*time.Millisecond)
	assert.Less(t, least, 72*time.Millisecond)
	for range 500 {
		d.recordRoundTrip("z", 200*time.Millisecond)
	}
	assert.Greater(t, (&Pool{dialer: d}).RoundTrips()["z"], 190*time.Millisecond, "the way has become longer")
}
