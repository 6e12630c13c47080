package relay

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/stream"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

const leaseTTL = 300_000 // microseconds; TimingFor derives the time-outs and intervals from it

var clockStart = time.Now()

func clock() api.Micros { return api.Micros(time.Since(clockStart).Microseconds()) }

// The faults that faultyClient draws for a message. Greater numbers mean no fault.
const (
	loseRequest = iota
	duplicateRequest
	loseResponse
)

// neverFaulty is a value of faultEvery with which a fault is very improbable.
const neverFaulty = 1 << 20

// faultyClient loses requests and responses, and duplicates some requests.
type faultyClient struct {
	*transport.Client
	mu          sync.Mutex
	random      *rand.Rand
	partitioned bool
	faultEvery  int // each of the three faults has a probability of 1/(3*faultEvery)
	lostFrames  int // number of frames still to be lost, from the next one on
}

func (f *faultyClient) Call(
	to cluster.MemberID, path string, body []byte, timeout time.Duration,
) (response transport.Response, err error) {
	f.mu.Lock()
	fault, partitioned := f.random.IntN(3*f.faultEvery), f.partitioned
	if path == FramePath && f.lostFrames > 0 {
		f.lostFrames--
		fault = loseRequest
	}
	f.mu.Unlock()
	if partitioned || fault == loseRequest {
		return transport.Response{}, transport.ErrOutcomeUnknown
	}
	if fault == duplicateRequest {
		_, _ = f.Client.Call(to, path, body, timeout) // its response is lost
	}
	response, err = f.Client.Call(to, path, body, timeout)
	if fault == loseResponse {
		return transport.Response{}, transport.ErrOutcomeUnknown
	}
	return response, err
}

func (f *faultyClient) set(partitioned bool, faultEvery int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = partitioned
	f.faultEvery = faultEvery
}

// testSite is an origin with a sender, and a relay with a receiver. Each has an in-memory journal.
type testSite struct {
	t              *testing.T
	toRelay        *faultyClient
	toOrigin       *faultyClient
	sender         *Sender
	receiver       *Receiver
	mu             sync.Mutex
	checkpoint     stream.Checkpoint
	pending        map[stream.Delivery]bool
	unacknowledged []stream.Result
	diskFull       bool
	blocked        map[api.DestinationID]bool // destinations whose deliveries the relay does not run

	unfinished    map[stream.Delivery]stream.Location // the origin's deliveries without a result
	results       map[stream.Delivery]int
	attempts      map[stream.Delivery]int
	bypassed      int
	appliedStates atomic.Int64
	server        *transport.Server
	addr          string
}

// serve serves in the background until the server is closed.
func serve(server *transport.Server, listener net.Listener) {
	go func() { _ = server.Serve(listener) }()
}

// originStore is the SenderStore of a testSite.
type originStore struct{ *testSite }

// relayStore is the ReceiverStore of a testSite.
type relayStore struct{ *testSite }

func (b originStore) RecordSending([]stream.Item, uint64, api.Micros) error { return nil }
func (b originStore) Requeue([]stream.Delivery)                             {}
func (b originStore) DropExpired([]stream.Delivery)                         {}

func (b originStore) Bypass(deliveries []stream.Delivery) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range deliveries {
		b.bypassed++
		b.attempts[d]++
		b.results[d]++
		delete(b.unfinished, d)
	}
}

func (b originStore) ResolveInDoubt(inDoubt []stream.InDoubt, lost bool) (forget []stream.Delivery) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := stream.Item{FirstAttemptAt: api.Never}
	eventType := api.EventType{Semantics: api.AtMostOnce}
	for _, d := range inDoubt {
		resolution := stream.Resolve(&i, d.SentAt, eventType, lost, 1<<60, clock())
		if resolution == stream.ResolveWait {
			continue
		}
		forget = append(forget, d.Delivery)
		if resolution == stream.ResolveRetry {
			b.attempts[d.Delivery]++
		}
		b.results[d.Delivery]++
		delete(b.unfinished, d.Delivery)
	}
	return forget
}

func (b originStore) RecordResults(results []stream.Result) (recorded []stream.Delivery) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, result := range results {
		if stream.ActionForResult(result, b.unfinished[result.Delivery], false) != stream.IgnoreResult {
			b.results[result.Delivery]++
			delete(b.unfinished, result.Delivery)
		}
		recorded = append(recorded, result.Delivery)
	}
	return recorded
}

