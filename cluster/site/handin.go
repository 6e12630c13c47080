package site

import (
	"log/slog"
	"slices"
	"time"

	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// over is an end as the decider told it.
type over struct {
	id api.WebhookID // in the decider's journal; 0: it was never there
	inflight.Result
}

// ends is called in the decider's turn, once its journal has the end.
func (k *desk) ends(id api.WebhookID, e inflight.Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.over = append(k.over, over{id, e})
	k.ring()
}

// run hands in and tells ends until close.
func (k *desk) run() {
	again := time.NewTicker(inflight.Duration(inflight.AnswerTimeout / 4)) // what could not be written or handed in
	defer again.Stop()
	for {
		select {
		case <-k.ended:
			return
		case <-k.bell:
		case <-again.C:
		}
		k.mu.Lock()
		fresh, over := k.fresh, k.over
		k.fresh, k.over = nil, nil
		k.mu.Unlock()
		k.tells(over)
		k.handsIn(fresh)
	}
}

// handsIn gives to the decider what came.
func (k *desk) handsIn(all []*record) {
	var ws []*inflight.Webhook
	var of []*record
	for _, r := range all {
		w, err := inflight.DecodeWebhook(0, r.Whole)
		if err != nil {
			slog.Error("relay: webhook not read", "webhook", r.Request, "why", err)
			k.ends(0, inflight.Result{RequestID: r.Request, Status: inflight.StatusRejected})
			continue
		}
		w.ReceivedAt, w.OnFinished = inflight.Now(), k.ends
		if r.Attempts > 0 || r.MayRun != api.Never {
			w.Prior = &inflight.PriorAttempts{Attempts: r.Attempts, MayHaveRunAt: r.MayRun, Zone: r.Zone}
		}
		ws, of = append(ws, w), append(of, r)
	}
	k.x.SubmitAll(ws, func(i int, what inflight.Answer, retryIn api.Micros) {
		switch {
		case what == inflight.Rejected && !k.takes(): // told to end: it is handed in by the next life
		case what == inflight.Rejected:
			k.ends(0, inflight.Result{RequestID: of[i].Request, Status: inflight.StatusRejected, RetryAfter: retryIn})
		case what == inflight.Duplicate: // this member has it by another way, which is settled first
			k.mu.Lock()
			k.fresh = append(k.fresh, of[i])
			k.mu.Unlock()
		}
	})
}

// tells writes ends and has their owners told.
func (k *desk) tells(all []over) {
	if len(all) == 0 {
		return
	}
	var records []*record
	var heard []api.WebhookID
	k.mu.Lock()
	for _, e := range all {
		if r := k.ids[e.RequestID]; r != nil {
			records = append(records, &record{Delivery: r.Delivery, End: &stream.Result{Delivery: r.Delivery,
				Outcome: stream.Outcome(e.Status), RetryAfter: e.RetryAfter, Attempts: e.Attempts, MayHaveRun: e.MayHaveRun}})
		}
		if e.id != 0 {
			heard = append(heard, e.id)
		}
	}
	began := k.last
	err := k.write(records)
	if err != nil {
		slog.Error("relay: ends not written", "ends", len(records), "why", err)
		k.over = append(all, k.over...)
		k.mu.Unlock()
		return
	}
	for n, r := range records {
		if was, known := k.of[r.Delivery]; known {
			k.kept.Finish(was, nil)
		}
		k.of[r.Delivery] = began + 1 + api.WebhookID(n)
	}
	for _, e := range all {
		if r := k.ids[e.RequestID]; r != nil {
			delete(k.ids, e.RequestID)
			if k.tos[r.Delivery.Destination]--; k.tos[r.Delivery.Destination] == 0 {
				delete(k.tos, r.Delivery.Destination)
			}
		}
	}
	k.mu.Unlock()
	k.decider.CallbacksDelivered(heard)
	for _, r := range records {
		k.relay.RecordResult(*r.End)
	}
}

// DestinationStates is what the relay's module knows of destinations, and of all others for which something is held: a
// wait that one tells brings no end.
func (k *desk) DestinationStates(of []api.DestinationID) []api.DestinationState {
	want := map[api.DestinationID]bool{}
	for _, d := range of {
		want[d] = true
	}
	k.mu.Lock()
	for d := range k.tos {
		want[d] = true
	}
	k.mu.Unlock()
	all, _ := k.decider.ExportState(func(d api.DestinationID) bool { return want[d] })
	return all
}

// ApplyDestinationStates takes over what the owner knows, but of destinations that are called for here now: what is known of
// those here is newer, and the module was not made to be told of an outage that it has webhooks for.
func (k *desk) ApplyDestinationStates(all []api.DestinationState) {
	k.mu.Lock()
	all = slices.DeleteFunc(all, func(l api.DestinationState) bool { return k.tos[l.Destination] > 0 })
	k.mu.Unlock()
	k.decider.ImportState(all)
}
