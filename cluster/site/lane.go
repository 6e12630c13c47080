package site

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"rowanlink/cluster"
	"rowanlink/cluster/config"
	"rowanlink/cluster/relay"
	streampkg "rowanlink/cluster/stream"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// lane is a site as one member sees it that may be its sender.
type lane struct {
	of     *Sites
	site   config.Site
	task   cluster.Resource
	direct atomic.Bool // its subscribers may be called from here

	// The file names it no more, or with another relay: what was sent ends by the word of the one that has it.
	closing atomic.Bool

	// Of the goroutine that looks, but for stream.
	epoch  cluster.Epoch
	stream atomic.Pointer[relay.Sender]
	anew   atomic.Bool // the stream is to be made anew from what the journals say

	mu    sync.Mutex
	known map[streampkg.Delivery]*given // in the stream: queued, or sent and not ended
	ids   map[inflight.RequestID]streampkg.Delivery
	over  map[inflight.RequestID]bool // ended since what is owed was last listed
	aside []streampkg.Delivery        // to be said to the stream: they go beside it
}

// given is a delivery as the stream has it.
type given struct {
	id   inflight.RequestID
	item *streampkg.Item
}

func newLane(of *Sites, s config.Site) *lane {
	return &lane{of: of, site: s, task: cluster.SiteSenderResource(s.ID)}
}

// nameOf is a webhook's or an announcement's name over the whole fleet: no request id is used twice.
func (l *lane) nameOf(request string) streampkg.MessageID {
	return streampkg.MessageID{Origin: l.of.self, Incarnation: xxhash.Sum64String(request),
		Number: xxhash.Sum64String("name " + request)}
}

func (l *lane) delivery(id inflight.RequestID, to api.DestinationID) streampkg.Delivery {
	of, _, _ := id.Subscriber()
	return streampkg.Delivery{Message: l.nameOf(string(of)), Destination: to}
}

// look does what the grants, the map and the journals ask for now.
func (l *lane) look(owed []eventloop.Parked) {
	epoch, held := l.holds()
	sent := l.of.marks.all(l.site)
	now := l.stream.Load()
	switch {
	case held && (now == nil || epoch != l.epoch || l.anew.Load()):
		l.begin(epoch, sent, owed)
	case !held && now == nil && len(sent) > 0:
		for _, m := range sent {
			epoch = max(epoch, m.Epoch)
		}
		l.begin(epoch, sent, owed)
	case !held && now != nil && len(sent) == 0:
		l.end()
	}
	if now = l.stream.Load(); now != nil {
		for _, d := range l.leavers() {
			now.Complete(d)
		}
	}
	gone := now != nil && now.IsUnreachable()
	l.opens(held && gone || !held && l.of.alone(l.site.ID))
	if held && !gone {
		l.feed(now, owed)
	}
}

// sends is whether what is owed matters: guards against a turn of the decider for nothing at members at
// rest.
func (l *lane) sends() bool {
	return l.site.Relay != l.of.self && (l.stream.Load() != nil || l.of.home(l.site.ID) ||
		len(l.of.marks.all(l.site)) > 0)
}

// holds asks for the sender's task, or gives it up, by whether this member is home of the site.
func (l *lane) holds() (epoch cluster.Epoch, held bool) {
	if l.closing.Load() { // another lane may have the task
		return 0, false
	}
	if now := l.stream.Load(); now != nil && now.IsFenced() {
		l.of.session.Release(l.task)
		l.end()
		slog.Info("site asked for anew: its relay has seen a later epoch", "site", l.site.ID)
	}
	if l.of.home(l.site.ID) {
		l.of.session.Acquire(l.task)
		return l.of.session.Holds(l.task)
	}
	if _, held := l.of.session.Holds(l.task); held {
		l.of.session.Release(l.task)
		slog.Info("site let go", "site", l.site.ID)
	}
	return 0, false
}

// opens says whether its subscribers are called from here.
func (l *lane) opens(direct bool) {
	if l.direct.Swap(direct) != direct {
		slog.Info("site's subscribers are called directly", "site", l.site.ID, "directly", direct)
		l.of.decider.Reevaluate()
	}
}

// leavers takes what the stream is to forget: it goes beside it.
func (l *lane) leavers() []streampkg.Delivery {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.aside
	l.aside = nil
	return all
}

func (l *lane) end() {
	if s := l.stream.Load(); s != nil {
		s.Close()
		l.stream.Store(nil)
	}
}

// begin makes the stream by what the journals say: what was sent is asked about first.
func (l *lane) begin(epoch cluster.Epoch, sent []mark, all []eventloop.Parked) {
	l.end()
	l.anew.Store(false)
	l.epoch = epoch
	s := streampkg.NewSender(epoch, l.of.apart)
	s.SetGeneration(uint64(inflight.Now()))
	l.mu.Lock()
	l.known, l.ids = map[streampkg.Delivery]*given{}, map[inflight.RequestID]streampkg.Delivery{}
	l.aside = nil
	l.mu.Unlock()
	of := map[inflight.RequestID]mark{}
	for _, m := range sent {
		of[m.ID] = m
	}
	n, left := 0, map[api.DestinationID]bool{}
	for _, w := range all {
		m, was := of[w.RequestID]
		if !was || !w.InDoubt {
			continue
		}
		i := l.item(w)
		l.adds(i, w)
		s.RestoreSent(*i, m.Life, m.At)
		if l.of.lane(w.Destination) != l { // if it never came there, it goes the way it goes now
			left[w.Destination] = true
		}
		delete(of, w.RequestID)
		n++
	}
	held := l.of.decider.PendingIDs()
	for id := range of {
		if !slices.Contains(held, id) { // ended meanwhile
			l.of.marks.drop(id)
		}
	}
	slog.Info("site's stream begins", "site", l.site.ID, "relay", l.site.Relay, "epoch", epoch, "sent", n)
	stream := relay.NewSender(l.site.Relay, s, l, l.of.said, l.of.pace, inflight.Now, func() bool {
		now, held := l.of.session.Holds(l.task)
		return held && now == epoch && !l.closing.Load() && l.of.home(l.site.ID)
	})
	for to := range left {
		stream.DetachDestination(to)
	}
	l.stream.Store(stream)
	go stream.Run()
}
