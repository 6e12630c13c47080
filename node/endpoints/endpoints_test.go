package endpoints

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

	"rowanlink/gateway"
	"rowanlink/node/exchange"
)

// end is what came of one webhook.
type end struct {
	what gateway.Outcome
	over bool
	wait gateway.Micros
}

// at starts a pool with endpoint 1 at an address, and calls it once with each webhook that is sent on.
func at(addr string) (s *Endpoints, send func(patience gateway.Micros), ends chan end) {
	ends = make(chan end, 9)
	s = New(&exchange.Counters{}, func(_ *exchange.Webhook, _ gateway.EndpointID, what gateway.Outcome,
		_ gateway.Micros, over bool, wait gateway.Micros) {
		ends <- end{what, over, wait}
	}, gateway.Second/5, gateway.Second, 4)
	s.Place(gateway.Entry{Endpoint: 1, Destination: 3}, addr, gateway.Kind{Batch: 1})
	id := gateway.WebhookID(0)
	return s, func(patience gateway.Micros) {
		id++
		s.Send(1, []Try{{&exchange.Webhook{ID: id, RequestID: "a"}, patience, exchange.Now() + patience}})
	}, ends
}

// script takes one connection after the other and plays each the next act.
func script(t *testing.T, acts ...func(net.Conn, *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for _, act := range acts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go act(c, bufio.NewReader(c))
		}
	}()
	return l.Addr().String()
}

func answer(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			c.Write([]byte("HTTP/1.1 " + text + "\r\nContent-Length: 0\r\n\r\n"))
		}
	}
}

func silent(_ net.Conn, in *bufio.Reader) { http.ReadRequest(in); in.ReadByte() }

func breaks(c net.Conn, in *bufio.Reader) { http.ReadRequest(in); c.Close() }

func TestEachAnswerHasItsOutcome(t *testing.T) {
	for text, want := range map[string]end{
		"200 OK":                                  {gateway.Delivered, false, 0},
		"500 Oh":                                  {gateway.Errored, false, 0},
		"302 Elsewhere":                           {gateway.Errored, false, 0},
		"429 Slow\r\nRetry-After: 0.0000011":      {gateway.Full, false, 2},
		"503 Shut\r\nRetry-After: 2":              {gateway.Full, false, 2 * gateway.Second},
		"503 Shut\r\nRetry-After: soon":           {gateway.Full, false, 0},
		"503 Slots\r\nX-Egress-Full: 1":           {gateway.NotSent, false, 0},
		"504 Spent":                               {gateway.NotSent, false, 0},
		"410 Over":                                {gateway.NotSent, true, 0},
		"100 Go on\r\n\r\nHTTP/1.1 429 x\r\nA: b": {gateway.Full, false, 0},
	} {
		_, send, ends := at(script(t, answer(text)))
		send(gateway.Second)
		assert.Equal(t, want, <-ends, text)
	}
}

// says answers each call with some bytes and leaves the connection open.
func says(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			c.Write([]byte(text))
		}
	}
}

// Guards against a spoilt answer that is trusted, holds its slot for the whole patience, or leaves a wait.
func TestSpoiltAnswerMayHaveRunAndFreesItsSlotSoon(t *testing.T) {
	const whole = "HTTP/1.1 503 Shut\r\nContent-Length: 0\r\n\r\n"
	for text, want := range map[string]gateway.Outcome{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf":                     gateway.Delivered,
		"HTTP/1.1 200 OK\r\nnonsense":                                          gateway.Delivered,
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx":             gateway.Delivered,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx":  gateway.Delivered,
		"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + whole: gateway.Full,
		"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n":         gateway.TimedOut,
		whole + whole: gateway.Errored,
		"HTTP/1.1 429 Slow\r\nRetry-After: 9\r\nContent-Length: 9\r\n\r\nhalf":      gateway.Errored,
		"HTTP/1.1 429 Slow\r\nRetry-After: 9\r\n nonsense":                          gateway.Errored,
		"HTTP/1.1 503 x\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n": gateway.Errored,
		"HTTP/1.1 410 Over\r\nContent-Length: -1\r\n\r\n":                           gateway.Errored,
		"HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nhalf":                          gateway.Errored,
		"HTTP/1.1 503 Shut\r\nX-Long: " + strings.Repeat("x", 9000):                 gateway.Errored,
		"HTTP/1.1 200":        gateway.Errored,
		"HTTP/1.1 2000 x\r\n": gateway.Errored,
		"HTTP/1.1 2":          gateway.Errored,
		"garbage\r\n\r\n":     gateway.Errored,
	} {
		s, send, ends := at(script(t, says(text)))
		began := time.Now()
		send(gateway.Second / 2)
		got := <-ends
		assert.Equal(t, end{want, false, 0}, got, text)
		if want != gateway.TimedOut {
			assert.Less(t, time.Since(began), time.Second/5, text)
		}
		if want == gateway.Errored || want == gateway.Delivered {
			assert.Zero(t, s.open, text)
		}
	}
}