func (b originStore) DestinationStates() []api.DestinationState {
	return []api.DestinationState{{Destination: 1, WaitUntil: clock()}}
}
func (b originStore) ApplyDestinationStates([]api.DestinationState) {}

func (s relayStore) DestinationStates([]api.DestinationID) []api.DestinationState { return nil }
func (s relayStore) ApplyDestinationStates(all []api.DestinationState) {
	s.appliedStates.Add(int64(len(all)))
}

func (s relayStore) Capacity() int { return 64 }

func (s relayStore) ForgetResults(recorded []stream.Delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	forgotten := map[stream.Delivery]bool{}
	for _, d := range recorded {
		forgotten[d] = true
	}
	var remaining []stream.Result
	for _, result := range s.unacknowledged {
		if !forgotten[result.Delivery] {
			remaining = append(remaining, result)
		}
	}
	s.unacknowledged = remaining
}

func (s relayStore) Persist(m stream.Checkpoint, fresh []stream.Item) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.diskFull {
		return errors.New("full")
	}
	s.checkpoint = m
	for _, i := range fresh {
		for _, to := range i.Destinations {
			s.pending[stream.Delivery{Message: i.ID, Destination: to}] = true
		}
	}
	return nil
}

// runRelay runs the pending deliveries of the relay until stop is closed.
func (s *testSite) runRelay(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		s.mu.Lock()
		var results []stream.Result
		for d := range s.pending {
			if !s.blocked[d.Destination] {
				s.attempts[d]++
				results = append(results, stream.Result{Delivery: d, Outcome: stream.Delivered, Attempts: 1, MayHaveRun: true})
				delete(s.pending, d)
			}
		}
		s.unacknowledged = append(s.unacknowledged, results...)
		r := s.receiver
		s.mu.Unlock()
		for _, result := range results {
			r.RecordResult(result)
		}
	}
}

func (s *testSite) startRelay() {
	s.mu.Lock()
	var pending []stream.Delivery
	for d := range s.pending {
		pending = append(pending, d)
	}
	state := stream.NewReceiver(s.checkpoint, pending, s.unacknowledged)
	s.receiver = NewReceiver(state, relayStore{s}, s.toOrigin, TimingFor(leaseTTL), clock)
	s.mu.Unlock()
	s.server = transport.NewServer(50, time.Second)
	s.receiver.RegisterHandlers(s.server)
	listener, err := (&net.ListenConfig{}).Listen(s.t.Context(), "tcp", s.addr)
	require.NoError(s.t, err)
	s.addr = listener.Addr().String()
	serve(s.server, listener)
}

func newTestSite(t *testing.T) *testSite {
	t.Helper()
	s := &testSite{
		t:          t,
		pending:    map[stream.Delivery]bool{},
		unfinished: map[stream.Delivery]stream.Location{},
		results:    map[stream.Delivery]int{},
		attempts:   map[stream.Delivery]int{},
		checkpoint: stream.Checkpoint{Incarnation: 9},
		blocked:    map[api.DestinationID]bool{},
		addr:       "127.0.0.1:0",
	}
	origin := transport.NewServer(50, time.Second)
	listener, err := (&net.ListenConfig{}).Listen(s.t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.toOrigin = &faultyClient{
		Client:     transport.NewClient("r", map[cluster.MemberID]string{"m": listener.Addr().String()}),
		random:     rand.New(rand.NewPCG(1, 2)),
		faultEvery: neverFaulty,
	}
	s.startRelay()
	s.toRelay = &faultyClient{
		Client:     transport.NewClient("m", map[cluster.MemberID]string{"r": s.addr}),
		random:     rand.New(rand.NewPCG(3, 4)),
		faultEvery: neverFaulty,
	}
	s.sender = NewSender("r", stream.NewSender(1, 0.05), originStore{s}, s.toRelay, TimingFor(leaseTTL), clock,
		func() bool { return true })
	origin.Handle(ResultsPath, s.sender.HandleResults)
	serve(origin, listener)
	go s.sender.Run()
	stop := make(chan struct{})
	go s.runRelay(stop)
	t.Cleanup(func() {
		s.sender.Close()
		close(stop)
		_ = s.server.Close(time.Second)
		s.receiver.Close()
		_ = origin.Close(time.Second)
	})
	return s
}
