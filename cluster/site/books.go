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

var errMoved = errors.New("some of it is no longer here to be sent")

var _ relay.SenderStore = (*lane)(nil)

// RecordSending notes what goes out. Where some of it has ended meanwhile, or is called for here, the stream is
// made anew without it.
func (l *lane) RecordSending(items []stream.Item, life uint64, at api.Micros) error {
	given := map[inflight.RequestID]int{}
	var all, before []mark
	var fresh []inflight.RequestID
	for _, i := range items {
		for _, to := range i.Destinations {
			id := inflight.RequestID(i.RequestIDFor(to))
			given[id] = i.Attempts
			if m, sent := l.of.marks.get(id); sent {
				before = append(before, m)
			} else {
				fresh = append(fresh, id)
			}
			all = append(all, mark{Site: l.site.ID, Relay: l.site.Relay, ID: id, Life: life, At: at, Epoch: l.epoch,
				Ran: i.FirstAttemptAt != api.Never})
		}
	}
	if err := l.of.marks.put(all); err != nil { // first: a mark too many is settled by the relay's word
		return err
	}
	if !l.of.decider.HandToRelay(given, at) {
		// Guards what was sent before and may be at the relay: without its mark nobody would ask for it, and it
		// would hold up what comes behind it of its key until its time is up.
		l.of.marks.drop(fresh...)
		if len(before) > 0 {
			l.of.marks.put(before) // else the later one stands: the relay is asked all the same
		}
		l.anew.Store(true)
		return errMoved
	}
	l.of.Sent.Add(int64(len(given)))
	return nil
}

// Unsent: they wait here again.
func (l *lane) Requeue(again []stream.Delivery) {
	if len(again) > 0 {
		l.frees(again, true)
		l.of.Requeued.Add(int64(len(again)))
	}
}

// frees takes deliveries back. never: the relay never had them.
func (l *lane) frees(all []stream.Delivery, never bool) {
	back := map[inflight.RequestID]eventloop.TakenBack{}
	for _, d := range all {
		if g := l.get(d); g != nil {
			m, _ := l.of.marks.get(g.id)
			back[g.id] = eventloop.TakenBack{NeverReceived: never, MayHaveRun: m.Ran}
		}
	}
	l.of.decider.TakeBack(back)
	for id := range back {
		l.of.marks.drop(id)
	}
}

func (l *lane) get(d stream.Delivery) *given {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[d]
}

func (l *lane) forget(all []stream.Delivery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range all {
		if g := l.known[d]; g != nil {
			delete(l.known, d)
			delete(l.ids, g.id)
		}
	}
}

// Beside: they are parked here, and called for as soon as the site's subscribers are.
func (l *lane) Bypass(never []stream.Delivery) {
	l.forget(never)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.aside = append(l.aside, never...)
	l.of.Bypassed.Add(int64(len(never)))
}

// Late: the decider ends them itself.
func (l *lane) DropExpired(late []stream.Delivery) { l.forget(late) }

// ResolveInDoubt settles what may be at a relay that is gone.
func (l *lane) ResolveInDoubt(of []stream.InDoubt, lost bool) (forget []stream.Delivery) {
	rule := func(s stream.InDoubt) stream.Resolution {
		g := l.get(s.Delivery)
		if g == nil {
			return stream.ResolveDeadLetter
		}
		return stream.Resolve(g.item, s.SentAt, l.of.event(g.item.EventType), lost, g.item.TTL, inflight.Now())
	}
	courses := make([]stream.Resolution, len(of))
	if lost {
		courses = stream.ResolveLost(of, rule)
		l.anew.Store(l.anew.Load() || len(of) > 0) // guards order by key: all that waits is queued anew
	} else {
		for i, s := range of {
			courses[i] = rule(s)
			// Guards against a call here beside the relay's own, which may just have begun: it has a while.
			if courses[i] == stream.ResolveRetry && inflight.Now() < s.SentAt+api.Micros(l.of.pace.UnreachableTimeout.Microseconds()) {
				courses[i] = stream.ResolveWait
			}
		}
	}
	var goes []stream.Delivery
	var ends []inflight.Result
	for i, s := range of {
		switch g := l.get(s.Delivery); {
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
		l.frees(goes, false)
	}
	if len(ends) > 0 && l.of.decider.FinishByRelay(ends) {
		l.drop(ends)
	}
	if len(forget) > 0 {
		l.forget(forget)
		slog.Warn("relay gone: what it may have had", "site", l.site.ID, "goes", len(goes), "dead_lettered",
			len(ends), "waits", len(of)-len(forget), "folder_lost", lost)
		l.of.InDoubt.Add(int64(len(forget)))
	}
	return forget
}

// ends guards against one put into the stream again by a list from before it ended.
func (l *lane) ends(all []inflight.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range all {
		if l.over != nil {
			l.over[e.RequestID] = true
		}
	}
}

func (l *lane) drop(ends []inflight.Result) {
	for _, e := range ends {
		l.of.marks.drop(e.RequestID)
	}
}

// RecordResults takes the relay's word. One that the stream does not know of may be of an earlier life of this
// process.
func (l *lane) RecordResults(ends []stream.Result) (heard []stream.Delivery) {
	var byName map[stream.Delivery]inflight.RequestID
	var all []inflight.Result
	for _, e := range ends {
		heard = append(heard, e.Delivery)
		var id inflight.RequestID
		if g := l.get(e.Delivery); g != nil {
			id = g.id
		} else {
			if byName == nil {
				byName = l.names(ends)
			}
			id = byName[e.Delivery]
		}
		if id == "" {
			continue // it has ended
		}
		end := inflight.Result{RequestID: id, Status: inflight.Status(e.Outcome), RetryAfter: e.RetryAfter}
		if m, sent := l.of.marks.get(id); sent && m.Ran && end.Status == inflight.StatusRejected {
			end.Status = inflight.StatusDeadLettered // it never ran there, but may have run before
		}
		all = append(all, end)
	}
	if len(all) > 0 && !l.of.decider.FinishByRelay(all) {
		return nil
	}
	l.drop(all)
	l.ends(all)
	l.forget(heard)
	l.of.Results.Add(int64(len(all)))
	return heard
}

// names finds deliveries among all that is held here.
func (l *lane) names(ends []stream.Result) map[stream.Delivery]inflight.RequestID {
	want := map[stream.Delivery]bool{}
	for _, e := range ends {
		want[e.Delivery] = true
	}
	all := map[stream.Delivery]inflight.RequestID{}
	for _, id := range l.of.decider.PendingIDs() {
		of, _, _ := id.Subscriber()
		name := l.nameOf(string(of))
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
func (l *lane) DestinationStates() []api.DestinationState {
	if !l.direct.Load() {
		return nil
	}
	all, _ := l.of.decider.ExportState(func(d api.DestinationID) bool { return l.of.lane(d) == l })
	return all
}

// ApplyDestinationStates is for the time when the relay is gone.
func (l *lane) ApplyDestinationStates(all []api.DestinationState) {
	if !l.direct.Load() { // else what is known here is newer
		l.of.decider.ImportState(all)
	}
}
