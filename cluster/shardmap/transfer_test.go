package shardmap

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rowanlink/webhook/api"
)

func TestTransferredWebhook_ClockShiftAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := TransferredWebhook{Deadline: drawMicros(t, "ttl"), FirstRunAt: 5}
		if rapid.Bool().Draw(t, "never ran") {
			c.FirstRunAt = api.Never
		}
		by := drawMicros(t, "by")
		assert.Equal(t, c, c.WithClockShift(by).WithClockShift(-by))
		assert.Equal(t, c.FirstRunAt == api.Never, c.WithClockShift(by).FirstRunAt == api.Never)
		assert.Equal(t, by, c.WithClockShift(by).Deadline-c.Deadline)

		var all []TransferredWebhook
		for i, at := range rapid.SliceOf(rapid.Uint64Range(0, 9)).Draw(t, "taken") {
			all = append(all, TransferredWebhook{AcceptOrder: at, Attempts: i})
		}
		SortByAcceptOrder(all)
		assert.True(t, slices.IsSortedFunc(all, func(a, b TransferredWebhook) int {
			return cmp.Or(cmp.Compare(a.AcceptOrder, b.AcceptOrder), cmp.Compare(a.Attempts, b.Attempts))
		}))
	})
}

func TestTransferredWebhook_DecideTransferFollowsDeliverySemantics(t *testing.T) {
	atMostOnce, deduplicated := api.EventType{Semantics: api.AtMostOnce}, api.EventType{Semantics: api.Deduplicated,
		DedupWindow: 10}
	c := TransferredWebhook{Deadline: 100, FirstRunAt: api.Never}
	ran := c
	ran.FirstRunAt = 20
	assert.Equal(t, TransferWebhook, c.DecideTransfer(atMostOnce, 5, 3, 20))
	assert.Equal(t, RejectWebhook, c.DecideTransfer(atMostOnce, 5, 3, 95), "too late, and never ran")
	assert.Equal(t, DeadLetterWebhook, ran.DecideTransfer(atMostOnce, 5, 3, 21))
	assert.Equal(t, TransferWebhook, ran.DecideTransfer(deduplicated, 5, 3, 24))
	assert.Equal(t, DeadLetterWebhook, ran.DecideTransfer(deduplicated, 5, 3, 25), "its window is over by then")
	ran.Attempts = 3
	assert.Equal(t, DeadLetterWebhook, ran.DecideTransfer(deduplicated, 5, 3, 21))
	assert.Equal(t, TransferWebhook, TransferredWebhook{Deadline: 100, FirstRunAt: 1}.DecideTransfer(api.EventType{}, 5, 3, 50))
}
