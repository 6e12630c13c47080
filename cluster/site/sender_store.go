package site

import (
	"errors"
	"log/slog"

	"rowanlink/cluster/relay"
	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

var errNotParked = errors.New("some of it is no longer here to be sent")

var _ relay.SenderStore = (*siteSender)(nil)

// RecordSending notes what goes out. Where some of it has ended meanwhile, or is called for here, the stream is
// made anew without it.
func (l *siteSender) RecordSending(items []stream.Item, life uint64, at api.Micros) error {
	given := map[inflight.RequestID]int{}
	var all, before []sentRecord
	var fresh []inflight.RequestID
	for _, i := range items {
		for _, to := range i.Destinations {
			id := inflight.RequestID(i.RequestIDFor(to))
			given[id] = i.Attempts
			if m, sent := l.sites.sentLog.get(id); sent {
				before = append(before, m)
			} else {
				fresh = append(fresh, id)
			}
			all = append(all, sentRecord{Site: l.site.ID, Relay: l.site.Relay, RequestID: id, ReceiverIncarnation: life, SentAt: at, Epoch: l.epoch,
				MayHaveRunBefore: i.FirstAttemptAt != api.Never})
		}
	}
	if err := l.sites.sentLog.add(all); err != nil { // first: a mark too many is settled by the relay's word
		return err
	}
	if !l.sites.loop.HandToRelay(given, at) {
		// Guards what was sent before and may be at the relay: without its mark nobody would ask for it, and it
		// would hold up what comes behind it of its key until its time is up.
		l.sites.sentLog.remove(fresh...)
		if len(before) > 0 {
			l.sites.sentLog.add(before) // else the later one stands: the relay is asked all the same
		}
		l.needsRestart.Store(true)
		return errNotParked
	}
	l.sites.Sent.Add(int64(len(given)))
	return nil
}

// Unsent: they wait here again.
func (l *siteSender) Requeue(again []stream.Delivery) {
	if len(again) > 0 {
		l.takeBack(again, true)
		l.sites.Requeued.Add(int64(len(again)))
	}
}

// takeBack takes deliveries back. never: the relay never had them.
func (l *siteSender) takeBack(all []stream.Delivery, never bool) {
	back := map[inflight.RequestID]eventloop.TakenBack{}
	for _, d := range all {
		if g := l.lookup(d); g != nil {
			m, _ := l.sites.sentLog.get(g.id)
			back[g.id] = eventloop.TakenBack{NeverReceived: never, MayHaveRun: m.MayHaveRunBefore}
		}
	}
	l.sites.loop.TakeBack(back)
	for id := range back {
		l.sites.sentLog.remove(id)
	}
}

func (l *siteSender) lookup(d stream.Delivery) *trackedWebhook {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracked[d]
}

func (l *siteSender) untrack(all []stream.Delivery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range all {
		if g := l.tracked[d]; g != nil {
			delete(l.tracked, d)
			delete(l.deliveries, g.id)
		}
	}
}

// Beside: they are parked here, and called for as soon as the site's subscribers are.
func (l *siteSender) Bypass(never []stream.Delivery) {
	l.untrack(never)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bypassed = append(l.bypassed, never...)
	l.sites.Bypassed.Add(int64(len(never)))
}

// Late: the decider ends them itself.
func (l *siteSender) DropExpired(late []stream.Delivery) { l.untrack(late) }

// ResolveInDoubt settles what may be at a relay that is gone.
func (l *siteSender) ResolveInDoubt(of []stream.InDoubt, lost bool) (forget []stream.Delivery) {
	rule := func(s stream.InDoubt) stream.Resolution {
		g := l.lookup(s.Delivery)
		if g == nil {
			return stream.ResolveDeadLetter
		}
		return stream.Resolve(g.item, s.SentAt, l.sites.eventType(g.item.EventType), lost, g.item.TTL, inflight.Now())
	}
	courses := make([]stream.Resolution, len(of))
	if lost {
		courses = stream.ResolveLost(of, rule)
		l.needsRestart.Store(l.needsRestart.Load() || len(of) > 0) // guards order by key: all that waits is queued anew
	} else {
		for i, s := range of {
			courses[i] = rule(s)
			// Guards against a call here beside the relay's own, which may just have begun: it has a while.
			if courses[i] == stream.ResolveRetry && inflight.Now() < s.SentAt+api.Micros(l.sites.timing.UnreachableTimeout.Microseconds()) {
				courses[i] = stream.ResolveWait
			}
		}
	}
	var goes []stream.Delivery
	var ends []inflight.Result
	for i, s := range of {
		switch g := l.lookup(s.Delivery); {
		case courses[i] == stream.ResolveWait:
			continue
		case g == nil:
		case courses[i] == stream.ResolveRetry:
			goes = append(goes, s.Delivery)
		default:
			ends = append(ends, inflight.Result{RequestID: g.id, Status: inflight.StatusDeadLettered, MayHaveRun: true})
		}
		forget = append(forget, s.Delivery)
	}
	if len(goes) > 0 {
		l.takeBack(goes, false)
	}
	if len(ends) > 0 && l.sites.loop.FinishByRelay(ends) {
		l.removeSentRecords(ends)
	}
	if len(forget) > 0 {
		l.untrack(forget)
		slog.Warn("relay gone: what it may have had", "site", l.site.ID, "goes", len(goes), "dead_lettered",
			len(ends), "waits", len(of)-len(forget), "folder_lost", lost)
		l.sites.InDoubt.Add(int64(len(forget)))
	}
	return forget
}

// markFinished guards against one put into the stream again by a list from before it ended.
func (l *siteSender) markFinished(all []inflight.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range all {
		if l.finished != nil {
			l.finished[e.RequestID] = true
		}
	}
}

func (l *siteSender) removeSentRecords(ends []inflight.Result) {
	for _, e := range ends {
		l.sites.sentLog.remove(e.RequestID)
	}
}

// RecordResults takes the relay's word. One that the stream does not know of may be of an earlier life of this
// process.
func (l *siteSender) RecordResults(ends []stream.Result) (heard []stream.Delivery) {
	var byName map[stream.Delivery]inflight.RequestID
	var all []inflight.Result
	for _, e := range ends {
		heard = append(heard, e.Delivery)
		var id inflight.RequestID
		if g := l.lookup(e.Delivery); g != nil {
			id = g.id
		} else {
			if byName == nil {
				byName = l.findPending(ends)
			}
			id = byName[e.Delivery]
		}
		if id == "" {
			continue // it has ended
		}
		end := inflight.Result{RequestID: id, Status: inflight.Status(e.Outcome), RetryAfter: e.RetryAfter}
		if m, sent := l.sites.sentLog.get(id); sent && m.MayHaveRunBefore && end.Status == inflight.StatusRejected {
			end.Status = inflight.StatusDeadLettered // it never ran there, but may have run before
		}
		all = append(all, end)
	}
	if len(all) > 0 && !l.sites.loop.FinishByRelay(all) {
		return nil
	}
	l.removeSentRecords(all)
	l.markFinished(all)
	l.untrack(heard)
	l.sites.Results.Add(int64(len(all)))
	return heard
}

// findPending finds deliveries among all that is held here.
func (l *siteSender) findPending(ends []stream.Result) map[stream.Delivery]inflight.RequestID {
	want := map[stream.Delivery]bool{}
	for _, e := range ends {
		want[e.Delivery] = true
	}
	all := map[stream.Delivery]inflight.RequestID{}
	for _, id := range l.sites.loop.PendingIDs() {
		of, _, _ := id.Subscriber()
		name := l.messageID(string(of))
		for d := range want {
			i := stream.Item{RequestID: string(of), IsAnnouncement: id != of}
			if d.Message == name && inflight.RequestID(i.RequestIDFor(d.Destination)) == id {
				all[d] = id
			}
		}
	}
	return all
}

// DestinationStates is what this dispatcher learned of the site's subscribers as it called for them itself: a wait
// that it was told holds at the relay, too.
func (l *siteSender) DestinationStates() []api.DestinationState {
	if !l.direct.Load() {
		return nil
	}
	all, _ := l.sites.loop.ExportState(func(d api.DestinationID) bool { return l.sites.senderFor(d) == l })
	return all
}

// ApplyDestinationStates is for the time when the relay is gone.
func (l *siteSender) ApplyDestinationStates(all []api.DestinationState) {
	if !l.direct.Load() { // else what is known here is newer
		l.sites.loop.ImportState(all)
	}
}
