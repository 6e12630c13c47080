package eventloop

import (
	"log/slog"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// selectPending returns the pending webhooks among those named.
func selectPending[V any](l *Loop, named map[inflight.RequestID]V) map[inflight.RequestID]*inflight.Webhook {
	all := map[inflight.RequestID]*inflight.Webhook{}
	for id := range named {
		if w := l.webhooks[l.idOf[id]]; w != nil {
			all[id] = w
		}
	}
	return all
}

func toSet(ids []inflight.RequestID) map[inflight.RequestID]bool {
	all := map[inflight.RequestID]bool{}
	for _, id := range ids {
		all[id] = true
	}
	return all
}

// commit writes the log within a turn, and logs a failure.
func (l *Loop) commit() error {
	err := l.log.Commit()
	if err != nil {
		slog.Error("write-ahead log not written", "err", err)
	}
	return err
}

// HandToRelay records that parked webhooks are handed to a relay: until TakeBack or FinishByRelay this member makes no
// calls for them, and from `at` on each may have run. attempts holds the number of attempts that the relay is told for
// each webhook. HandToRelay returns false and changes nothing if one of them is no longer parked here, is in doubt or has
// had another attempt meanwhile, or if the log can't be written. It waits for a turn; it may be called from any goroutine.
func (l *Loop) HandToRelay(attempts map[inflight.RequestID]int, at api.Micros) (ok bool) {
	l.runInTurn(func() { ok = l.handToRelay(attempts, at) })
	return ok
}

func (l *Loop) handToRelay(attempts map[inflight.RequestID]int, at api.Micros) bool {
	webhooks := selectPending(l, attempts)
	if len(webhooks) < len(attempts) {
		return false
	}
	hadRun := map[inflight.RequestID]bool{}
	for id, w := range webhooks {
		entry := l.log.Pending(w.ID)
		if entry == nil || l.parked[w.ID] == nil || w.InDoubt || entry.Attempts != attempts[id] {
			return false
		}
		hadRun[id] = entry.MayHaveRunAt != api.Never
	}
	for id, w := range webhooks {
		w.InDoubt = true
		w.AtRelay = true
		entry, since := l.log.Pending(w.ID), at
		if hadRun[id] {
			since = entry.MayHaveRunAt
		}
		// The handover counts as an attempt: for a webhook without attempts the policy doesn't check whether it may have
		// run.
		l.log.SetPriorAttempts(w.ID, entry.Attempts+1, since, entry.Zone)
	}
	if l.commit() != nil {
		for id, w := range webhooks {
			l.clearInDoubt(w, TakenBack{NeverReceived: true, MayHaveRun: hadRun[id]})
		}
		return false
	}
	return true
}

// TakenBack is what is known of a webhook that is taken back from a relay.
type TakenBack struct {
	NeverReceived bool // the relay never accepted it, and never will
	MayHaveRun    bool // before it was handed to the relay
}

// clearInDoubt returns a webhook from the relay to this member. If the relay never received it, the attempt that
// HandToRelay counted is subtracted again.
func (l *Loop) clearInDoubt(w *inflight.Webhook, back TakenBack) {
	w.InDoubt = false
	w.AtRelay = false
	entry := l.log.Pending(w.ID)
	if entry == nil || !back.NeverReceived || entry.MayHaveRunAt == api.Never {
		return
	}
	if back.MayHaveRun {
		l.log.SetPriorAttempts(w.ID, entry.Attempts-1, entry.MayHaveRunAt, entry.Zone)
	} else {
		l.log.SetPriorAttempts(w.ID, entry.Attempts-1, api.Never, 0)
	}
}

// TakeBack takes webhooks back from a relay. It waits for a turn; it may be called from any goroutine.
func (l *Loop) TakeBack(all map[inflight.RequestID]TakenBack) {
	l.runInTurn(func() {
		for id, w := range selectPending(l, all) {
			if w.InDoubt && l.parked[w.ID] != nil {
				l.clearInDoubt(w, all[id])
			}
		}
		l.reevaluate()
	})
}

// RestoreAtRelay marks webhooks that an earlier incarnation handed to a relay, before this member makes calls for them. It
// waits for a turn; it may be called from any goroutine.
func (l *Loop) RestoreAtRelay(ids []inflight.RequestID) {
	atRelay := toSet(ids)
	l.runInTurn(func() {
		for _, w := range selectPending(l, atRelay) {
			w.InDoubt = true
			w.AtRelay = true
			if l.parked[w.ID] == nil {
				l.policy.Withdraw(w.ID)
				l.park(w)
			}
		}
	})
}

// awaitsRelay reports whether a webhook must still wait for a relay's result, and schedules its expiry for the end of that
// wait. The relay ends the webhook by its deadline, and its result may arrive up to AnswerTimeout later: if this member
// ended the webhook at the deadline, it could get two results.
func (l *Loop) awaitsRelay(w *inflight.Webhook) bool {
	until := w.Deadline + inflight.AnswerTimeout
	if !w.AtRelay || l.now >= until {
		return false
	}
	l.timers.Add(int64(until), func() { l.expireParked(w.ID) })
	return true
}

// FinishByRelay ends webhooks with a relay's results, and reports whether the log is written. Webhooks that are no longer
// pending are skipped: they have ended. A webhook that was taken back, since the relay was unreachable, is ended only by a
// delivery, and not while it is in a call. It waits for a turn; it may be called from any goroutine.
func (l *Loop) FinishByRelay(results []inflight.Result) (written bool) {
	byID := map[inflight.RequestID]inflight.Result{}
	for _, r := range results {
		byID[r.RequestID] = r
	}
	l.runInTurn(func() {
		for id, w := range selectPending(l, byID) {
			result := byID[id]
			if l.inFlight[w.ID] || !w.InDoubt && result.Status != inflight.StatusDelivered {
				continue
			}
			l.finishByRelay(w, result)
		}
		written = l.commit() == nil
		l.reevaluate()
	})
	return written
}

func (l *Loop) finishByRelay(w *inflight.Webhook, result inflight.Result) {
	if l.parked[w.ID] == nil {
		l.policy.Withdraw(w.ID)
	}
	l.unpark(w.ID)
	w.Trace("finished_elsewhere", 0, api.Micros(result.Status))
	switch result.Status {
	case inflight.StatusDelivered:
		l.log.Finish(w.ID, nil)
		l.remove(w)
	case inflight.StatusRejected:
		l.Reject(w.ID, result.RetryAfter)
	default:
		l.DeadLetter(w.ID)
	}
}
