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

var errNotParked = errors.New("a webhook of the frame is no longer parked here")

var _ relay.SenderStore = (*siteSender)(nil)

// RecordSending records that the items are about to be sent. If one of their webhooks was finished meanwhile or is
// being attempted by this member, it returns an error, so that nothing is sent, and has the stream restarted without
// that webhook.
func (s *siteSender) RecordSending(items []stream.Item, receiverIncarnation uint64, at api.Micros) error {
	attempts := map[inflight.RequestID]int{}
	var records, previous []sentRecord
	var unsent []inflight.RequestID
	for _, i := range items {
		for _, destination := range i.Destinations {
			id := inflight.RequestID(i.RequestIDFor(destination))
			attempts[id] = i.Attempts
			if r, sent := s.sites.sentLog.get(id); sent {
				previous = append(previous, r)
			} else {
				unsent = append(unsent, id)
			}
			records = append(records, sentRecord{
				Site:                s.site.ID,
				Relay:               s.site.Relay,
				RequestID:           id,
				ReceiverIncarnation: receiverIncarnation,
				SentAt:              at,
				Epoch:               s.epoch,
				MayHaveRunBefore:    i.FirstAttemptAt != api.Never,
			})
		}
	}
	// The records are stored before the event loop hands the webhooks to the relay: a superfluous record only costs a
	// request to the relay.
	if err := s.sites.sentLog.add(records); err != nil {
		return err
	}
	if !s.sites.loop.HandToRelay(attempts, at) {
		// Webhooks that were sent before may be at the relay and must keep their records. Without a record nobody
		// would ask the relay for the result, and the webhook would block later ones of its key until it expires.
		s.sites.sentLog.remove(unsent...)
		if len(previous) > 0 {
			_ = s.sites.sentLog.add(previous) // after an error the new record stays, and the relay is asked as well
		}
		s.needsRestart.Store(true)
		return errNotParked
	}
	s.sites.Sent.Add(int64(len(attempts)))
	return nil
}

// Requeue returns webhooks that the relay never received to the parked webhooks of this member.
func (s *siteSender) Requeue(deliveries []stream.Delivery) {
	if len(deliveries) > 0 {
		s.takeBack(deliveries, true)
		s.sites.Requeued.Add(int64(len(deliveries)))
	}
}

// takeBack returns webhooks from the relay to this member. neverReceived is set if the relay never received them.
func (s *siteSender) takeBack(deliveries []stream.Delivery, neverReceived bool) {
	taken := map[inflight.RequestID]eventloop.TakenBack{}
	for _, d := range deliveries {
		if w := s.lookup(d); w != nil {
			r, _ := s.sites.sentLog.get(w.id)
			taken[w.id] = eventloop.TakenBack{NeverReceived: neverReceived, MayHaveRun: r.MayHaveRunBefore}
		}
	}
	s.sites.loop.TakeBack(taken)
	for id := range taken {
		s.sites.sentLog.remove(id)
	}
}

// Bypass removes webhooks from the stream but leaves them parked at this member, which attempts them as soon as it may
// call the site's subscribers directly.
func (s *siteSender) Bypass(deliveries []stream.Delivery) {
	s.untrack(deliveries)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bypassed = append(s.bypassed, deliveries...)
	s.sites.Bypassed.Add(int64(len(deliveries)))
}

// DropExpired stops tracking expired webhooks. The event loop finishes those itself.
func (s *siteSender) DropExpired(expired []stream.Delivery) { s.untrack(expired) }

// ResolveInDoubt decides what happens to webhooks that an unreachable relay may have, or, if folderLost is set, that a
// relay may have run before it lost its folder. It returns the deliveries that are decided, which the stream then
// forgets.
func (s *siteSender) ResolveInDoubt(inDoubt []stream.InDoubt, folderLost bool) (forget []stream.Delivery) {
	resolutions := s.resolve(inDoubt, folderLost)
	var retried []stream.Delivery
	var deadLettered []inflight.Result
	for i, d := range inDoubt {
		if resolutions[i] == stream.ResolveWait {
			continue
		}
		forget = append(forget, d.Delivery)
		w := s.lookup(d.Delivery)
		switch {
		case w == nil:
		case resolutions[i] == stream.ResolveRetry:
			retried = append(retried, d.Delivery)
		default:
			deadLettered = append(deadLettered, inflight.Result{
				RequestID:  w.id,
				Status:     inflight.StatusDeadLettered,
				MayHaveRun: true,
			})
		}
	}
	if len(retried) > 0 {
		s.takeBack(retried, false)
	}
	if len(deadLettered) > 0 && s.sites.loop.FinishByRelay(deadLettered) {
		s.removeSentRecords(deadLettered)
	}
	if len(forget) > 0 {
		s.untrack(forget)
		slog.Warn("relay unreachable: in-doubt deliveries resolved", "site", s.site.ID, "retried", len(retried),
			"dead_lettered", len(deadLettered), "waiting", len(inDoubt)-len(forget), "folder_lost", folderLost)
		s.sites.InDoubt.Add(int64(len(forget)))
	}
	return forget
}

