package endpoints

import (
	"bufio"
	"net"
	"net/http"
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
		s.Send(1, []*exchange.Webhook{{ID: id, RequestID: "a"}}, []gateway.Micros{patience})
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

func TestFirstLineDeliversWhateverBecomesOfTheRest(t *testing.T) {
	for text, want := range map[string]gateway.Outcome{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf": gateway.Delivered,
		"HTTP/1.1 200 OK\r\nnonsense":                      gateway.Delivered,
		"HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nhalf": gateway.Reset,
		"HTTP/1.1 2":      gateway.Reset,
		"garbage\r\n\r\n": gateway.Reset,
	} {
		_, send, ends := at(script(t, func(c net.Conn, in *bufio.Reader) {
			http.ReadRequest(in)
			c.Write([]byte(text))
			c.Close()
		}))
		send(gateway.Second)
		assert.Equal(t, want, (<-ends).what, text)
	}
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
