package stream

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestResolve(t *testing.T) {
	const last, at = 100 * api.Second, api.Second
	idempotent, atMostOnce := api.EventType{}, api.EventType{Semantics: api.AtMostOnce}
	deduplicated := api.EventType{Semantics: api.Deduplicated, DedupWindow: 10 * api.Second}
	dedupByZone := deduplicated
	dedupByZone.DedupByZone = true
	plain, ordered, attempted := newItem(1, 0, 3), newItem(1, 7, 3), newItem(1, 0, 3)
	attempted.FirstAttemptAt = 0
	for _, c := range []struct {
		item      *Item
		eventType api.EventType
		lost      bool
		now       api.Micros
		want      Resolution
		reason    string
	}{
		{&plain, idempotent, false, 2 * at, ResolveRetry, "may run again"},
		{&plain, idempotent, false, last, ResolveDeadLetter, "late"},
		{&ordered, idempotent, false, 2 * at, ResolveWait, "the relay could run it after later ones of its key"},
		{&ordered, idempotent, true, 2 * at, ResolveRetry, "it can't run at the relay any more"},
		{&plain, atMostOnce, false, 2 * at, ResolveWait, "may have run"},
		{&plain, atMostOnce, true, 2 * at, ResolveDeadLetter, "may have run, and its result is lost"},
		{&plain, deduplicated, false, 2 * at, ResolveRetry, "inside the token's window"},
		{&plain, deduplicated, false, 11 * at, ResolveWait, "outside"},
		{&plain, deduplicated, true, 11 * at, ResolveDeadLetter, "outside, and its result is lost"},
		{&attempted, deduplicated, false, 10 * at, ResolveWait, "the window begins with the first attempt"},
		{&plain, dedupByZone, false, 2 * at, ResolveWait, "it is unknown which zone remembers the token"},
	} {
		assert.Equal(t, c.want, Resolve(c.item, at, c.eventType, c.lost, last, c.now), c.reason)
	}
}

func TestResolveLost_OrderedRetriesOnlyIfLaterOnesDo(t *testing.T) {
	lost := []InDoubt{
		{Delivery: deliveryTo(1, 3), Key: 7},
		{Delivery: deliveryTo(2, 3), Key: 7},
		{Delivery: deliveryTo(3, 3)},
		{Delivery: deliveryTo(4, 4), Key: 7},
		{Delivery: deliveryTo(5, 3), Key: 7},
	}
	got := ResolveLost(lost, func(u InDoubt) Resolution {
		if u.Message.Number == 2 {
			return ResolveDeadLetter
		}
		return ResolveRetry
	})
	assert.Equal(t, []Resolution{ResolveDeadLetter, ResolveDeadLetter, ResolveRetry, ResolveRetry, ResolveRetry}, got)
}

func TestActionForResult(t *testing.T) {
	assert.Equal(t, FinishDelivery, ActionForResult(Result{Outcome: Rejected}, LocationRelay, false))
	assert.Equal(t, IgnoreResult, ActionForResult(Result{Outcome: Rejected}, LocationLocal, false))
	assert.Equal(t, WithdrawDelivery, ActionForResult(Result{Outcome: Delivered}, LocationLocal, false))
	assert.Equal(t, IgnoreResult, ActionForResult(Result{Outcome: Delivered}, 0, true))
	assert.Equal(t, WithdrawDelivery, ActionForResult(Result{Outcome: DeadLettered}, LocationLocal, true),
		"later ones of its key may have run since")
}
