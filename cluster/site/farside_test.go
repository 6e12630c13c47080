package site

import (
	"context"
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

// farSideEnv has the test program run as the far side of a benchmark: destinations, and relays whose deliveries
// finish at once. The costs there, and in a site's own network, are left out. Its value is the origin's address.
const farSideEnv = "ROWAN_BENCH_OTHER"

func TestMain(m *testing.M) {
	if os.Getenv(farSideEnv) != "" {
		runFarSide()
		return
	}
	os.Exit(m.Run())
}

// counts counts the requests and bytes of the far side.
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
	return countingConn{Conn: conn, counts: c.counts}, err
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

// instantStore is a relay.ReceiverStore whose deliveries finish when they arrive.
type instantStore struct{ receiver *relay.Receiver }

func (a *instantStore) Persist(_ stream.Checkpoint, fresh []stream.Item) error {
	go func() {
		for _, i := range fresh {
			for _, to := range i.Destinations {
				a.receiver.RecordResult(stream.Result{
					Delivery: stream.Delivery{Message: i.ID, Destination: to},
					Outcome:  stream.Delivered,
				})
			}
		}
	}()
	return nil
}
func (a *instantStore) Capacity() int                   { return 2 * benchSubscribersPerSite }
func (a *instantStore) ForgetResults([]stream.Delivery) {}

func (a *instantStore) DestinationStates([]api.DestinationID) []api.DestinationState { return nil }
func (a *instantStore) ApplyDestinationStates([]api.DestinationState)                {}

func listenCounting(c *counts) net.Listener {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return countingListener{Listener: listener, counts: c}
}

func runFarSide() {
	c := &counts{}
	destination := listenCounting(c)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/counts" {
			_, _ = fmt.Fprint(ctx, c.calls.Load(), c.bytes.Load())
			return
		}
		c.calls.Add(1)
	}}
	go func() { _ = server.Serve(destination) }() // until the process ends
	addresses := []string{destination.Addr().String()}
	for n := range benchSites {
		self := cluster.MemberID(fmt.Sprint("r", n))
		client := transport.NewClient(self, map[cluster.MemberID]string{"m": os.Getenv(farSideEnv)})
		messenger := countingMessenger{Client: client, counts: c}
		state := stream.NewReceiver(stream.Checkpoint{Incarnation: 9}, nil, nil)
		store := &instantStore{}
		store.receiver = relay.NewReceiver(state, store, messenger, relay.TimingFor(3*api.Second), inflight.Now)
		listener := listenCounting(c)
		s := transport.NewServer(8, 5*time.Second)
		s.Handle(relay.OpenPath, store.receiver.HandleOpen)
		s.Handle(relay.FramePath, func(ctx *fasthttp.RequestCtx) {
			c.calls.Add(1)
			store.receiver.HandleFrame(ctx)
		})
		go func() { _ = s.Serve(listener) }() // until the process ends
		addresses = append(addresses, listener.Addr().String())
	}
	fmt.Println(strings.Join(addresses, " "))
	_, _ = io.Copy(io.Discard, os.Stdin) // until the benchmark closes it
}

// countingMessenger counts the relays' requests.
type countingMessenger struct {
	*transport.Client
	counts *counts
}

func (f countingMessenger) Call(
	to cluster.MemberID, path string, body []byte, timeout time.Duration,
) (response transport.Response, err error) {
	response, err = f.Client.Call(to, path, body, timeout)
	f.counts.calls.Add(1)
	f.counts.bytes.Add(int64(len(body) + len(response.Body)))
	return response, err
}
