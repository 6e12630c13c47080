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

// peerProcessEnv is an environment variable with the origin's address. If it is set, the test program runs as the peer
// process of the benchmark: the destinations, and the relays, whose deliveries finish at once. So the benchmark leaves
// out the costs at the relays and in the sites' own networks.
const peerProcessEnv = "ROWAN_BENCH_OTHER"

func TestMain(m *testing.M) {
	if os.Getenv(peerProcessEnv) != "" {
		runPeerProcess()
		return
	}
	os.Exit(m.Run())
}

// counts counts the requests and bytes of the peer process.
type counts struct{ calls, bytes atomic.Int64 }

// countingListener counts the bytes of its connections.
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

func (s *instantStore) Persist(_ stream.Checkpoint, fresh []stream.Item) error {
	go func() {
		for _, i := range fresh {
			for _, to := range i.Destinations {
				s.receiver.RecordResult(stream.Result{
					Delivery: stream.Delivery{Message: i.ID, Destination: to},
					Outcome:  stream.Delivered,
				})
			}
		}
	}()
	return nil
}
func (s *instantStore) Capacity() int                   { return 2 * benchSubscribersPerSite }
func (s *instantStore) ForgetResults([]stream.Delivery) {}

func (s *instantStore) DestinationStates([]api.DestinationID) []api.DestinationState { return nil }
func (s *instantStore) ApplyDestinationStates([]api.DestinationState)                {}

func listenCounting(c *counts) net.Listener {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return countingListener{Listener: listener, counts: c}
}

// runPeerProcess prints the address of the destinations and then those of the relays, and serves until its input is
// closed.
func runPeerProcess() {
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
		client := transport.NewClient(self, map[cluster.MemberID]string{"m": os.Getenv(peerProcessEnv)})
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

// countingMessenger counts the requests of the relays and their bytes.
type countingMessenger struct {
	*transport.Client
	counts *counts
}

func (m countingMessenger) Call(
	to cluster.MemberID, path string, body []byte, timeout time.Duration,
) (response transport.Response, err error) {
	response, err = m.Client.Call(to, path, body, timeout)
	m.counts.calls.Add(1)
	m.counts.bytes.Add(int64(len(body) + len(response.Body)))
	return response, err
}
