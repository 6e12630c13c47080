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

// fuzzMember is a member's word on itself.
func fuzzMember(name, zone string) state.Member {
	return state.Member{Name: name, Incarnation: 5, Sequence: 1, Role: state.RoleCore, Zone: zone, Region: "r",
		Address: name + ":1", State: state.MemberReady}
}

// fuzzNode is a member that knows three others.
func fuzzNode() *node {
	log := zerolog.Nop()
	n := newNode(fuzzStart, nodeOptions{self: fuzzMember("self", "z1"), random: rand.New(rand.NewPCG(1, 1)), log: &log})
	n.step(fuzzStart, func() {
		for _, member := range []state.Member{fuzzMember("b", "z1"), fuzzMember("c", "z2"), fuzzMember("d", "z3")} {
			entry, err := memberEntry(member)
			if err != nil {
				panic(err)
			}
			n.engine.Receive(fuzzStart, gossip.Message{From: "b", Entries: []gossip.Entry{entry}})
		}
	})
	return n
}

// stable checks that a message that was read means the same when it is written and read again.
func stable[Message any](t *testing.T, read *Message) {
	t.Helper()
	written, err := cbor.Marshal(read)
	require.NoError(t, err)
	var again Message
	require.NoError(t, cbor.Unmarshal(written, &again))
	rewritten, err := cbor.Marshal(again)
	require.NoError(t, err)
	assert.Equal(t, written, rewritten)
}

// take reads a message of the type and, where that works, has the node answer it.
func take[Message any](t *testing.T, data []byte, answer func(*Message)) {
	var message Message
	if cbor.Unmarshal(data, &message) != nil {
		return
	}
	stable(t, &message)
	answer(&message)
}

// checkNode checks that the node works on: it knows itself, its timer runs, and its table's sums are those of what is
// in them, so that a member to which all is repaired agrees with it.
func checkNode(t *testing.T, n *node) {
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

// FuzzMessages: whatever a member sends, the node answers and works on.
func FuzzMessages(f *testing.F) {
	entry, err := memberEntry(fuzzMember("e", "z2"))
	require.NoError(f, err)
	beat := membership.Heartbeat{Name: "b", Incarnation: 5, Sequence: 2}
	heading := entry.Header()
	for _, message := range []any{
		heartbeatRequest{Heartbeat: beat, Summary: gossip.Summary{1, 2, 3, 4, 5}},
		gossip.Message{From: "b", Entries: []gossip.Entry{entry}, Offers: []gossip.Header{heading}, Relay: []string{"z9"}},
		compareRequest{Heartbeat: beat, Digests: []gossip.TableDigest{{Table: gossip.TableMembers, Sums: make([]uint32, gossip.BucketCount)}}},
		transferRequest{From: "b", Entries: []gossip.Entry{entry}, Missing: []gossip.Header{heading}, Ack: membership.HeartbeatAck{RefuteAbove: 9}},
		heartbeatResponse{Ack: membership.HeartbeatAck{Unknown: true}, DifferingTables: []gossip.TableID{0, 2, 200}},
		compareResponse{Buckets: []gossip.BucketContents{{Table: 2, Bucket: -1, Headers: []gossip.Header{heading}}}},
		pushResponse{Missing: []gossip.Header{{Table: 99, Key: "x"}}},
	} {
		data, err := cbor.Marshal(message)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n := fuzzNode()
		take(t, data, func(m *heartbeatRequest) { n.answerHeartbeat(fuzzStart, m) })
		take(t, data, func(m *gossip.Message) { n.answerPush(fuzzStart, *m) })
		take(t, data, func(m *compareRequest) { n.answerCompare(fuzzStart, m) })
		take(t, data, func(m *transferRequest) { n.answerTransfer(fuzzStart, m) })
		take(t, data, func(m *heartbeatResponse) { n.processHeartbeatResponse(fuzzStart, "b", m) })
		take(t, data, func(m *compareResponse) { n.processCompareResponse(fuzzStart, "b", m) })
		take(t, data, func(m *transferResponse) { n.processTransferResponse(fuzzStart, "b", m) })
		take(t, data, func(m *pushResponse) { n.engine.CollectEntries(m.Missing) })
		checkNode(t, n)
	})
}

// FuzzEntries: whatever stands in an entry of any table, the node works on.
func FuzzEntries(f *testing.F) {
	member, err := memberEntry(fuzzMember("e", "z2"))
	require.NoError(f, err)
	self, err := memberEntry(fuzzMember("self", "z9"))
	require.NoError(f, err)
	word, err := suspicionEntry(membership.Suspicion{Member: "c", Watcher: "self", Revision: 3})
	require.NoError(f, err)
	claim, err := claimEntry(singleton.Claim{Role: "repair", Holder: "nobody", Epoch: 1 << 40})
	require.NoError(f, err)
	for _, entry := range []gossip.Entry{member, self, word, claim} {
		f.Add(uint8(entry.Table), entry.Key, entry.Version.Major, entry.Version.Minor, entry.Value)
	}
	f.Add(uint8(gossip.TableEndpoints), "e", uint64(1), uint64(8), []byte{0xa1, 7, 2})
	f.Fuzz(func(t *testing.T, table uint8, key string, major, minor uint64, value []byte) {
		n := fuzzNode()
		entry := gossip.Entry{Table: gossip.TableID(table), Key: key, Version: gossip.NewVersion(major, minor), Value: value}
		n.answerPush(fuzzStart, gossip.Message{From: "b", Entries: []gossip.Entry{entry}})
		got, known := n.engine.Get(gossip.TableMembers, "self")
		require.True(t, known)
		stable(t, &got)
		checkNode(t, n)
	})
}
