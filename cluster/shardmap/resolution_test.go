package shardmap

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestOffer_ResolveFollowsDeliverySemantics(t *testing.T) {
	const window, last = api.Micros(50), api.Micros(200)
	once, idem := api.EventType{Semantics: api.AtMostOnce}, api.EventType{Semantics: api.Idempotent}
	token := api.EventType{Semantics: api.Deduplicated, DedupWindow: window}
	zoned := token
	zoned.DedupByZone = true
	for name, s := range map[string]struct {
		t     api.EventType
		reply CustodyReply
		ended bool
		now   api.Micros
		want  Resolution
	}{
		"taken":                            {once, CustodyTaken, false, 300, DropCopy},
		"never":                            {once, CustodyNeverTaken, false, 300, KeepCopy},
		"unknown":                          {idem, CustodyUnknown, false, 110, StayInDoubt},
		"unknown, right ended":             {idem, CustodyUnknown, true, 110, ForkCopy},
		"unknown, at most once":            {once, CustodyUnknown, true, 110, StayInDoubt},
		"unknown, deduplicated":            {token, CustodyUnknown, true, 110, StayInDoubt},
		"rejected, right ended":            {idem, CustodyRejected, true, 110, ForkCopy},
		"expired":                          {idem, CustodyUnknown, false, last, DeadLetterCopy},
		"state lost":                       {idem, CustodyStateLost, false, 110, ForkCopy},
		"state lost, at most once":         {once, CustodyStateLost, false, 110, DeadLetterCopy},
		"state lost, deduplicated":         {token, CustodyStateLost, false, 149, ForkCopy},
		"state lost, window over":          {token, CustodyStateLost, false, 150, DeadLetterCopy},
		"state lost, deduplicated by zone": {zoned, CustodyStateLost, false, 110, DeadLetterCopy},
	} {
		t.Run(name, func(t *testing.T) {
			o := Offer{To: "b", SentAt: 100}
			assert.Equal(t, s.want, o.Resolve(s.reply, s.ended, s.t, api.Never, last, s.now))
		})
	}
	ran := Offer{SentAt: 100}.Resolve(CustodyStateLost, false, token, 60, last, 110)
	assert.Equal(t, DeadLetterCopy, ran, "it ran before it was sent")
}
