package site

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/relay"
	"rowanlink/cluster/stream"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// other has the test's program be the far side of a benchmark: destinations, and relays whose subscribers
// end at once. What it costs there, and on a site's own network, is left out.
const other = "ROWAN_BENCH_OTHER"

func TestMain(m *testing.M) {
	if os.Getenv(other) != "" {
		farSide()
		return
	}
	os.Exit(m.Run())
}

// counts is what came over the far side's listeners.
type counts struct{ calls, bytes atomic.Int64 }

type counted struct {
	net.Listener
	of *counts
}

type countedConn struct {
	net.Conn
	of *counts
}

func (c counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countedConn{conn, c.of}, err
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.of.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.of.bytes.Add(int64(n))
	return n, err
}

// atOnce is a relay's shelf whose deliveries end when they come.
type atOnce struct{ relay *relay.Receiver }

func (a *atOnce) Persist(_ stream.Checkpoint, fresh []stream.Item) error {
	go func() {
		for _, i := range fresh {
			for _, to := range i.Destinations {
				a.relay.RecordResult(stream.Result{Delivery: stream.Delivery{Message: i.ID, Destination: to}, Outcome: stream.Delivered})
			}
		}
	}()
	return nil
}
func (a *atOnce) Capacity() int                   { return 2 * benchEach }
func (a *atOnce) ForgetResults([]stream.Delivery) {}

func (a *atOnce) DestinationStates([]api.DestinationID) []api.DestinationState { return nil }
func (a *atOnce) ApplyDestinationStates([]api.DestinationState)                {}

func listen(c *counts) net.Listener {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return counted{on, c}
}

func farSide() {
	c := &counts{}
	dest := listen(c)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/counts" {
			fmt.Fprint(ctx, c.calls.Load(), c.bytes.Load())
			return
		}
		c.calls.Add(1)
	}}
	go server.Serve(dest)
	addrs := []string{dest.Addr().String()}
	for n := range benchSites {
		said := transport.NewClient(cluster.MemberID(fmt.Sprint("r", n)), map[cluster.MemberID]string{"m": os.Getenv(other)})
		shelf := &atOnce{}
		shelf.relay = relay.NewReceiver(stream.NewReceiver(stream.Checkpoint{Incarnation: 9}, nil, nil), shelf, from{said, c},
			relay.TimingFor(3*api.Second), inflight.Now)
		on, s := listen(c), transport.NewServer(8, 5*time.Second)
		s.Handle(relay.OpenPath, shelf.relay.HandleOpen)
		s.Handle(relay.FramePath, func(ctx *fasthttp.RequestCtx) { c.calls.Add(1); shelf.relay.HandleFrame(ctx) })
		go s.Serve(on)
		addrs = append(addrs, on.Addr().String())
	}
	fmt.Println(strings.Join(addrs, " "))
	io.Copy(io.Discard, os.Stdin)
}

// from counts what the relays say.
type from struct {
	*transport.Client
	c *counts
}

func (f from) Call(to cluster.MemberID, path string, body []byte, in time.Duration) (int, []byte, error) {
	code, raw, err := f.Client.Call(to, path, body, in)
	f.c.calls.Add(1)
	f.c.bytes.Add(int64(len(body) + len(raw)))
	return code, raw, err
}
