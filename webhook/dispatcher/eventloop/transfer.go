package eventloop

import (
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// RecoveredIDs returns the request ids of the webhooks that an earlier incarnation left pending; before Begin only.
func (l *Loop) RecoveredIDs() (all []inflight.RequestID) {
	for _, e := range l.log.Entries() {
		w, err := inflight.DecodeWebhook(e.ID, e.Payload)
		if err == nil && !e.Finished {
			all = append(all, w.RequestID)
		}
	}
	return all
}

// PendingIDs returns the request ids of all pending webhooks. It waits for a turn; it may be called from any goroutine.
func (l *Loop) PendingIDs() (all []inflight.RequestID) {
	l.runInTurn(func() {
		for _, w := range l.webhooks {
			all = append(all, w.RequestID)
		}
	})
	return all
}

// MarkInDoubt marks those of the webhooks that are still parked here as in doubt, before they are offered to another
// member: this member makes no calls for them until the doubt is resolved. It returns the marked webhooks; the value is
// true where the webhook was not in doubt before. It waits for a turn; it may be called from any goroutine.
func (l *Loop) MarkInDoubt(ids []api.WebhookID) map[api.WebhookID]bool {
	marked := map[api.WebhookID]bool{}
	l.runInTurn(func() {
		for _, id := range ids {
			if w := l.parked[id]; w != nil && l.unanswered[id] == nil {
				marked[id] = !w.InDoubt
				w.InDoubt = true
			}
		}
	})
	return marked
}

// FinishTransferred ends webhooks that another member has in its log: this member does nothing more for them. It waits for
// the write of the turn's decisions; it may be called from any goroutine.
func (l *Loop) FinishTransferred(ids []api.WebhookID) {
	l.runAndCommit(func() {
		for _, id := range ids {
			if w := l.parked[id]; w != nil {
				l.unpark(id)
				w.Trace("transferred", 0, 0)
				l.log.Finish(id, nil)
				l.remove(w)
			}
		}
	}, func() {})
}

// ResolveInDoubt resolves the doubt about webhooks that no other member has: this member may call for them again. It may
// be called from any goroutine.
func (l *Loop) ResolveInDoubt(ids []inflight.RequestID) {
	if len(ids) == 0 {
		return
	}
	l.inbox.Post(func() {
		for _, id := range ids {
			if w := l.parked[l.idOf[id]]; w != nil && w.InDoubt {
				w.InDoubt = false
				l.resumeParked(w.ID)
			}
		}
	})
}

// DeadLetterInDoubt ends a webhook that is in doubt and will not be resolved: it may have run. It may be called from any
// goroutine.
func (l *Loop) DeadLetterInDoubt(id api.WebhookID) {
	l.inbox.Post(func() {
		if w := l.parked[id]; w != nil && w.InDoubt {
			l.unpark(id)
			l.DeadLetter(id)
		}
	})
}

// MergePriorAttempts merges the attempts that another member made for webhooks in doubt with those known here, and reports
// whether the result is written to the log: only then may ResolveInDoubt follow. Webhooks that are no longer pending are
// skipped. It waits for the write; it may be called from any goroutine.
func (l *Loop) MergePriorAttempts(all map[inflight.RequestID]*inflight.PriorAttempts) (written bool) {
	l.runAndCommit(func() {
		for requestID, prior := range all {
			l.mergePriorAttempts(l.idOf[requestID], prior)
		}
	}, func() { written = !l.commitFailed })
	return written
}

func (l *Loop) mergePriorAttempts(id api.WebhookID, prior *inflight.PriorAttempts) {
	entry := l.log.Pending(id)
	if entry == nil || l.parked[id] == nil {
		return
	}
	mayHaveRunAt, zone := prior.MayHaveRunAt, prior.Zone
	earlierHere := entry.MayHaveRunAt != api.Never && entry.MayHaveRunAt < mayHaveRunAt
	if mayHaveRunAt == api.Never || earlierHere {
		mayHaveRunAt, zone = entry.MayHaveRunAt, entry.Zone
	}
	l.log.SetPriorAttempts(id, max(prior.Attempts, entry.Attempts), mayHaveRunAt, zone)
}
