package custody

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// life is one of a folder's: names as a process finds them that still holds some webhooks.
func life(t *testing.T, dir string, diskMB float64, held ...inflight.RequestID) *Store {
	n, err := Open(dir, diskMB, api.Second, func(name shardmap.WebhookID) bool {
		for _, id := range held {
			if IDOf(id) == name {
				return true
			}
		}
		return false
	})
	require.NoError(t, err)
	t.Cleanup(func() { n.Close() })
	return n
}

func (n *Store) does(t *testing.T, id inflight.RequestID, do func(*shardmap.CustodyTable, shardmap.WebhookID)) {
	name := IDOf(id)
	require.NoError(t, n.Update([]shardmap.WebhookID{name}, func(k *shardmap.CustodyTable) { do(k, name) }))
}

// Guards against a webhook called by two: that it may be with another member outlasts the process, unless it
// has ended here meanwhile; and so does what was answered of it.
func TestWhatIsKnownOfNamesOutlastsTheProcess(t *testing.T) {
	dir, ttl := t.TempDir(), inflight.Now()+90*api.Second
	n := life(t, dir, 1)
	for _, id := range []inflight.RequestID{"held", "ended"} {
		n.does(t, id, func(k *shardmap.CustodyTable, name shardmap.WebhookID) {
			k.BeginOffer(name, ttl, shardmap.Offer{To: "b", Incarnation: 3})
		})
	}
	n.does(t, "asked", func(k *shardmap.CustodyTable, name shardmap.WebhookID) { k.HandleQuery(name, 4, ttl) })
	next := life(t, dir, 1, "held")
	assert.Equal(t, n.Incarnation, next.Incarnation)
	assert.True(t, next.IsInDoubt("held"))
	assert.False(t, next.IsInDoubt("ended"))
	next.does(t, "asked", func(k *shardmap.CustodyTable, name shardmap.WebhookID) {
		reply, _ := k.HandleOffer(name, 4, ttl, inflight.Now(), true)
		assert.Equal(t, shardmap.CustodyNever, reply, "a no is bound to last")
	})
	assert.NotEqual(t, n.Incarnation, life(t, t.TempDir(), 1).Incarnation, "a folder that was lost is another life's")
}

// Guards against a webhook that its sender waits for in vain, and against one told to be here that is not:
// the process ended between its record and its journal, before or after the webhook was in it.
func TestAProcessThatEndsWhileItTakesOn(t *testing.T) {
	dir, ttl := t.TempDir(), inflight.Now()+90*api.Second
	n := life(t, dir, 1)
	for _, id := range []inflight.RequestID{"in", "lost"} {
		n.does(t, id, func(k *shardmap.CustodyTable, name shardmap.WebhookID) {
			_, what := k.HandleOffer(name, 1, ttl, inflight.Now(), true)
			require.Equal(t, shardmap.OfferTaken, what)
		})
		assert.True(t, n.IsArriving(IDOf(id)))
	}
	for range 2 { // the life after the next finds the same
		n = life(t, dir, 1, "in")
		for id, want := range map[inflight.RequestID]shardmap.CustodyReply{"in": shardmap.CustodyTaken, "lost": shardmap.CustodyNever} {
			n.does(t, id, func(k *shardmap.CustodyTable, name shardmap.WebhookID) {
				reply, _ := k.HandleQuery(name, 1, ttl)
				assert.Equal(t, want, reply, id)
			})
		}
	}
}

// Guards against an answer that no record stands for: what can't be written did not happen.
func TestWhatCanNotBeWrittenIsAsBefore(t *testing.T) {
	n, ttl := life(t, t.TempDir(), 0.01), inflight.Now()+90*api.Second
	var err error
	for id := range 1000 {
		name := IDOf(inflight.RequestID(rune('a' + id)))
		err = n.Update([]shardmap.WebhookID{name}, func(k *shardmap.CustodyTable) { k.HandleOffer(name, 1, ttl, inflight.Now(), true) })
		if err != nil {
			assert.False(t, n.IsArriving(name))
			break
		}
	}
	assert.Error(t, err, "it was never full")
}
