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

const term = 300_000 // microseconds: all else follows from it

var began = time.Now()

func clock() api.Micros { return api.Micros(time.Since(began).Microseconds()) }

// faults loses messages and answers, and says some twice.
type faults struct {
	*transport.Client
	mu  sync.Mutex
	r   *rand.Rand
	cut bool
	one int // in so many messages has a fault
	few int // frames that are lost next
}

func (f *faults) Call(to cluster.MemberID, path string, body []byte, in time.Duration) (int, []byte, error) {
	f.mu.Lock()
	what, cut := f.r.IntN(3*f.one), f.cut
	if path == FramePath && f.few > 0 {
		f.few--
		what = 0
	}
	f.mu.Unlock()
	if cut || what == 0 {
		return 0, nil, transport.ErrOutcomeUnknown
	}
	if what == 1 {
		f.Client.Call(to, path, body, in)
	}
	code, raw, err := f.Client.Call(to, path, body, in)
	if what == 2 {
		return 0, nil, transport.ErrOutcomeUnknown
	}
	return code, raw, err
}

func (f *faults) set(cut bool, one int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut, f.one = cut, one
}

// site is an owner with a stream and a relay, each with a journal in memory.
type site struct {
	t      *testing.T
	toward *faults
	back   *faults
	stream *Sender
	relay  *Receiver
	mu     sync.Mutex
	mark   stream.Checkpoint
	held   map[stream.Delivery]bool
	owed   []stream.Result
	full   bool
	slow   map[api.DestinationID]bool // its deliveries don't end

	open   map[stream.Delivery]stream.Location // the owner's
	once   bool                                // all are at-most-once
	ends   map[stream.Delivery]int
	ran    map[stream.Delivery]int
	beside int
	taught atomic.Int64
	server *transport.Server
	addr   string
}

// book is a site as its owner's journal and module, shelf as its relay's.
type book struct{ *site }
type shelf struct{ *site }

func (b book) RecordSending([]stream.Item, uint64, api.Micros) error { return nil }
func (b book) Requeue([]stream.Delivery)                             {}
func (b book) DropExpired([]stream.Delivery)                         {}

func (b book) Bypass(never []stream.Delivery) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range never {
		b.beside++
		b.ran[d]++
		b.ends[d]++
		delete(b.open, d)
	}
}

func (b book) ResolveInDoubt(of []stream.InDoubt, lost bool) (forget []stream.Delivery) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i, t := stream.Item{FirstAttemptAt: api.Never}, api.EventType{}
	if b.once {
		t.Semantics = api.AtMostOnce
	}
	for _, u := range of {
		if c := stream.Resolve(&i, u.SentAt, t, lost, 1<<60, clock()); c != stream.ResolveWait {
			forget = append(forget, u.Delivery)
			if c == stream.ResolveRetry {
				b.ran[u.Delivery]++
			}
			b.ends[u.Delivery]++
			delete(b.open, u.Delivery)
		}
	}
	return forget
}

func (b book) RecordResults(ends []stream.Result) (heard []stream.Delivery) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range ends {
		if stream.ActionForResult(e, b.open[e.Delivery], false) != stream.IgnoreResult {
			b.ends[e.Delivery]++
			delete(b.open, e.Delivery)
		}
		heard = append(heard, e.Delivery)
	}
	return heard
}

func (b book) Learned() []api.DestinationState {
	return []api.DestinationState{{Destination: 1, WaitUntil: clock()}}
}
func (b book) ApplyLearned([]api.DestinationState) {}

func (s shelf) Learned([]api.DestinationID) []api.DestinationState { return nil }
func (s shelf) ApplyLearned(all []api.DestinationState)            { s.taught.Add(int64(len(all))) }

func (s shelf) Capacity() int { return 64 }

func (s shelf) ForgetResults(heard []stream.Delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := map[stream.Delivery]bool{}
	for _, d := range heard {
		gone[d] = true
	}
	var left []stream.Result
	for _, e := range s.owed {
		if !gone[e.Delivery] {
			left = append(left, e)
		}
	}
	s.owed = left
}

func (s shelf) Persist(m stream.Checkpoint, fresh []stream.Item) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return errors.New("full")
	}
	s.mark = m
	for _, i := range fresh {
		for _, to := range i.Destinations {
			s.held[stream.Delivery{Message: i.ID, Destination: to}] = true
		}
	}
	return nil
}

// work is the relay's module: what is held runs and ends.
func (s *site) work(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		s.mu.Lock()
		var ends []stream.Result
		for d := range s.held {
			if !s.slow[d.Destination] {
				s.ran[d]++
				ends = append(ends, stream.Result{Delivery: d, Outcome: stream.Delivered, Attempts: 1, MayHaveRun: true})
				delete(s.held, d)
			}
		}
		s.owed = append(s.owed, ends...)
		r := s.relay
		s.mu.Unlock()
		for _, e := range ends {
			r.RecordResult(e)
		}
	}
}

func (s *site) start() {
	s.mu.Lock()
	var held []stream.Delivery
	for d := range s.held {
		held = append(held, d)
	}
	s.relay = NewReceiver(stream.NewReceiver(s.mark, held, s.owed), shelf{s}, s.back, TimingFor(term), clock)
	s.mu.Unlock()
	s.server = transport.NewServer(50, time.Second)
	s.relay.RegisterHandlers(s.server)
	on, err := net.Listen("tcp", s.addr)
	require.NoError(s.t, err)
	s.addr = on.Addr().String()
	go s.server.Serve(on)
}

func begin(t *testing.T, once bool) *site {
	s := &site{t: t, held: map[stream.Delivery]bool{}, open: map[stream.Delivery]stream.Location{},
		once: once, ends: map[stream.Delivery]int{}, ran: map[stream.Delivery]int{}, mark: stream.Checkpoint{Incarnation: 9},
		slow: map[api.DestinationID]bool{}, addr: "127.0.0.1:0"}
	owner := transport.NewServer(50, time.Second)
	on, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.back = &faults{Client: transport.NewClient("r", map[cluster.MemberID]string{"m": on.Addr().String()}),
		r: rand.New(rand.NewPCG(1, 2)), one: 1 << 20}
	s.start()
	s.toward = &faults{Client: transport.NewClient("m", map[cluster.MemberID]string{"r": s.addr}),
		r: rand.New(rand.NewPCG(3, 4)), one: 1 << 20}
	s.stream = NewSender("r", stream.NewSender(1, 0.05), book{s}, s.toward, TimingFor(term), clock,
		func() bool { return true })
	owner.Handle(ResultsPath, s.stream.HandleResults)
	go owner.Serve(on)
	go s.stream.Run()
	stop := make(chan struct{})
	go s.work(stop)
	t.Cleanup(func() {
		s.stream.Close()
		close(stop)
		s.server.Close(time.Second)
		s.relay.Close()
		owner.Close(time.Second)
	})
	return s
}
