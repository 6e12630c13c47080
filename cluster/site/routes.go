package site

import (
	"fmt"
	"io"
	"slices"
	"sync/atomic"

	"rowanlink/cluster/config"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// routes is what the operator file says of sites and lists.
type routes struct {
	senders    []*siteSender
	senderOf   map[api.DestinationID]*siteSender
	lists      map[string][]api.DestinationID
	servedHere map[api.DestinationID]bool // this member is their relay
}

// newRoutes reads the file; what stays of a site goes on.
func (s *Sites) newRoutes(f config.File, was *routes) *routes {
	now := &routes{senderOf: map[api.DestinationID]*siteSender{}, lists: map[string][]api.DestinationID{},
		servedHere: map[api.DestinationID]bool{}}
	for _, site := range f.Sites {
		if len(site.Subscribers) == 0 {
			continue
		}
		l := newSiteSender(s, site)
		if was != nil {
			if i := slices.IndexFunc(was.senders, func(l *siteSender) bool {
				return l.site.ID == site.ID &&
					l.site.Relay == site.Relay && slices.Equal(l.site.Subscribers, site.Subscribers)
			}); i >= 0 {
				l = was.senders[i]
				l.closing.Store(false)
			}
		}
		now.senders = append(now.senders, l)
		for _, d := range site.Subscribers {
			now.senderOf[d] = l
			now.servedHere[d] = site.Relay == s.self
		}
	}
	for _, l := range s.sendersInUse(was) {
		if !slices.ContainsFunc(now.senders, func(n *siteSender) bool {
			return n.site.ID == l.site.ID &&
				n.site.Relay == l.site.Relay
		}) {
			l.closing.Store(true)
			now.senders = append(now.senders, l)
		}
	}
	for _, list := range f.Lists {
		now.lists[string(list.ID)] = list.Subscribers
	}
	return now
}

// sendersInUse lists the sites of the file before that may have something on its way.
func (s *Sites) sendersInUse(was *routes) (all []*siteSender) {
	if was == nil {
		return nil
	}
	for _, l := range was.senders {
		if len(s.sentLog.forSite(l.site)) > 0 {
			all = append(all, l)
		}
	}
	return all
}

// partitionedShare is the share of a rate that each of the two has while a relay and its sender don't hear each
// other: both may call then.
const partitionedShare = 1.0 / 2

// MayCall tells whether a site's subscriber may be called from here as far as its stream goes; asRelay:
// whatever its home is.
func (s *Sites) MayCall(d api.DestinationID) (may, asRelay bool) {
	now, k := s.routes.Load(), s.relay.Load()
	l := now.senderOf[d]
	switch {
	case now.servedHere[d]:
		return k != nil, true
	case k != nil && k.hasPending(d): // it has left the site, and what came before ends here
		return true, true
	case l != nil:
		return l.direct.Load(), false
	}
	return true, false
}

// RateShare is the share of a destination's rate that this member has; home: by the map of ranges.
func (s *Sites) RateShare(d api.DestinationID, home float64) float64 {
	now, k := s.routes.Load(), s.relay.Load()
	switch l := now.senderOf[d]; {
	case k != nil && (now.servedHere[d] || k.hasPending(d)):
		if k.receiver.MayBeBypassed() {
			return partitionedShare
		}
		return 1
	case l != nil && l.direct.Load() && home == 1: // alone, it is an even part already
		return partitionedShare
	}
	return home
}

// submit takes an announcement on: each subscriber's webhook has an end of its own from here on.
func (s *Sites) submit(w *inflight.Webhook, here func() (inflight.Answer,
	api.Micros)) (what inflight.Answer, retryIn api.Micros) {
	if w.List == "" {
		return s.submitNext(w, here)
	}
	var all []*inflight.Webhook
	for _, to := range s.routes.Load().lists[w.List] {
		one := *w
		one.RequestID, one.Destination, one.List = inflight.ForSubscriber(w.RequestID, to), to, ""
		all = append(all, &one)
	}
	if what = s.loop.SubmitBroadcast(all); what == inflight.Accepted {
		s.Announcements.Add(1)
		s.options.NotifyHandoff()
		return what, 0
	}
	if what == inflight.Rejected {
		retryIn = inflight.AnswerTimeout
	}
	return what, retryIn
}

// WriteMetrics writes the counters.
func (s *Sites) WriteMetrics(to io.Writer) {
	for _, row := range []struct {
		name string
		n    *atomic.Int64
	}{{"announcements_total", &s.Announcements}, {"site_sent_total", &s.Sent},
		{"site_never_taken_total", &s.Requeued},
		{"site_beside_total", &s.Bypassed}, {"site_unsure_total", &s.InDoubt}, {"site_ends_total", &s.Results}} {
		fmt.Fprintf(to, "rowanlink_%s %d\n", row.name, row.n.Load())
	}
}
