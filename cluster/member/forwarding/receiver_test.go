package forwarding

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster/member/custody"
	"rowanlink/cluster/member/peer"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

func newTestReceiver(t *testing.T) *Receiver {
	t.Helper()
	store, err := custody.Open(t.TempDir(), 1, api.Second, func(shardmap.WebhookID) bool { return false })
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, store.Close()) })
	return NewReceiver(Config{Custody: store})
}

// A query addressed to another incarnation of the custody directory is answered with CustodyStateLost. After the reply
// CustodyNeverTaken, the webhook is not accepted any more.
func TestReceiver_QueryReplyDependsOnIncarnation(t *testing.T) {
	r := newTestReceiver(t)
	id := custody.IDOf("never sent")
	var queries []peer.CustodyQuery
	for _, incarnation := range []uint64{0, r.Custody.Incarnation, r.Custody.Incarnation + 1} {
		queries = append(queries, peer.CustodyQuery{ID: id, Handoff: 3, TTLLeft: api.Second, Incarnation: incarnation})
	}
	var ctx fasthttp.RequestCtx
	ctx.Request.SetBody(transport.Encode(queries))
	r.HandleQuery(&ctx)
	var replies []shardmap.CustodyReply
	require.NoError(t, transport.Decode(ctx.Response.Body(), &replies))
	assert.Equal(t,
		[]shardmap.CustodyReply{shardmap.CustodyNeverTaken, shardmap.CustodyNeverTaken, shardmap.CustodyStateLost},
		replies)
	r.Custody.UpdateInMemory(func(table *shardmap.CustodyTable) {
		reply, _ := table.HandleOffer(id, 3, inflight.Now()+api.Second, inflight.Now(), true)
		assert.Equal(t, shardmap.CustodyNeverTaken, reply)
	})
}

// A member that has lost its custody directory accepts nothing from a transfer that is addressed to the lost directory.
func TestReceiver_RejectsTransferForOtherIncarnation(t *testing.T) {
	r := newTestReceiver(t)
	transfer := peer.Transfer{Incarnation: r.Custody.Incarnation + 1, Webhooks: make([]shardmap.TransferredWebhook, 2)}
	var ctx fasthttp.RequestCtx
	ctx.Request.SetBody(transport.Encode(transfer))
	r.HandleTransfer(&ctx)
	var reply peer.TransferReply
	require.NoError(t, transport.Decode(ctx.Response.Body(), &reply))
	assert.Equal(t, peer.TransferReply{Incarnation: r.Custody.Incarnation}, reply)
}

func TestReceiver_RejectsMessagesThatCannotBeDecoded(t *testing.T) {
	r := newTestReceiver(t)
	for name, handle := range map[string]func(*fasthttp.RequestCtx){
		"webhook":  r.HandleWebhook,
		"transfer": r.HandleTransfer,
		"query":    r.HandleQuery,
	} {
		t.Run(name, func(t *testing.T) {
			var ctx fasthttp.RequestCtx
			ctx.Request.SetBodyString("\xff")
			handle(&ctx)
			assert.Equal(t, fasthttp.StatusBadRequest, ctx.Response.StatusCode())
		})
	}
}
