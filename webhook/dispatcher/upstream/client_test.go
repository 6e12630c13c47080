package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

func TestOutcomeOfEachAnswer(t *testing.T) {
	for text, want := range map[string]end{
		"200 OK":                                  {api.Delivered, false, 0},
		"500 Oh":                                  {api.ErrorResponse, false, 0},
		"302 Elsewhere":                           {api.ErrorResponse, false, 0},
		"429 Slow\r\nRetry-After: 0.0000011":      {api.Rejected, false, 2},
		"503 Shut\r\nRetry-After: 2":              {api.Rejected, false, 2 * api.Second},
		"503 Shut\r\nRetry-After: soon":           {api.Rejected, false, 0},
		"503 Slots\r\nX-Egress-Full: 1":           {api.NotSent, false, 0},
		"504 Spent":                               {api.NotSent, false, 0},
		"410 Over":                                {api.NotSent, true, 0},
		"100 Go on\r\n\r\nHTTP/1.1 429 x\r\nA: b": {api.Rejected, false, 0},
	} {
		_, send, ends := at(script(t, answer(text)))
		send(api.Second)
		assert.Equal(t, want, <-ends, text)
	}
}

// Guards against a unreadable answer that is trusted, holds its slot for the whole time-out, or leaves a wait.
func TestUnreadableAnswerMayHaveRunAndFreesItsSlotSoon(t *testing.T) {
	const whole = "HTTP/1.1 503 Shut\r\nContent-Length: 0\r\n\r\n"
	for text, want := range map[string]api.Outcome{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf":                     api.Delivered,
		"HTTP/1.1 200 OK\r\nnonsense":                                          api.Delivered,
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx":             api.Delivered,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx":  api.Delivered,
		"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + whole: api.Rejected,
		"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n":         api.TimedOut,
		whole + whole: api.ErrorResponse,
		"HTTP/1.1 429 Slow\r\nRetry-After: 9\r\nContent-Length: 9\r\n\r\nhalf":      api.ErrorResponse,
		"HTTP/1.1 429 Slow\r\nRetry-After: 9\r\n nonsense":                          api.ErrorResponse,
		"HTTP/1.1 503 x\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n": api.ErrorResponse,
		"HTTP/1.1 410 Over\r\nContent-Length: -1\r\n\r\n":                           api.ErrorResponse,
		"HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nhalf":                          api.ErrorResponse,
		"HTTP/1.1 503 Shut\r\nX-Long: " + strings.Repeat("x", 9000):                 api.ErrorResponse,
		"HTTP/1.1 200":        api.ErrorResponse,
		"HTTP/1.1 2000 x\r\n": api.ErrorResponse,
		"HTTP/1.1 2":          api.ErrorResponse,
		"garbage\r\n\r\n":     api.ErrorResponse,
	} {
		s, send, ends := at(script(t, says(text)))
		began := time.Now()
		send(api.Second / 2)
		got := <-ends
		assert.Equal(t, end{want, false, 0}, got, text)
		if want != api.TimedOut {
			assert.Less(t, time.Since(began), time.Second/5, text)
		}
		if want == api.ErrorResponse || want == api.Delivered {
			assert.Zero(t, s.open, text)
		}
	}
}

// Guards against a bundle's unreadable answer that is believed in part: it may have run as a whole.
func TestBundleAnswerIsAcceptedOnlyIfComplete(t *testing.T) {
	for body, want := range map[string]map[api.Outcome]int{
		"a delivered\r\nb refused\r\n":              {api.Delivered: 1, api.Rejected: 1},
		"a delivered\r\nb refuse":                   {api.ErrorResponse: 2},
		"a delivered\r\n":                           {api.ErrorResponse: 2},
		"a delivered\r\nb odd\r\n":                  {api.ErrorResponse: 2},
		"a delivered\r\na refused\r\nb refused\r\n": {api.ErrorResponse: 2},
		"a delivered\r\nb refused\r\nc refused\r\n": {api.ErrorResponse: 2},
	} {
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		s, _, ends := at(script(t, says(text)))
		s.UpdateEndpoint(api.EndpointEntry{Endpoint: 2, Destination: 3}, s.endpoints[1].addr, api.DestinationKind{BatchSize: 2})
		soon := inflight.Now() + api.Second
		s.Send(2, []Attempt{{&inflight.Webhook{ID: 1, RequestID: "a"}, api.Second, soon},
			{&inflight.Webhook{ID: 2, RequestID: "b"}, api.Second, soon}})
		got := map[api.Outcome]int{}
		for range 2 {
			got[(<-ends).what]++
		}
		assert.Equal(t, want, got, body)
	}
}

// Guards against what follows an answer being read as the next call's, also where it comes late.
func TestSurplusOfAnAnswerIsNeverTheNextAnswer(t *testing.T) {
	late := func(c net.Conn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		_, _ = in.Peek(1) // the next call has begun
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		_, _ = io.Copy(io.Discard, in)
	}
	s, send, ends := at(script(t, late, answer("503 Shut")))
	send(api.Second)
	assert.Equal(t, api.Delivered, (<-ends).what)
	l, _ := s.acquire(s.endpoints[1])
	_, err := l.Write([]byte("P"))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	always := func() bool { return true }
	assert.False(t, l.write([]byte("call"), time.Now().Add(time.Second), always), "something came too early")
	s.discard(l)
	send(api.Second)
	assert.Equal(t, api.Rejected, (<-ends).what)
}
