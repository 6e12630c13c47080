package lease

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rowanlink/webhook/api"
)

// stateEncoder encodes a model so that equivalent states, which have the same possible futures, have the same
// encoding: times are relative to now and limited to where they matter, and of ids and renewals only the order
// counts. The hash has 64 bits: among a million states the chance of a collision is about one in 40 million.
type stateEncoder struct {
	model *model
	ids   []uint64
	out   []byte
}

func (md *model) hash() uint64 {
	se := stateEncoder{
		model: md,
		ids:   md.knownIDs(make([]uint64, 0, 48)),
		out:   make([]byte, 0, 256),
	}
	se.add(byte(md.leader))
	se.add(byte(md.budget.elections), byte(md.budget.duplicates), byte(md.budget.lateContacts), byte(md.budget.releases),
		byte(md.budget.sessionEnds), byte(md.budget.memberRestarts), byte(md.budget.actions), byte(md.budget.fenceRestarts))
	lease := md.table.leases[modelResource]
	se.id(uint64(md.highestAdmitted), uint64(md.table.leaderEpoch), uint64(lease.session), uint64(lease.epoch),
		uint64(md.fence.highest[modelResource]))
	for _, s := range md.table.Sessions() {
		se.id(uint64(s))
		se.add(se.incarnation(md.table.sessions[s].incarnation))
	}
	for i := range md.nodes {
		se.node(i)
	}
	for i := range md.processes {
		se.process(i)
	}
	var at [8]int
	begins := at[:0]
	for _, m := range md.messages {
		begins = append(begins, len(se.out))
		se.message(m)
	}
	return se.hash(begins)
}

// hash returns the hash of the encoding. It sorts the encoded messages, which begin at the given offsets, since their
// order in flight does not matter.
func (se *stateEncoder) hash(begins []int) uint64 {
	if len(begins) == 0 {
		return xxhash.Sum64(se.out)
	}
	var each [8][]byte
	parts, end := each[:0], len(se.out)
	for _, at := range slices.Backward(begins) {
		parts = append(parts, se.out[at:end])
		end = at
	}
	slices.SortFunc(parts, bytes.Compare)
	h := xxhash.New()
	_, _ = h.Write(se.out[:begins[0]])
	for _, p := range parts {
		_, _ = h.Write(p)
	}
	return h.Sum64()
}

// knownIDs returns all ids and epochs that the model still refers to, sorted.
func (md *model) knownIDs(all []uint64) []uint64 {
	lease := md.table.leases[modelResource]
	all = append(all, 0, uint64(md.highestAdmitted), uint64(md.table.leaderEpoch),
		uint64(lease.session), uint64(lease.epoch), uint64(md.fence.highest[modelResource]))
	for s := range md.table.sessions {
		all = append(all, uint64(s))
	}
	for i := range md.nodes {
		if md.nodes[i].tracker.IsLeading() {
			all = append(all, uint64(md.nodes[i].tracker.leaderEpoch))
		}
		for s := range md.nodes[i].tracker.sessions {
			all = append(all, uint64(s))
		}
		holder := md.processes[i].holder
		all = append(all, uint64(holder.session), uint64(holder.newestSession), uint64(holder.endedUpTo),
			uint64(holder.epochs[modelResource]), uint64(holder.relinquished[modelResource]))
	}
	for _, m := range md.messages {
		all = append(all, uint64(m.session), uint64(m.epoch), uint64(m.leaderEpoch))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (se *stateEncoder) add(bytes ...byte) { se.out = append(se.out, bytes...) }

func (se *stateEncoder) id(all ...uint64) {
	for _, id := range all {
		at, _ := slices.BinarySearch(se.ids, id)
		se.add(byte(at))
	}
}

// incarnation encodes which member an incarnation belongs to. All past incarnations are equivalent.
func (se *stateEncoder) incarnation(i Incarnation) byte {
	if i == se.model.processes[0].incarnation || i == se.model.processes[1].incarnation {
		return byte(i % 2)
	}
	return 2
}

// node encodes the remaining time of the sessions, and the order of contacts and of the renewals that wait for one.
func (se *stateEncoder) node(i int) {
	n := &se.model.nodes[i]
	se.add('K', byte(n.clockStep/1000), boolByte(n.believesLeading), boolByte(n.tracker.IsLeading()))
	if n.tracker.IsLeading() {
		se.id(uint64(n.tracker.leaderEpoch))
	}
	for _, s := range sortedSessions(n.tracker.sessions) {
		r := n.tracker.sessions[s]
		se.id(uint64(s))
		se.add(boolByte(r.expired))
		se.time(max(r.expiresAt-se.model.nodeClock(i), 0))
	}
	sent, ok := n.contact.lastContact[thirdNode]
	se.add(boolByte(ok), byte(se.model.raftTerm-n.contact.raftTerm), se.rank(i, sent))
}

func (se *stateEncoder) time(t api.Micros) {
	se.out = binary.LittleEndian.AppendUint16(se.out, uint16(t))
}

// rank returns the position of a time among those that a raft node compares. The highest bit is set for the current
// time.
func (se *stateEncoder) rank(node int, at api.Micros) (rank byte) {
	below := func(t api.Micros) {
		if t < at {
			rank++
		}
	}
	below(se.model.nodes[node].contact.lastContact[thirdNode])
	for _, m := range se.model.messages {
		if m.node == node && (m.kind == renewRequest || m.kind == peerContact) {
			below(m.at)
		}
	}
	if at == se.model.nodeClock(node) {
		rank |= 128
	}
	return rank
}

func (se *stateEncoder) process(i int) {
	p := &se.model.processes[i]
	holder := p.holder
	se.add('P', byte(p.clockStep/1000))
	se.id(uint64(holder.session), uint64(holder.newestSession), uint64(holder.endedUpTo),
		uint64(holder.epochs[modelResource]), uint64(holder.relinquished[modelResource]))
	se.time(max(holder.deadline-se.model.processClock(i), 0))
}

func (se *stateEncoder) message(m message) {
	se.add('M', byte(m.kind), byte(m.process), byte(m.node))
	se.add(se.incarnation(m.incarnation), byte(se.model.raftTerm-m.raftTerm))
	se.id(uint64(m.session), uint64(m.epoch), uint64(m.leaderEpoch))
	if m.kind <= confirmation && m.process >= 0 { // a renewal counts by its age, and by whether it is void
		holder := se.model.processes[m.process].holder
		se.add(boolByte(m.renewal.number <= holder.voidUpTo))
		se.time(min(se.model.processClock(m.process)-m.renewal.startedAt, holder.usableTTL))
	}
	if m.kind == renewRequest || m.kind == peerContact {
		se.add(se.rank(m.node, m.at))
	}
}

func boolByte(yes bool) byte {
	if yes {
		return 1
	}
	return 0
}
