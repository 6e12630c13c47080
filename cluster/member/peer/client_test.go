package peer

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

const timeout = 5 * api.Second

// startPeer starts a member "b" whose custody directory has the given incarnation. It returns a client that doesn't
// know the incarnation yet, and a channel of the incarnations that the received transfers are addressed to.
func startPeer(t *testing.T, incarnation uint64) (*Client, <-chan uint64) {
	t.Helper()
	named := make(chan uint64, 9)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := transport.NewServer(9, time.Second)
	server.Handle(TransferPath, func(ctx *fasthttp.RequestCtx) {
		var transfer Transfer
		assert.NoError(t, transport.Decode(ctx.Request.Body(), &transfer))
		named <- transfer.Incarnation
		reply := TransferReply{Incarnation: incarnation}
		if transfer.Incarnation == incarnation {
			for range transfer.Webhooks {
				reply.Outcomes = append(reply.Outcomes, Outcome{Reply: shardmap.CustodyTaken})
			}
		}
		ctx.SetBody(transport.Encode(reply))
	})
	go func() { _ = server.Serve(listener) }() // ends by Close
	connections := transport.NewClient("a", map[cluster.MemberID]string{"b": listener.Addr().String()})
	t.Cleanup(func() {
		connections.Close()
		_ = server.Close(time.Second) // nothing is in flight
	})
	return NewClient(connections), named
}

// A member that has lost its custody directory and replies with a new one doesn't know what it accepted before. The
// client must not mistake this reply for an answer to the offers addressed to the lost directory.
func TestClient_SendToNewIncarnation(t *testing.T) {
	transfer := Transfer{Webhooks: make([]shardmap.TransferredWebhook, 2)}
	client, named := startPeer(t, 7)
	result, err := client.Send("b", TransferPath, transfer, timeout, false)
	require.ErrorIs(t, err, transport.ErrNotSent)
	assert.Empty(t, result.Outcomes)
	assert.Equal(t, uint64(7), client.Incarnation("b"))
	result, err = client.Send("b", TransferPath, transfer, timeout, false)
	require.NoError(t, err)
	assert.Len(t, result.Outcomes, 2)
	assert.Equal(t, []uint64{0, 7}, []uint64{<-named, <-named})

	client, named = startPeer(t, 8)
	result, err = client.Send("b", TransferPath, transfer, timeout, true)
	require.NoError(t, err)
	assert.Equal(t, uint64(8), result.Incarnation)
	assert.Equal(t, []uint64{0, 8}, []uint64{<-named, <-named})
}

func TestClient_SendToUnknownMember(t *testing.T) {
	client, _ := startPeer(t, 7)
	_, err := client.Send("c", TransferPath, Transfer{}, timeout, true)
	require.ErrorIs(t, err, transport.ErrNotSent)
}
