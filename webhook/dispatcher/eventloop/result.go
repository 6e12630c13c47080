package eventloop

import (
	"bytes"
	"strconv"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/wal"
)

// recoveredResult is a result in the log of an earlier incarnation that another member has yet to acknowledge.
type recoveredResult struct {
	id api.WebhookID
	inflight.Result
}

// notifyResult ends a webhook whose result goes to another member in place of the platform, and returns true. For any
// other webhook it does nothing and returns false.
func (l *Loop) notifyResult(w *inflight.Webhook, status inflight.Status, retryAfter api.Micros) bool {
	if w.OnFinished == nil || l.webhooks[w.ID] != w {
		return false
	}
	result := inflight.Result{RequestID: w.RequestID, Status: status, RetryAfter: retryAfter}
	if entry := l.log.Pending(w.ID); entry != nil {
		result.Attempts = entry.Attempts
		result.MayHaveRun = entry.MayHaveRunAt != api.Never
	}
	l.log.Finish(w.ID, result.Encode())
	l.remove(w)
	l.afterCommit = append(l.afterCommit, func() { w.OnFinished(w.ID, result) })
	return true
}

// storeRecoveredResult stores an entry's callback if it is a result for another member, which must not be sent to the
// platform, and reports whether it is one.
func (l *Loop) storeRecoveredResult(e *wal.Entry) bool {
	result, ok := inflight.DecodeResult(e.Callback)
	if !ok {
		return false
	}
	if l.recoveredResults == nil {
		l.recoveredResults = map[inflight.RequestID]recoveredResult{}
	}
	l.recoveredResults[result.RequestID] = recoveredResult{e.ID, result}
	return true
}

// NotifyInsteadOfCallback has the results of an earlier incarnation's webhooks passed to onFinished instead of being
// sent as callbacks. It returns the results of those that have ended by now, and which of the others are
// pending. It waits for a turn; it may be called from any goroutine.
func (l *Loop) NotifyInsteadOfCallback(ids []inflight.RequestID, onFinished func(api.WebhookID, inflight.Result)) (
	finished map[api.WebhookID]inflight.Result, pending map[inflight.RequestID]bool) {
	wanted := toSet(ids)
	finished = map[api.WebhookID]inflight.Result{}
	pending = map[inflight.RequestID]bool{}
	l.runInTurn(func() {
		for id, w := range selectPending(l, wanted) {
			w.OnFinished = onFinished
			pending[id] = true
		}
		for id, r := range l.recoveredResults {
			if wanted[id] {
				finished[r.id] = r.Result
			} else { // the other member has acknowledged it
				l.log.CallbackDelivered(r.id)
			}
		}
		l.recoveredResults = nil
		l.reevaluate()
	})
	return finished, pending
}

// nameSubscriber replaces the request id in the callback of a broadcast's delivery by the broadcast's request id and the
// subscriber's number.
func (l *Loop) nameSubscriber(w *inflight.Webhook, line []byte) []byte {
	broadcast, subscriber, ok := w.RequestID.Subscriber()
	if l.cluster == nil || !ok {
		return line
	}
	quotedID := []byte(strconv.Quote(string(w.RequestID)))
	replacement := strconv.Quote(string(broadcast)) + `,"dest":` + strconv.FormatUint(uint64(subscriber), 10)
	return bytes.Replace(line, quotedID, []byte(replacement), 1)
}
