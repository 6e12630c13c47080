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
	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// siteSender sends a site's webhooks to its relay while this member holds the site's lease. Without the lease it only
// asks the relay for the results of what it sent. Each member has a siteSender for each site, since any member may
// become the site's sender. It implements relay.SenderStore.
type siteSender struct {
	sites    *Sites
	site     config.Site
	resource cluster.Resource
	direct   atomic.Bool // this member may call the site's subscribers directly, without the relay

	// closing is set if the operator file no longer has the site, or has another relay for it. The siteSender then only
	// waits for the results of what was sent to its relay.
	closing atomic.Bool

	epoch        cluster.Epoch // of the running stream; accessed only by Sites.run
	sender       atomic.Pointer[relay.Sender]
	needsRestart atomic.Bool // the stream must be restarted from the journals

	mu         sync.Mutex
	tracked    map[stream.Delivery]*trackedWebhook    // those in the stream: queued, or sent and without a result
	deliveries map[inflight.RequestID]stream.Delivery // the keys of tracked
	finished   map[inflight.RequestID]bool            // finished since the parked webhooks were last listed
	bypassed   []stream.Delivery                      // to be reported to the stream as complete
}

// trackedWebhook is a webhook in the stream.
type trackedWebhook struct {
	id   inflight.RequestID
	item *stream.Item
}

func newSiteSender(sites *Sites, site config.Site) *siteSender {
	return &siteSender{sites: sites, site: site, resource: cluster.SiteSenderResource(site.ID)}
}

// messageID returns the cluster-wide id of a webhook or an announcement. It consists of this member's name
// and two hashes of the request id, which is never reused.
func (s *siteSender) messageID(request string) stream.MessageID {
	return stream.MessageID{
		Origin:      s.sites.self,
		Incarnation: xxhash.Sum64String(request),
		Number:      xxhash.Sum64String("name " + request),
	}
}

func (s *siteSender) deliveryOf(id inflight.RequestID, destination api.DestinationID) stream.Delivery {
	request, _, _ := id.Subscriber()
	return stream.Delivery{Message: s.messageID(string(request)), Destination: destination}
}

// reconcile starts, stops or feeds the stream according to the lease, the shard map and the journals.
func (s *siteSender) reconcile(parked []eventloop.Parked) {
	epoch, held := s.reconcileLease()
	sent := s.sites.sentLog.forSite(s.site)
	sender := s.sender.Load()
	switch {
	case held && (sender == nil || epoch != s.epoch || s.needsRestart.Load()):
		s.startStream(epoch, sent, parked)
	case !held && sender == nil && len(sent) > 0: // asks the relay for the results
		s.startStream(lastEpoch(epoch, sent), sent, parked)
	case !held && sender != nil && len(sent) == 0:
		s.stopStream()
	}
	sender = s.sender.Load()
	if sender != nil {
		for _, d := range s.takeBypassed() {
			sender.Complete(d)
		}
	}
	isUnreachable := sender != nil && sender.IsUnreachable()
	s.setDirect(held && isUnreachable || !held && s.sites.isOwnerUnknown(s.site.ID))
	if held && !isUnreachable {
		s.feedStream(sender, parked)
	}
}

func lastEpoch(epoch cluster.Epoch, sent []sentRecord) cluster.Epoch {
	for _, r := range sent {
		epoch = max(epoch, r.Epoch)
	}
	return epoch
}

// needsParkedWebhooks reports whether reconcile needs the parked webhooks. Listing them takes an iteration of the event
// loop, which a member that sends to no site avoids.
func (s *siteSender) needsParkedWebhooks() bool {
	if s.site.Relay == s.sites.self {
		return false
	}
	return s.sender.Load() != nil || s.sites.isSiteOwner(s.site.ID) || len(s.sites.sentLog.forSite(s.site)) > 0
}