// Guards against a bundle's spoilt answer that is believed in part: it may have run as a whole.
func TestBundleAnswerHoldsOnlyAsAWhole(t *testing.T) {
	for body, want := range map[string]map[gateway.Outcome]int{
		"a delivered\r\nb refused\r\n":              {gateway.Delivered: 1, gateway.Full: 1},
		"a delivered\r\nb refuse":                   {gateway.Errored: 2},
		"a delivered\r\n":                           {gateway.Errored: 2},
		"a delivered\r\nb odd\r\n":                  {gateway.Errored: 2},
		"a delivered\r\na refused\r\nb refused\r\n": {gateway.Errored: 2},
		"a delivered\r\nb refused\r\nc refused\r\n": {gateway.Errored: 2},
	} {
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		s, _, ends := at(script(t, says(text)))
		s.Place(gateway.Entry{Endpoint: 2, Destination: 3}, s.all[1].addr, gateway.Kind{Batch: 2})
		soon := exchange.Now() + gateway.Second
		s.Send(2, []Try{{&exchange.Webhook{ID: 1, RequestID: "a"}, gateway.Second, soon},
			{&exchange.Webhook{ID: 2, RequestID: "b"}, gateway.Second, soon}})
		got := map[gateway.Outcome]int{}
		for range 2 {
			got[(<-ends).what]++
		}
		assert.Equal(t, want, got, body)
	}
}

// Guards against what follows an answer being read as the next call's, also where it comes late.
func TestWhatFollowsAnAnswerIsNeverTheNextOnes(t *testing.T) {
	late := func(c net.Conn, in *bufio.Reader) {
		http.ReadRequest(in)
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		in.Peek(1) // the next call has begun
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		io.Copy(io.Discard, in)
	}
	s, send, ends := at(script(t, late, answer("503 Shut")))
	send(gateway.Second)
	assert.Equal(t, gateway.Delivered, (<-ends).what)
	l, _ := s.take(s.all[1])
	_, err := l.Conn.Write([]byte("P"))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.False(t, l.write([]byte("call"), time.Now().Add(time.Second)), "something came before its last byte")
	s.close(l)
	send(gateway.Second)
	assert.Equal(t, gateway.Full, (<-ends).what)
}

// Guards against everyone who ever was piling up, and against a webhook sent to one that is forgotten.
func TestGoneEndpointIsForgottenOnceNothingIsOut(t *testing.T) {
	s, send, ends := at(script(t, answer("200 OK")))
	send(gateway.Second)
	<-ends
	s.Place(gateway.Entry{Endpoint: 1, Destination: 3, Standing: gateway.Gone}, "", gateway.Kind{})
	assert.Zero(t, s.open, "its idle links are closed at once")
	s.Sweep()
	assert.Empty(t, s.all)
	send(gateway.Second)
	assert.Equal(t, gateway.NotSent, (<-ends).what)
}

// Guards against a connection too many that is taken for the destination's limit: window and pace would fall.
func TestConnectionTurnedAwayIsToldFromADestinationsLimit(t *testing.T) {
	shut := "503 Shut\r\nConnection: close"
	for text, want := range map[string]end{shut: {gateway.Crowded, false, 0},
		shut + "\r\nRetry-After: 1":          {gateway.Full, false, gateway.Second},
		shut + "\r\nX-Egress-Full: 1":        {gateway.NotSent, false, 0},
		"429 Slow\r\nConnection: close":      {gateway.Full, false, 0},
		"503 Shut\r\nConnection: keep-alive": {gateway.Full, false, 0}} {
		_, send, ends := at(script(t, answer(text)))
		send(gateway.Second)
		assert.Equal(t, want, <-ends, text)
	}
	later := func(c net.Conn, in *bufio.Reader) {
		for _, text := range []string{"200 OK", shut} {
			http.ReadRequest(in)
			c.Write([]byte("HTTP/1.1 " + text + "\r\nContent-Length: 0\r\n\r\n"))
		}
	}
	_, send, ends := at(script(t, later))
	send(gateway.Second)
	<-ends
	send(gateway.Second)
	assert.Equal(t, gateway.Full, (<-ends).what, "a connection that served is not one too many")
}

