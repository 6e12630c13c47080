package site

import (
	"log/slog"
	"slices"
	"time"

	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// finishedWebhook is an end as the decider told it.
type finishedWebhook struct {
	id api.WebhookID // in the decider's journal; 0: it was never there
	inflight.Result
}

// recordFinished is called in the decider's turn, once its journal has the end.
func (k *relayReceiver) recordFinished(id api.WebhookID, e inflight.Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finished = append(k.finished, finishedWebhook{id, e})
	k.notify()
}

// run hands in and tells ends until close.
func (k *relayReceiver) run() {
	again := time.NewTicker(inflight.Duration(inflight.AnswerTimeout / 4)) // what could not be written or handed in
	defer again.Stop()
	for {
		select {
		case <-k.closed:
			return
		case <-k.wakeup:
		case <-again.C:
		}
		k.mu.Lock()
		fresh, over := k.unsubmitted, k.finished
		k.unsubmitted, k.finished = nil, nil
		k.mu.Unlock()
		k.storeResults(over)
		k.submit(fresh)
	}
}

// submit gives to the decider what came.
func (k *relayReceiver) submit(all []*relayRecord) {
	var ws []*inflight.Webhook
	var of []*relayRecord
	for _, r := range all {
		w, err := inflight.DecodeWebhook(0, r.Webhook)
		if err != nil {
			slog.Error("relay: webhook not read", "webhook", r.RequestID, "why", err)
			k.recordFinished(0, inflight.Result{RequestID: r.RequestID, Status: inflight.StatusRejected})
			continue
		}
		w.ReceivedAt, w.OnFinished = inflight.Now(), k.recordFinished
		if r.Attempts > 0 || r.FirstAttemptAt != api.Never {
			w.Prior = &inflight.PriorAttempts{Attempts: r.Attempts, MayHaveRunAt: r.FirstAttemptAt, Zone: r.Zone}
		}
		ws, of = append(ws, w), append(of, r)
	}
	k.inbox.SubmitAll(ws, func(i int, what inflight.Answer, retryIn api.Micros) {
		switch {
		case what == inflight.Rejected && !k.isAccepting(): // told to end: it is handed in by the next life
		case what == inflight.Rejected:
			k.recordFinished(0, inflight.Result{RequestID: of[i].RequestID, Status: inflight.StatusRejected, RetryAfter: retryIn})
		case what == inflight.Duplicate: // this member has it by another way, which is settled first
			k.mu.Lock()
			k.unsubmitted = append(k.unsubmitted, of[i])
			k.mu.Unlock()
		}
	})
}

// storeResults writes ends and has their owners told.
func (k *relayReceiver) storeResults(all []finishedWebhook) {
	if len(all) == 0 {
		return
	}
	var records []*relayRecord
	var heard []api.WebhookID
	k.mu.Lock()
	for _, e := range all {
		if r := k.pending[e.RequestID]; r != nil {
			records = append(records, &relayRecord{Delivery: r.Delivery, Result: &stream.Result{Delivery: r.Delivery,
				Outcome: stream.Outcome(e.Status), RetryAfter: e.RetryAfter, Attempts: e.Attempts, MayHaveRun: e.MayHaveRun}})
		}
		if e.id != 0 {
			heard = append(heard, e.id)
		}
	}
	began := k.lastRecord
	err := k.write(records)
	if err != nil {
		slog.Error("relay: ends not written", "ends", len(records), "why", err)
		k.finished = append(all, k.finished...)
		k.mu.Unlock()
		return
	}
	for n, r := range records {
		if was, known := k.recordIDs[r.Delivery]; known {
			k.journal.Finish(was, nil)
		}
		k.recordIDs[r.Delivery] = began + 1 + api.WebhookID(n)
	}
	for _, e := range all {
		if r := k.pending[e.RequestID]; r != nil {
			delete(k.pending, e.RequestID)
			if k.pendingByDestination[r.Delivery.Destination]--; k.pendingByDestination[r.Delivery.Destination] == 0 {
				delete(k.pendingByDestination, r.Delivery.Destination)
			}
		}
	}
	k.mu.Unlock()
	k.loop.CallbacksDelivered(heard)
	for _, r := range records {
		k.receiver.RecordResult(*r.Result)
	}
}

// DestinationStates is what the relay's module knows of destinations, and of all others for which something is held: a
// wait that one tells brings no end.
func (k *relayReceiver) DestinationStates(of []api.DestinationID) []api.DestinationState {
	want := map[api.DestinationID]bool{}
	for _, d := range of {
		want[d] = true
	}
	k.mu.Lock()
	for d := range k.pendingByDestination {
		want[d] = true
	}
	k.mu.Unlock()
	all, _ := k.loop.ExportState(func(d api.DestinationID) bool { return want[d] })
	return all
}

// ApplyDestinationStates takes over what the owner knows, but of destinations that are called for here now: what is known of
// those here is newer, and the module was not made to be told of an outage that it has webhooks for.
func (k *relayReceiver) ApplyDestinationStates(all []api.DestinationState) {
	k.mu.Lock()
	all = slices.DeleteFunc(all, func(l api.DestinationState) bool { return k.pendingByDestination[l.Destination] > 0 })
	k.mu.Unlock()
	k.loop.ImportState(all)
}