// reconcileLease acquires the lease on sending to the site if this member owns the site, and releases it otherwise.
func (s *siteSender) reconcileLease() (epoch cluster.Epoch, held bool) {
	if s.closing.Load() { // another siteSender may hold the lease
		return 0, false
	}
	session := s.sites.session
	if sender := s.sender.Load(); sender != nil && sender.IsFenced() {
		session.Release(s.resource)
		s.stopStream()
		slog.Info("site's lease requested again: its relay has seen a later epoch", "site", s.site.ID)
	}
	if s.sites.isSiteOwner(s.site.ID) {
		session.Acquire(s.resource)
		return session.Holds(s.resource)
	}
	if _, held := session.Holds(s.resource); held {
		session.Release(s.resource)
		slog.Info("site's lease released", "site", s.site.ID)
	}
	return 0, false
}

// setDirect sets whether this member calls the site's subscribers directly.
func (s *siteSender) setDirect(direct bool) {
	if s.direct.Swap(direct) != direct {
		slog.Info("site's subscribers are called directly", "site", s.site.ID, "directly", direct)
		s.sites.loop.Reevaluate()
	}
}

func (s *siteSender) takeBypassed() []stream.Delivery {
	s.mu.Lock()
	defer s.mu.Unlock()
	bypassed := s.bypassed
	s.bypassed = nil
	return bypassed
}

func (s *siteSender) stopStream() {
	if sender := s.sender.Load(); sender != nil {
		sender.Close()
		s.sender.Store(nil)
	}
}

// startStream starts a new generation of the stream from the journals. The stream first asks the relay about the
// deliveries that were sent before.
func (s *siteSender) startStream(epoch cluster.Epoch, sent []sentRecord, parked []eventloop.Parked) {
	s.stopStream()
	s.needsRestart.Store(false)
	s.epoch = epoch
	state := stream.NewSender(epoch, s.sites.clockDrift)
	state.SetGeneration(uint64(inflight.Now()))
	s.mu.Lock()
	s.tracked = map[stream.Delivery]*trackedWebhook{}
	s.deliveries = map[inflight.RequestID]stream.Delivery{}
	s.bypassed = nil
	s.mu.Unlock()
	restored, detached := s.restoreSent(state, sent, parked)
	slog.Info("site's stream started", "site", s.site.ID, "relay", s.site.Relay, "epoch", epoch, "sent", restored)
	sender := relay.NewSender(s.site.Relay, state, s, s.sites.messenger, s.sites.timing, inflight.Now, func() bool {
		current, held := s.sites.session.Holds(s.resource)
		return held && current == epoch && !s.closing.Load() && s.sites.isSiteOwner(s.site.ID)
	})
	for d := range detached {
		sender.DetachDestination(d)
	}
	s.sender.Store(sender)
	go sender.Run() // until stopStream
}

// restoreSent adds the parked webhooks that were sent before to the stream, and removes the records of those that were
// finished since. It returns how many it added, and which of their destinations no longer belong to the site: if the
// relay never received a webhook for such a destination, it is delivered by the destination's current route.
func (s *siteSender) restoreSent(state *stream.Sender, sent []sentRecord,
	parked []eventloop.Parked) (restored int, detached map[api.DestinationID]bool) {
	records := map[inflight.RequestID]sentRecord{}
	for _, r := range sent {
		records[r.RequestID] = r
	}
	detached = map[api.DestinationID]bool{}
	for _, w := range parked {
		r, wasSent := records[w.RequestID]
		if !wasSent || !w.InDoubt {
			continue
		}
		item := s.newItem(w)
		s.track(item, w)
		state.RestoreSent(*item, r.ReceiverIncarnation, r.SentAt)
		if s.sites.senderOfDestination(w.Destination) != s {
			detached[w.Destination] = true
		}
		delete(records, w.RequestID)
		restored++
	}
	pending := s.sites.loop.PendingIDs()
	for id := range records {
		if !slices.Contains(pending, id) {
			s.sites.sentLog.remove(id)
		}
	}
	return restored, detached
}
