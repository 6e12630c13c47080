package transport

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
)

// hears starts a server with one path and tells where.
func hears(t *testing.T, h func(*fasthttp.RequestCtx)) string {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(100, time.Second)
	s.Handle("/x", h)
	go s.Serve(on)
	t.Cleanup(func() { s.Close(time.Second) })
	return on.Addr().String()
}

func talks(t *testing.T, addr string) *Client {
	talk := NewClient("a", map[cluster.MemberID]string{"b": addr})
	t.Cleanup(talk.Close)
	return talk
}

// crude hears one connection after another, each handled by the next of the stories.
func crude(t *testing.T, stories ...func(net.Conn, *bufio.Reader)) string {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { on.Close() })
	go func() {
		for _, story := range stories {
			c, err := on.Accept()
			if err != nil {
				return
			}
			story(c, bufio.NewReader(c))
			c.Close()
		}
	}()
	return on.Addr().String()
}

func answers(c net.Conn, in *bufio.Reader) {
	if r, err := http.ReadRequest(in); err == nil {
		new(bytes.Buffer).ReadFrom(r.Body)
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

func TestWhatIsSaidIsAnsweredPackedOrNot(t *testing.T) {
	addr := hears(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(299)
		ctx.SetBody(append(ctx.Request.Body(), Sender(ctx)...))
	})
	noise := make([]byte, 100_000)
	rand.Read(noise)
	for _, body := range [][]byte{nil, []byte("short"), bytes.Repeat([]byte("long"), 50_000), noise} {
		status, answer, err := talks(t, addr).Call("b", "/x", body, time.Second)
		require.NoError(t, err)
		require.Equal(t, 299, status)
		require.True(t, bytes.Equal(append(body, 'a'), answer))
	}
}

func TestNobodyThereIsNotSent(t *testing.T) {
	on, _ := net.Listen("tcp", "127.0.0.1:0")
	on.Close()
	_, _, err := talks(t, on.Addr().String()).Call("b", "/x", nil, time.Second)
	require.ErrorIs(t, err, ErrNotSent)
	_, _, err = talks(t, on.Addr().String()).Call("c", "/x", nil, time.Second)
	require.ErrorIs(t, err, ErrNotSent)
}

func TestHeardAndNotAnsweredIsUnsure(t *testing.T) {
	closed := func(_ net.Conn, in *bufio.Reader) { http.ReadRequest(in) }
	half := func(c net.Conn, in *bufio.Reader) {
		http.ReadRequest(in)
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"))
	}
	silent := func(_ net.Conn, in *bufio.Reader) { in.ReadString(0) }
	talk := talks(t, crude(t, closed, half, silent))
	for range 3 {
		_, _, err := talk.Call("b", "/x", []byte("body"), 200*time.Millisecond)
		require.ErrorIs(t, err, ErrOutcomeUnknown)
	}
}

// The far side reads nothing, so that the buffers fill and the last byte can't be written.
func TestNotWrittenAsAWholeIsNotSent(t *testing.T) {
	noise := make([]byte, MaxMessageSize)
	rand.Read(noise)
	held := make(chan struct{})
	defer close(held)
	talk := talks(t, crude(t, func(net.Conn, *bufio.Reader) { <-held }))
	_, _, err := talk.Call("b", "/x", noise, 300*time.Millisecond)
	require.ErrorIs(t, err, ErrNotSent)
}

// Guards against a message written to a connection that ended while idle: it could not be told from one that
// was heard.
func TestAConnectionThatEndedWhileIdleIsNotUsed(t *testing.T) {
	talk := talks(t, crude(t, answers, answers))
	for range 2 {
		_, _, err := talk.Call("b", "/x", nil, time.Second)
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
	_, _, err := talk.Call("b", "/x", nil, 100*time.Millisecond)
	require.Error(t, err)
}

func TestABodyThatUnpacksToTooMuchIsRefused(t *testing.T) {
	addr := hears(t, func(ctx *fasthttp.RequestCtx) { t.Error("handled") })
	for body, status := range map[string]int{
		string(s2.Encode(nil, make([]byte, MaxMessageSize+1))): 413, "\xff": 400} {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + addr + "/x")
		req.Header.SetMethod("POST")
		req.Header.Set(compressionHeader, compressionS2)
		req.SetBodyString(body)
		require.NoError(t, fasthttp.Do(req, resp))
		require.Equal(t, status, resp.StatusCode())
	}
}

func TestAnotherAddressIsUsedFromThenOn(t *testing.T) {
	one := hears(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("one") })
	two := hears(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("two") })
	talk := talks(t, one)
	_, answer, _ := talk.Call("b", "/x", nil, time.Second)
	require.Equal(t, "one", string(answer))
	talk.SetAddresses(map[cluster.MemberID]string{"b": two})
	_, answer, _ = talk.Call("b", "/x", nil, time.Second)
	require.Equal(t, "two", string(answer))
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(cluster.Command{Component: 'L', FencedBy: "t", Epoch: 3, Body: []byte("x")}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var c, again cluster.Command
		if Decode(raw, &c) == nil {
			require.NoError(t, Decode(Encode(c), &again))
			require.Equal(t, c.Epoch, again.Epoch)
		}
	})
}
