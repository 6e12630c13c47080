package site

import (
	"log/slog"
	"slices"
	"time"

	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// finishedWebhook is the result of a webhook that the local dispatcher has finished or rejected.
type finishedWebhook struct {
	id api.WebhookID // in the dispatcher's journal; 0: the journal never had it
	inflight.Result
}

// recordFinished queues a result for storage by run. The event loop calls it when the dispatcher's journal has the
// result.
func (r *relayReceiver) recordFinished(id api.WebhookID, result inflight.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = append(r.finished, finishedWebhook{id: id, Result: result})
	r.notify()
}

// run submits webhooks and stores results until close is called.
func (r *relayReceiver) run() {
	retry := time.NewTicker((inflight.AnswerTimeout / 4).Duration()) // retries what could not be stored or submitted
	defer retry.Stop()
	for {
		select {
		case <-r.closed:
			return
		case <-r.wakeup:
		case <-retry.C:
		}
		r.mu.Lock()
		unsubmitted := r.unsubmitted
		finished := r.finished
		r.unsubmitted = nil
		r.finished = nil
		r.mu.Unlock()
		r.storeResults(finished)
		r.submit(unsubmitted)
	}
}

// submit submits the webhooks of the records to the local dispatcher.
func (r *relayReceiver) submit(unsubmitted []*relayRecord) {
	var webhooks []*inflight.Webhook
	var records []*relayRecord
	for _, record := range unsubmitted {
		w, err := inflight.DecodeWebhook(0, record.Webhook)
		if err != nil {
			slog.Error("relay: webhook can't be decoded", "webhook", record.RequestID, "error", err)
			r.recordFinished(0, inflight.Result{RequestID: record.RequestID, Status: inflight.StatusRejected})
			continue
		}
		w.ReceivedAt = inflight.Now()
		w.OnFinished = r.recordFinished
		if record.Attempts > 0 || record.FirstAttemptAt != api.Never {
			w.Prior = &inflight.PriorAttempts{
				Attempts:     record.Attempts,
				MayHaveRunAt: record.FirstAttemptAt,
				Zone:         record.Zone,
			}
		}
		webhooks = append(webhooks, w)
		records = append(records, record)
	}
	r.inbox.SubmitAll(webhooks, func(i int, answer inflight.Answer, retryAfter api.Micros) {
		r.handleAnswer(records[i], answer, retryAfter)
	})
}

func (r *relayReceiver) handleAnswer(record *relayRecord, answer inflight.Answer, retryAfter api.Micros) {
	switch answer {
	case inflight.Rejected:
		if !r.isAccepting() { // this member is shutting down; the next process submits the webhook
			return
		}
		r.recordFinished(0, inflight.Result{
			RequestID:  record.RequestID,
			Status:     inflight.StatusRejected,
			RetryAfter: retryAfter,
		})
	case inflight.Duplicate: // this member has the webhook from another source and finishes that one first
		r.mu.Lock()
		r.unsubmitted = append(r.unsubmitted, record)
		r.mu.Unlock()
	}
}

// storeResults stores results and passes them to the relay.Receiver, which reports them to their origins.
func (r *relayReceiver) storeResults(finished []finishedWebhook) {
	if len(finished) == 0 {
		return
	}
	var records []*relayRecord
	var dispatcherIDs []api.WebhookID
	r.mu.Lock()
	for _, f := range finished {
		if pending := r.pending[f.RequestID]; pending != nil {
			records = append(records, newResultRecord(pending.Delivery, f.Result))
		}
		if f.id != 0 {
			dispatcherIDs = append(dispatcherIDs, f.id)
		}
	}
	first, err := r.write(records)
	if err != nil {
		slog.Error("relay: results not stored", "count", len(records), "error", err)
		r.finished = append(finished, r.finished...)
		r.mu.Unlock()
		return
	}
	for n, record := range records {
		if replaced, known := r.recordIDs[record.Delivery]; known {
			r.journal.Finish(replaced, nil)
		}
		r.recordIDs[record.Delivery] = first + api.WebhookID(n)
	}
	for _, f := range finished {
		if pending := r.pending[f.RequestID]; pending != nil {
			r.removePending(pending)
		}
	}
	r.mu.Unlock()
	r.loop.CallbacksDelivered(dispatcherIDs)
	for _, record := range records {
		r.receiver.RecordResult(*record.Result)
	}
}

func newResultRecord(d stream.Delivery, result inflight.Result) *relayRecord {
	return &relayRecord{
		Delivery: d,
		Result: &stream.Result{
			Delivery:   d,
			Outcome:    stream.Outcome(result.Status),
			RetryAfter: result.RetryAfter,
			Attempts:   result.Attempts,
			MayHaveRun: result.MayHaveRun,
		},
	}
}

// DestinationStates returns the policy's states of the given destinations and of all destinations with pending
// deliveries. The latter are included because a delay that a destination requested produces no result that would inform
// the origin.
func (r *relayReceiver) DestinationStates(of []api.DestinationID) []api.DestinationState {
	wanted := map[api.DestinationID]bool{}
	for _, d := range of {
		wanted[d] = true
	}
	r.mu.Lock()
	for d := range r.pendingByDestination {
		wanted[d] = true
	}
	r.mu.Unlock()
	states, _ := r.loop.ExportState(func(d api.DestinationID) bool { return wanted[d] })
	return states
}

// ApplyDestinationStates imports the origin's states of destinations. It skips destinations with pending deliveries:
// this member's state of those is newer, and the policy assumes that it has no webhooks for a destination whose outage
// it imports.
func (r *relayReceiver) ApplyDestinationStates(states []api.DestinationState) {
	r.mu.Lock()
	states = slices.DeleteFunc(states, func(s api.DestinationState) bool {
		return r.pendingByDestination[s.Destination] > 0
	})
	r.mu.Unlock()
	r.loop.ImportState(states)
}
