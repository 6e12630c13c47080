package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

var fuzzStart = time.Unix(1_000_000, 0)

// newFuzzMember returns a ready core member.
func newFuzzMember(name, zone string) state.Member {
	return state.Member{Name: name, Incarnation: 5, Sequence: 1, Role: state.RoleCore, Zone: zone, Region: "r",
		Address: name + ":1", State: state.MemberReady}
}

// newFuzzNode returns the node of a member that knows three other members.
func newFuzzNode() *node {
	log := zerolog.Nop()
	n := newNode(fuzzStart, nodeOptions{self: newFuzzMember("self", "z1"), random: rand.New(rand.NewPCG(1, 1)), log: &log})
	n.step(fuzzStart, func() {
		for _, member := range []state.Member{newFuzzMember("b", "z1"), newFuzzMember("c", "z2"), newFuzzMember("d", "z3")} {
			entry, err := memberEntry(member)
			if err != nil {
				panic(err)
			}
			n.engine.Receive(fuzzStart, gossip.Message{From: "b", Entries: []gossip.Entry{entry}})
		}
	})
	return n
}

// requireStableEncoding checks that a decoded message stays the same when it is encoded and decoded again.
func requireStableEncoding[Message any](t *testing.T, message *Message) {
	t.Helper()
	written, err := cbor.Marshal(message)
	require.NoError(t, err)
	var decoded Message
	require.NoError(t, cbor.Unmarshal(written, &decoded))
	rewritten, err := cbor.Marshal(decoded)
	require.NoError(t, err)
	assert.Equal(t, written, rewritten)
}

// handleDecoded decodes the data as a message of the type and, if that succeeds, passes the message to the handler.
func handleDecoded[Message any](t *testing.T, data []byte, handle func(*Message)) {
	var message Message
	if cbor.Unmarshal(data, &message) != nil {
		return
	}
	requireStableEncoding(t, &message)
	handle(&message)
}

// requireWorkingNode checks that the node still works: its own entry is unchanged, ticks and the messages that it sends work,
// and the checksums of its tables match their entries, so that a member that has received all of them has equal checksums.
func requireWorkingNode(t *testing.T, n *node) {
	self := n.members.Self()
	assert.Equal(t, "self", self.Name)
	assert.Equal(t, "z1", self.Zone)
	_, known := n.members.Member("self")
	assert.True(t, known)
	other := gossip.New(gossip.Options{Name: "x", Zone: "z1", Region: "r", IsTombstone: isTombstone,
		Random: rand.New(rand.NewPCG(2, 2))})
	var all []gossip.Entry
	for table := gossip.TableRecord; table.IsValid(); table++ {
		n.engine.All(table, func(entry gossip.Entry) bool { all = append(all, entry); return true })
	}
	other.Receive(fuzzStart, gossip.Message{From: "self", Entries: all})
	assert.Empty(t, other.DifferingTables(n.engine.Summary()))
	for step := range 5 {
		now := fuzzStart.Add(time.Duration(step) * time.Second)
		n.step(now, func() { n.members.Tick(now) })
		for _, envelope := range n.engine.TakeOutgoing(now) {
			_, err := cbor.Marshal(envelope.Message)
			assert.NoError(t, err)
		}
		_, _ = n.engine.TakeDueRepair(now)
	}
	n.acquireRole(fuzzStart, "repair", singleton.Scope{Role: state.RoleCore})
}

// FuzzMessages checks that the node still works after any message or response that another member may send.
func FuzzMessages(f *testing.F) {
	entry, err := memberEntry(newFuzzMember("e", "z2"))
	require.NoError(f, err)
	heartbeat := membership.Heartbeat{Name: "b", Incarnation: 5, Sequence: 2}
	header := entry.Header()
	digest := gossip.TableDigest{Table: gossip.TableMembers, Sums: make([]uint32, gossip.BucketCount)}
	for _, message := range []any{
		heartbeatRequest{Heartbeat: heartbeat, Summary: gossip.Summary{1, 2, 3, 4, 5}},
		gossip.Message{From: "b", Entries: []gossip.Entry{entry}, Offers: []gossip.Header{header}, Relay: []string{"z9"}},
		compareRequest{Heartbeat: heartbeat, Digests: []gossip.TableDigest{digest}},
		transferRequest{
			From:    "b",
			Entries: []gossip.Entry{entry},
			Missing: []gossip.Header{header},
			Ack:     membership.HeartbeatAck{RefuteAbove: 9},
		},
		heartbeatResponse{Ack: membership.HeartbeatAck{Unknown: true}, DifferingTables: []gossip.TableID{0, 2, 200}},
		compareResponse{Buckets: []gossip.BucketContents{{Table: 2, Bucket: -1, Headers: []gossip.Header{header}}}},
		pushResponse{Missing: []gossip.Header{{Table: 99, Key: "x"}}},
	} {
		data, err := cbor.Marshal(message)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n := newFuzzNode()
		handleDecoded(t, data, func(m *heartbeatRequest) { n.handleHeartbeat(fuzzStart, m) })
		handleDecoded(t, data, func(m *gossip.Message) { n.handlePush(fuzzStart, *m) })
		handleDecoded(t, data, func(m *compareRequest) { n.handleCompare(fuzzStart, m) })
		handleDecoded(t, data, func(m *transferRequest) { n.handleTransfer(fuzzStart, m) })
		handleDecoded(t, data, func(m *heartbeatResponse) { n.processHeartbeatResponse(fuzzStart, "b", m) })
		handleDecoded(t, data, func(m *compareResponse) { n.processCompareResponse(fuzzStart, "b", m) })
		handleDecoded(t, data, func(m *transferResponse) { n.processTransferResponse(fuzzStart, "b", m) })
		handleDecoded(t, data, func(m *pushResponse) { n.engine.CollectEntries(m.Missing) })
		requireWorkingNode(t, n)
	})
}

// FuzzEntries checks that the node still works after it has received any entry of any table.
func FuzzEntries(f *testing.F) {
	member, err := memberEntry(newFuzzMember("e", "z2"))
	require.NoError(f, err)
	self, err := memberEntry(newFuzzMember("self", "z9"))
	require.NoError(f, err)
	suspicion, err := suspicionEntry(membership.Suspicion{Member: "c", Watcher: "self", Revision: 3})
	require.NoError(f, err)
	claim, err := claimEntry(singleton.Claim{Role: "repair", Holder: "nobody", Epoch: 1 << 40})
	require.NoError(f, err)
	for _, entry := range []gossip.Entry{member, self, suspicion, claim} {
		f.Add(uint8(entry.Table), entry.Key, entry.Version.Major, entry.Version.Minor, entry.Value)
	}
	f.Add(uint8(gossip.TableEndpoints), "e", uint64(1), uint64(8), []byte{0xa1, 7, 2})
	f.Fuzz(func(t *testing.T, table uint8, key string, major, minor uint64, value []byte) {
		n := newFuzzNode()
		entry := gossip.Entry{Table: gossip.TableID(table), Key: key, Version: gossip.NewVersion(major, minor), Value: value}
		n.handlePush(fuzzStart, gossip.Message{From: "b", Entries: []gossip.Entry{entry}})
		got, known := n.engine.Get(gossip.TableMembers, "self")
		require.True(t, known)
		requireStableEncoding(t, &got)
		requireWorkingNode(t, n)
	})
}
