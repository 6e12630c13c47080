package site

import (
	"slices"

	"rowanlink/cluster/relay"
	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// owed lists what is parked here by site, in the order taken: all sites in one turn, since each turn looks at
// all that is held.
func (s *Sites) owed(of *ways) map[*lane][]eventloop.Parked {
	for _, l := range of.lanes {
		l.lists()
	}
	all, _ := s.decider.ParkedWebhooks(func(w *inflight.Webhook) bool {
		l := s.laneOf(w, of)
		return l != nil && l.site.Relay != s.self
	})
	by := map[*lane][]eventloop.Parked{}
	for _, w := range all {
		if l := s.laneOf(w.Webhook, of); l != nil {
			by[l] = append(by[l], w)
		}
	}
	return by
}

// laneOf is the site that a webhook is given to, or was: one that has moved to another since ends by the
// word of the relay that may have it.
func (s *Sites) laneOf(w *inflight.Webhook, of *ways) *lane {
	if m, sent := s.marks.get(w.RequestID); sent {
		if i := slices.IndexFunc(of.lanes, func(l *lane) bool { return m.by(l.site) }); i >= 0 {
			return of.lanes[i]
		}
	}
	return of.of[w.Destination]
}

// item is a webhook as it goes over.
func (l *lane) item(w eventloop.Parked) *stream.Item {
	of, _, many := w.RequestID.Subscriber()
	i := &stream.Item{ID: l.nameOf(string(of)), RequestID: string(of), IsAnnouncement: many, EventType: w.EventType,
		Tenant: w.Tenant, Token: string(w.Token), TTL: w.Deadline, Attempts: w.Attempts, FirstAttemptAt: w.MayHaveRunAt,
		Zone: w.Zone, Body: w.Body, Destinations: []api.DestinationID{w.Destination}}
	t := l.of.event(w.EventType)
	if t.Ordered {
		i.Key = w.OrderingKey
	}
	if t.Semantics == api.Deduplicated {
		i.TokenWindow = t.DedupWindow
	}
	return i
}

func (l *lane) adds(i *stream.Item, w eventloop.Parked) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.delivery(w.RequestID, w.Destination)
	l.known[d], l.ids[w.RequestID] = &given{w.RequestID, i}, d
}

// has is whether the stream has it, or it has ended since it was listed as owed.
func (l *lane) has(id inflight.RequestID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, is := l.ids[id]
	return is || l.over[id]
}

func (l *lane) lists() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = map[inflight.RequestID]bool{}
}

// feed hands the stream what is owed and not in it yet: subscribers of one announcement together.
func (l *lane) feed(s *relay.Sender, all []eventloop.Parked) {
	type turn struct {
		to  api.DestinationID
		key api.OrderingKey
	}
	type alike struct {
		name     stream.MessageID
		ttl      api.Micros
		attempts int
		mayRun   api.Micros
		zone     api.ZoneID
	}
	stays, with := map[turn]bool{}, map[alike]*stream.Item{}
	var items []*stream.Item
	for _, w := range all {
		_, sent := l.of.marks.get(w.RequestID)
		i := l.item(w)
		of := turn{w.Destination, i.Key}
		switch {
		case l.has(w.RequestID):
			continue
		case !sent && !l.of.serves(w.Destination): // guards against a relay that calls it beside another home
			stays[of] = stays[of] || i.Key != 0
			continue
		case w.InDoubt && !sent, stays[of]: // guards order by key: another member may have an earlier one
			stays[of] = stays[of] || i.Key != 0
			continue
		case w.InDoubt: // sent in an earlier run, and the stream doesn't know: it asks
			l.anew.Store(true)
			return
		}
		k := alike{i.ID, i.TTL, i.Attempts, i.FirstAttemptAt, i.Zone}
		if first := with[k]; first != nil && first.Key == 0 {
			first.Destinations = append(first.Destinations, w.Destination)
			i = first
		} else {
			with[k], items = i, append(items, i)
		}
		l.adds(i, w)
	}
	for _, i := range items {
		s.Add(*i, l.of.event(i.EventType).LatencyTarget)
	}
}
