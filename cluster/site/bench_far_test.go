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

// farSideEnv has the test's program be the far side of a benchmark: destinations, and relays whose subscribers
// end at once. What it costs there, and on a site's own network, is left out.
const farSideEnv = "ROWAN_BENCH_OTHER"

func TestMain(m *testing.M) {
	if os.Getenv(farSideEnv) != "" {
		runFarSide()
		return
	}
	os.Exit(m.Run())
}

// counts is what came over the far side's listeners.
type counts struct{ calls, bytes atomic.Int64 }

type countingListener struct {
	net.Listener
	counts *counts
}

type countingConn struct {
	net.Conn
	counts *counts
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c.counts}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counts.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counts.bytes.Add(int64(n))
	return n, err
}

// instantStore is a relay's shelf whose deliveries end when they come.
type instantStore struct{ receiver *relay.Receiver }

func (a *instantStore) Persist(_ stream.Checkpoint, fresh []stream.Item) error {
	go func() {
		for _, i := range fresh {
			for _, to := range i.Destinations {
				a.receiver.RecordResult(stream.Result{Delivery: stream.Delivery{Message: i.ID, Destination: to}, Outcome: stream.Delivered})
			}
		}
	}()
	return nil
}
func (a *instantStore) Capacity() int                   { return 2 * benchEach }
func (a *instantStore) ForgetResults([]stream.Delivery) {}

func (a *instantStore) DestinationStates([]api.DestinationID) []api.DestinationState { return nil }
func (a *instantStore) ApplyDestinationStates([]api.DestinationState)                {}

func listenCounting(c *counts) net.Listener {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return countingListener{on, c}
}

func runFarSide() {
	c := &counts{}
	dest := listenCounting(c)
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
		said := transport.NewClient(cluster.MemberID(fmt.Sprint("r", n)), map[cluster.MemberID]string{"m": os.Getenv(farSideEnv)})
		shelf := &instantStore{}
		shelf.receiver = relay.NewReceiver(stream.NewReceiver(stream.Checkpoint{Incarnation: 9}, nil, nil), shelf, countingMessenger{said, c},
			relay.TimingFor(3*api.Second), inflight.Now)
		on, s := listenCounting(c), transport.NewServer(8, 5*time.Second)
		s.Handle(relay.OpenPath, shelf.receiver.HandleOpen)
		s.Handle(relay.FramePath, func(ctx *fasthttp.RequestCtx) { c.calls.Add(1); shelf.receiver.HandleFrame(ctx) })
		go s.Serve(on)
		addrs = append(addrs, on.Addr().String())
	}
	fmt.Println(strings.Join(addrs, " "))
	io.Copy(io.Discard, os.Stdin)
}

// countingMessenger counts what the relays say.
type countingMessenger struct {
	*transport.Client
	counts *counts
}

func (f countingMessenger) Call(to cluster.MemberID, path string, body []byte, in time.Duration) (int, []byte, error) {
	code, raw, err := f.Client.Call(to, path, body, in)
	f.counts.calls.Add(1)
	f.counts.bytes.Add(int64(len(body) + len(raw)))
	return code, raw, err
}
