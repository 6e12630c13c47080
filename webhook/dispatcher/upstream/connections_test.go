package upstream

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// Guards against everyone who ever was piling up, and against a webhook sent to one that is forgotten.
func TestRemovedEndpointIsForgottenOnceNothingIsInFlight(t *testing.T) {
	s, send, ends := at(script(t, answer("200 OK")))
	send(api.Second)
	<-ends
	s.UpdateEndpoint(api.EndpointEntry{Endpoint: 1, Destination: 3, Status: api.EndpointRemoved}, "", api.DestinationKind{})
	assert.Zero(t, s.open, "its idle links are closed at once")
	s.Sweep()
	assert.Empty(t, s.endpoints)
	send(api.Second)
	assert.Equal(t, api.NotSent, (<-ends).what)
}

// Guards against a connection too many that is taken for the destination's limit: window and pace would fall.
func TestRefusedConnectionIsDistinguishedFromTheDestinationsLimit(t *testing.T) {
	shut := "503 Shut\r\nConnection: close"
	for text, want := range map[string]end{shut: {api.ConnectionLimited, false, 0},
		shut + "\r\nRetry-After: 1":          {api.Rejected, false, api.Second},
		shut + "\r\nX-Egress-Full: 1":        {api.NotSent, false, 0},
		"429 Slow\r\nConnection: close":      {api.Rejected, false, 0},
		"503 Shut\r\nConnection: keep-alive": {api.Rejected, false, 0}} {
		_, send, ends := at(script(t, answer(text)))
		send(api.Second)
		assert.Equal(t, want, <-ends, text)
	}
	later := func(c net.Conn, in *bufio.Reader) {
		for _, text := range []string{"200 OK", shut} {
			_, _ = http.ReadRequest(in)
			_, _ = c.Write([]byte("HTTP/1.1 " + text + "\r\nContent-Length: 0\r\n\r\n"))
		}
	}
	_, send, ends := at(script(t, later))
	send(api.Second)
	<-ends
	send(api.Second)
	assert.Equal(t, api.Rejected, (<-ends).what, "a connection that served is not one too many")
}

func TestCallThatEndsBeforeTheLastByteNeverRan(t *testing.T) {
	_, send, ends := at("127.0.0.1:1") // nobody listens
	send(api.Second)
	assert.Equal(t, api.ConnectFailed, (<-ends).what)
	_, send, ends = at(script(t, breaks))
	send(api.Second)
	assert.Equal(t, api.ConnectionReset, (<-ends).what)
	_, send, ends = at(script(t, silent))
	send(api.Second / 20)
	assert.Equal(t, api.TimedOut, (<-ends).what)
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	once := func(c net.Conn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		time.Sleep(20 * time.Millisecond)
		_ = c.Close()
	}
	s, send, ends := at(script(t, once, answer("200 OK")))
	for range 2 {
		send(api.Second)
		assert.Equal(t, api.Delivered, (<-ends).what)
		time.Sleep(60 * time.Millisecond)
	}
	assert.EqualValues(t, 2, s.counters.Connections.Load())
}

func TestIdleConnectionsAreReusedThenClosedInTime(t *testing.T) {
	s, send, ends := at(script(t, answer("200 OK"), answer("200 OK")))
	for range 3 {
		send(api.Second)
		<-ends
	}
	time.Sleep(200 * time.Millisecond) // past the deadline of the last answer's rest
	send(api.Second)
	<-ends
	assert.EqualValues(t, 1, s.counters.Connections.Load())
	time.Sleep(850 * time.Millisecond) // the other side would close after 1 s
	s.Sweep()
	assert.Zero(t, s.open)
	send(api.Second)
	assert.Equal(t, api.Delivered, (<-ends).what)
	time.Sleep(5 * time.Millisecond)
	s.CloseIdle(1)
	assert.Zero(t, s.open)
}

func TestWaitOrDrainWhileConnectingStopsTheCall(t *testing.T) {
	s, send, ends := at(script(t, answer("429 Slow\r\nRetry-After: 0.3"), answer("200 OK"), answer("200 OK")))
	send(api.Second)
	assert.Equal(t, api.Rejected, (<-ends).what)
	send(api.Second)
	assert.Equal(t, api.NotSent, (<-ends).what, "told to wait")
	time.Sleep(300 * time.Millisecond)
	s.UpdateEndpoint(api.EndpointEntry{Endpoint: 1, Destination: 3, Status: api.EndpointDraining}, "", api.DestinationKind{})
	send(api.Second)
	assert.Equal(t, api.NotSent, (<-ends).what, "draining")
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
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}
	s, send, ends := at(script(t, counted, counted))
	late := func() api.Outcome {
		s.Send(1, []Attempt{{&inflight.Webhook{ID: 7, RequestID: "b"}, api.Second, inflight.Now() - 1}})
		return (<-ends).what
	}
	assert.True(t, late().NeverRan(), "on a new connection")
	send(api.Second)
	assert.Equal(t, api.Delivered, (<-ends).what)
	assert.Equal(t, api.NotSent, late(), "on one that is idle")
	send(api.Second)
	<-ends
	assert.Len(t, calls, 2)
}

func TestChangedAddressIsCalled(t *testing.T) {
	s, send, ends := at(script(t, answer("200 OK")))
	send(api.Second)
	assert.Equal(t, api.Delivered, (<-ends).what)
	s.UpdateEndpoint(api.EndpointEntry{Endpoint: 1, Destination: 3}, script(t, answer("503 New")), api.DestinationKind{BatchSize: 1})
	send(api.Second)
	assert.Equal(t, api.Rejected, (<-ends).what)
}

func TestCancelEndsTheConnection(t *testing.T) {
	ended := make(chan bool, 1)
	s, send, ends := at(script(t, func(c net.Conn, in *bufio.Reader) { silent(c, in); ended <- true }))
	send(api.Second)
	time.Sleep(50 * time.Millisecond)
	s.Cancel(1)
	assert.Equal(t, api.Cancelled, (<-ends).what)
	assert.True(t, <-ended)
	assert.Zero(t, s.InFlight())
}
