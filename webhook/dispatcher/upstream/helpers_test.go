package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// end is what came of one webhook.
type end struct {
	what api.Outcome
	over bool
	wait api.Micros
}

// at starts a pool with endpoint 1 at an address, and calls it once with each webhook that is sent on.
func at(addr string) (s *Client, send func(patience api.Micros), ends chan end) {
	ends = make(chan end, 9)
	s = New(&inflight.Counters{}, func(_ *inflight.Webhook, _ api.EndpointID, what api.Outcome,
		_ api.Micros, over bool, wait api.Micros) {
		ends <- end{what, over, wait}
	}, api.Second/5, api.Second, 4)
	s.Place(api.EndpointEntry{Endpoint: 1, Destination: 3}, addr, api.DestinationKind{BatchSize: 1})
	id := api.WebhookID(0)
	return s, func(patience api.Micros) {
		id++
		s.Send(1, []Attempt{{&inflight.Webhook{ID: id, RequestID: "a"}, patience, inflight.Now() + patience}})
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
