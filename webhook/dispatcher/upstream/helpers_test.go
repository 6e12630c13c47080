package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// end is the result of one webhook.
type end struct {
	what       api.Outcome
	final      bool
	retryAfter api.Micros
}

// at starts a client with endpoint 1 at an address; send calls it with one webhook.
func at(addr string) (s *Client, send func(timeout api.Micros), ends chan end) {
	ends = make(chan end, 9)
	s = New(&inflight.Counters{}, func(_ *inflight.Webhook, r api.AttemptResult) {
		ends <- end{r.Outcome, r.Final, r.RetryAfter}
	}, api.Second/5, api.Second, 4)
	s.UpdateEndpoint(api.EndpointEntry{Endpoint: 1, Destination: 3}, addr, api.DestinationKind{BatchSize: 1})
	id := api.WebhookID(0)
	return s, func(timeout api.Micros) {
		id++
		s.Send(1, []Attempt{{&inflight.Webhook{ID: id, RequestID: "a"}, timeout, inflight.Now() + timeout}})
	}, ends
}

// script accepts one connection after the other and runs the next handler on each.
func script(t *testing.T, handlers ...func(net.Conn, *bufio.Reader)) string {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, l.Close()) })
	go func() {
		for _, handle := range handlers {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c, bufio.NewReader(c))
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
			_, _ = c.Write([]byte("HTTP/1.1 " + text + "\r\nContent-Length: 0\r\n\r\n"))
		}
	}
}

func silent(_ net.Conn, in *bufio.Reader) {
	_, _ = http.ReadRequest(in)
	_, _ = in.ReadByte()
}

func breaks(c net.Conn, in *bufio.Reader) {
	_, _ = http.ReadRequest(in)
	_ = c.Close()
}

// says answers each call with some bytes and leaves the connection open.
func says(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = c.Write([]byte(text))
		}
	}
}
