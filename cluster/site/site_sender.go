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

// siteSender is a site as one member sees it that may be its sender.
type siteSender struct {
	sites    *Sites
	site     config.Site
	resource cluster.Resource
	direct   atomic.Bool // its subscribers may be called from here

	// The file names it no more, or with another relay: what was sent ends by the word of the one that has it.
	closing atomic.Bool

	// Of the goroutine that looks, but for stream.
	epoch        cluster.Epoch
	sender       atomic.Pointer[relay.Sender]
	needsRestart atomic.Bool // the stream is to be made anew from what the journals say

	mu         sync.Mutex
	tracked    map[streampkg.Delivery]*trackedWebhook // in the stream: queued, or sent and not ended
	deliveries map[inflight.RequestID]streampkg.Delivery
	finished   map[inflight.RequestID]bool // ended since what is owed was last listed
	bypassed   []streampkg.Delivery        // to be said to the stream: they go beside it
}

// trackedWebhook is a delivery as the stream has it.
type trackedWebhook struct {
	id   inflight.RequestID
	item *streampkg.Item
}

func newSiteSender(of *Sites, s config.Site) *siteSender {
	return &siteSender{sites: of, site: s, resource: cluster.SiteSenderResource(s.ID)}
}

// messageID is a webhook's or an announcement's name over the whole fleet: no request id is used twice.
func (l *siteSender) messageID(request string) streampkg.MessageID {
	return streampkg.MessageID{Origin: l.sites.self, Incarnation: xxhash.Sum64String(request),
		Number: xxhash.Sum64String("name " + request)}
}

func (l *siteSender) deliveryOf(id inflight.RequestID, to api.DestinationID) streampkg.Delivery {
	of, _, _ := id.Subscriber()
	return streampkg.Delivery{Message: l.messageID(string(of)), Destination: to}
}

// reconcile does what the grants, the map and the journals ask for now.
func (l *siteSender) reconcile(owed []eventloop.Parked) {
	epoch, held := l.reconcileLease()
	sent := l.sites.sentLog.forSite(l.site)
	now := l.sender.Load()
	switch {
	case held && (now == nil || epoch != l.epoch || l.needsRestart.Load()):
		l.startStream(epoch, sent, owed)
	case !held && now == nil && len(sent) > 0:
		for _, m := range sent {
			epoch = max(epoch, m.Epoch)
		}
		l.startStream(epoch, sent, owed)
	case !held && now != nil && len(sent) == 0:
		l.stopStream()
	}
	if now = l.sender.Load(); now != nil {
		for _, d := range l.takeBypassed() {
			now.Complete(d)
		}
	}
	gone := now != nil && now.IsUnreachable()
	l.setDirect(held && gone || !held && l.sites.isOwnerUnknown(l.site.ID))
	if held && !gone {
		l.feedStream(now, owed)
	}
}

// hasWork is whether what is owed matters: guards against a turn of the decider for nothing at members at
// rest.
func (l *siteSender) hasWork() bool {
	return l.site.Relay != l.sites.self && (l.sender.Load() != nil || l.sites.isSiteOwner(l.site.ID) ||
		len(l.sites.sentLog.forSite(l.site)) > 0)
}

// reconcileLease asks for the sender's task, or gives it up, by whether this member is home of the site.
func (l *siteSender) reconcileLease() (epoch cluster.Epoch, held bool) {
	if l.closing.Load() { // another lane may have the task
		return 0, false
	}
	if now := l.sender.Load(); now != nil && now.IsFenced() {
		l.sites.session.Release(l.resource)
		l.stopStream()
		slog.Info("site asked for anew: its relay has seen a later epoch", "site", l.site.ID)
	}
	if l.sites.isSiteOwner(l.site.ID) {
		l.sites.session.Acquire(l.resource)
		return l.sites.session.Holds(l.resource)
	}
	if _, held := l.sites.session.Holds(l.resource); held {
		l.sites.session.Release(l.resource)
		slog.Info("site let go", "site", l.site.ID)
	}
	return 0, false
}

// setDirect says whether its subscribers are called from here.
func (l *siteSender) setDirect(direct bool) {
	if l.direct.Swap(direct) != direct {
		slog.Info("site's subscribers are called directly", "site", l.site.ID, "directly", direct)
		l.sites.loop.Reevaluate()
	}
}

// takeBypassed takes what the stream is to forget: it goes beside it.
func (l *siteSender) takeBypassed() []streampkg.Delivery {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.bypassed
	l.bypassed = nil
	return all
}

func (l *siteSender) stopStream() {
	if s := l.sender.Load(); s != nil {
		s.Close()
		l.sender.Store(nil)
	}
}

// startStream makes the stream by what the journals say: what was sent is asked about first.
func (l *siteSender) startStream(epoch cluster.Epoch, sent []sentRecord, all []eventloop.Parked) {
	l.stopStream()
	l.needsRestart.Store(false)
	l.epoch = epoch
	s := streampkg.NewSender(epoch, l.sites.clockDrift)
	s.SetGeneration(uint64(inflight.Now()))
	l.mu.Lock()
	l.tracked, l.deliveries = map[streampkg.Delivery]*trackedWebhook{}, map[inflight.RequestID]streampkg.Delivery{}
	l.bypassed = nil
	l.mu.Unlock()
	of := map[inflight.RequestID]sentRecord{}
	for _, m := range sent {
		of[m.RequestID] = m
	}
	n, left := 0, map[api.DestinationID]bool{}
	for _, w := range all {
		m, was := of[w.RequestID]
		if !was || !w.InDoubt {
			continue
		}
		i := l.newItem(w)
		l.track(i, w)
		s.RestoreSent(*i, m.ReceiverIncarnation, m.SentAt)
		if l.sites.senderFor(w.Destination) != l { // if it never came there, it goes the way it goes now
			left[w.Destination] = true
		}
		delete(of, w.RequestID)
		n++
	}
	held := l.sites.loop.PendingIDs()
	for id := range of {
		if !slices.Contains(held, id) { // ended meanwhile
			l.sites.sentLog.remove(id)
		}
	}
	slog.Info("site's stream begins", "site", l.site.ID, "relay", l.site.Relay, "epoch", epoch, "sent", n)
	stream := relay.NewSender(l.site.Relay, s, l, l.sites.messenger, l.sites.timing, inflight.Now, func() bool {
		now, held := l.sites.session.Holds(l.resource)
		return held && now == epoch && !l.closing.Load() && l.sites.isSiteOwner(l.site.ID)
	})
	for to := range left {
		stream.DetachDestination(to)
	}
	l.sender.Store(stream)
	go stream.Run()
}