func (s *siteSender) resolve(inDoubt []stream.InDoubt, folderLost bool) []stream.Resolution {
	if folderLost {
		resolutions := stream.ResolveLost(inDoubt, func(d stream.InDoubt) stream.Resolution {
			return s.resolveOne(d, true)
		})
		if len(inDoubt) > 0 {
			s.needsRestart.Store(true) // the restart queues all parked webhooks again, which keeps the order within a key
		}
		return resolutions
	}
	resolutions := make([]stream.Resolution, len(inDoubt))
	gracePeriod := api.Micros(s.sites.timing.UnreachableTimeout.Microseconds())
	for i, d := range inDoubt {
		resolutions[i] = s.resolveOne(d, false)
		// The relay may only just have begun to call the destination.
		if resolutions[i] == stream.ResolveRetry && inflight.Now() < d.SentAt+gracePeriod {
			resolutions[i] = stream.ResolveWait
		}
	}
	return resolutions
}

func (s *siteSender) resolveOne(d stream.InDoubt, folderLost bool) stream.Resolution {
	w := s.lookup(d.Delivery)
	if w == nil {
		return stream.ResolveDeadLetter
	}
	return stream.Resolve(w.item, d.SentAt, s.sites.eventType(w.item.EventType), folderLost, w.item.Deadline,
		inflight.Now())
}

func (s *siteSender) removeSentRecords(results []inflight.Result) {
	for _, result := range results {
		s.sites.sentLog.remove(result.RequestID)
	}
}

// RecordResults finishes webhooks with the relay's results. It returns the deliveries that are finished, including
// those that were finished before, or nil if the results can't be stored. It also handles deliveries that the stream
// does not know, since an earlier process may have sent them.
func (s *siteSender) RecordResults(results []stream.Result) (recorded []stream.Delivery) {
	var pending map[stream.Delivery]inflight.RequestID // nil: not searched yet
	var finished []inflight.Result
	for _, result := range results {
		recorded = append(recorded, result.Delivery)
		var id inflight.RequestID
		if w := s.lookup(result.Delivery); w != nil {
			id = w.id
		} else {
			if pending == nil {
				pending = s.findPending(results)
			}
			id = pending[result.Delivery]
		}
		if id == "" {
			continue // the webhook is finished already
		}
		finished = append(finished, s.newResult(id, result))
	}
	if len(finished) > 0 && !s.sites.loop.FinishByRelay(finished) {
		return nil
	}
	s.removeSentRecords(finished)
	s.markFinished(finished)
	s.untrack(recorded)
	s.sites.Results.Add(int64(len(finished)))
	return recorded
}

func (s *siteSender) newResult(id inflight.RequestID, r stream.Result) inflight.Result {
	result := inflight.Result{RequestID: id, Status: inflight.Status(r.Outcome), RetryAfter: r.RetryAfter}
	record, sent := s.sites.sentLog.get(id)
	if sent && record.MayHaveRunBefore && result.Status == inflight.StatusRejected {
		result.Status = inflight.StatusDeadLettered // the webhook took no effect at the relay, but may have before
	}
	return result
}

// findPending returns the request ids of the deliveries that belong to a pending webhook.
func (s *siteSender) findPending(results []stream.Result) map[stream.Delivery]inflight.RequestID {
	wanted := map[stream.Delivery]bool{}
	for _, result := range results {
		wanted[result.Delivery] = true
	}
	found := map[stream.Delivery]inflight.RequestID{}
	for _, id := range s.sites.loop.PendingIDs() {
		request, _, _ := id.Subscriber()
		message := s.messageID(string(request))
		item := stream.Item{RequestID: string(request), IsAnnouncement: id != request}
		for d := range wanted {
			if d.Message == message && inflight.RequestID(item.RequestIDFor(d.Destination)) == id {
				found[d] = id
			}
		}
	}
	return found
}

// DestinationStates returns this dispatcher's states of the site's subscribers if it calls them directly. The relay
// needs them because a delay that a destination requested applies to the relay, too.
func (s *siteSender) DestinationStates() []api.DestinationState {
	if !s.direct.Load() {
		return nil
	}
	states, _ := s.sites.loop.ExportState(func(d api.DestinationID) bool { return s.sites.senderOfDestination(d) == s })
	return states
}

// ApplyDestinationStates imports the relay's states of destinations. They are used when the relay becomes unreachable.
func (s *siteSender) ApplyDestinationStates(states []api.DestinationState) {
	if !s.direct.Load() { // otherwise this member's own states are newer
		s.sites.loop.ImportState(states)
	}
}