func TestWhatEndsBeforeTheLastByteNeverRan(t *testing.T) {
	_, send, ends := at("127.0.0.1:1") // nobody listens
	send(gateway.Second)
	assert.Equal(t, gateway.ConnectFailed, (<-ends).what)
	_, send, ends = at(script(t, breaks))
	send(gateway.Second)
	assert.Equal(t, gateway.Reset, (<-ends).what)
	_, send, ends = at(script(t, silent))
	send(gateway.Second / 20)
	assert.Equal(t, gateway.TimedOut, (<-ends).what)
}

func TestConnectionThatEndedWhileIdleIsNotWrittenTo(t *testing.T) {
	once := func(c net.Conn, in *bufio.Reader) {
		http.ReadRequest(in)
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		time.Sleep(20 * time.Millisecond)
		c.Close()
	}
	s, send, ends := at(script(t, once, answer("200 OK")))
	for range 2 {
		send(gateway.Second)
		assert.Equal(t, gateway.Delivered, (<-ends).what)
		time.Sleep(60 * time.Millisecond)
	}
	assert.EqualValues(t, 2, s.counts.Connections.Load())
}

func TestIdleConnectionsAreUsedAgainThenClosedInTime(t *testing.T) {
	s, send, ends := at(script(t, answer("200 OK"), answer("200 OK")))
	for range 3 {
		send(gateway.Second)
		<-ends
	}
	time.Sleep(200 * time.Millisecond) // past the deadline of the last answer's rest
	send(gateway.Second)
	<-ends
	assert.EqualValues(t, 1, s.counts.Connections.Load())
	time.Sleep(850 * time.Millisecond) // the other side would close after 1 s
	s.Sweep()
	assert.Zero(t, s.open)
	send(gateway.Second)
	assert.Equal(t, gateway.Delivered, (<-ends).what)
	time.Sleep(5 * time.Millisecond)
	s.CloseIdle(1)
	assert.Zero(t, s.open)
}

func TestWaitOrDrainToldWhileConnectingHoldsTheFirstByte(t *testing.T) {
	s, send, ends := at(script(t, answer("429 Slow\r\nRetry-After: 0.3"), answer("200 OK"), answer("200 OK")))
	send(gateway.Second)
	assert.Equal(t, gateway.Full, (<-ends).what)
	send(gateway.Second)
	assert.Equal(t, gateway.NotSent, (<-ends).what, "told to wait")
	time.Sleep(300 * time.Millisecond)
	s.Place(gateway.Entry{Endpoint: 1, Destination: 3, Standing: gateway.Draining}, "", gateway.Kind{})
	send(gateway.Second)
	assert.Equal(t, gateway.NotSent, (<-ends).what, "draining")
}

// Guards against a second effect: a tokened webhook whose connection comes up when its token is forgotten.
func TestCallThatWouldBeginTooLateIsNotMade(t *testing.T) {
	calls := make(chan bool, 9)
	counted := func(c net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			calls <- true
			c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}
	s, send, ends := at(script(t, counted, counted))
	late := func() gateway.Outcome {
		s.Send(1, []Try{{&exchange.Webhook{ID: 7, RequestID: "b"}, gateway.Second, exchange.Now() - 1}})
		return (<-ends).what
	}
	assert.True(t, late().NeverRan(), "on a new connection")
	send(gateway.Second)
	assert.Equal(t, gateway.Delivered, (<-ends).what)
	assert.Equal(t, gateway.NotSent, late(), "on one that is idle")
	send(gateway.Second)
	<-ends
	assert.Len(t, calls, 2)
}

func TestEndpointThatMovedIsCalledAtItsNewAddress(t *testing.T) {
	s, send, ends := at(script(t, answer("200 OK")))
	send(gateway.Second)
	assert.Equal(t, gateway.Delivered, (<-ends).what)
	s.Place(gateway.Entry{Endpoint: 1, Destination: 3}, script(t, answer("503 New")), gateway.Kind{Batch: 1})
	send(gateway.Second)
	assert.Equal(t, gateway.Full, (<-ends).what)
}

func TestCancelEndsTheConnection(t *testing.T) {
	ended := make(chan bool, 1)
	s, send, ends := at(script(t, func(c net.Conn, in *bufio.Reader) { silent(c, in); ended <- true }))
	send(gateway.Second)
	time.Sleep(50 * time.Millisecond)
	s.Cancel(1)
	assert.Equal(t, gateway.Cancelled, (<-ends).what)
	assert.True(t, <-ended)
	assert.Zero(t, s.Out())
}
