package lease

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rowanlink/webhook/api"
)

// coder writes a world down so that two from which the same can follow come out alike: times count from now
// and no further back than they matter, ids and asks only by their order. Its hash has 64 bits: for a million
// states the chance that one hides another is about one in 40 million.
type coder struct {
	w   *world
	ids []uint64
	out []byte
}

func (w *world) key() uint64 {
	k := coder{w, w.ids(make([]uint64, 0, 48)), make([]byte, 0, 256)}
	k.add(byte(w.leader), byte(w.left.elections), byte(w.left.doubles), byte(w.left.assents), byte(w.left.lets),
		byte(w.left.ends), byte(w.left.deaths), byte(w.left.deeds), byte(w.left.restarts))
	g := w.book.leases[worldTask]
	k.id(uint64(w.done), uint64(w.book.leaderEpoch), uint64(g.session), uint64(g.epoch),
		uint64(w.fence.highest[worldTask]))
	for _, s := range w.book.Sessions() {
		k.id(uint64(s))
		k.add(k.life(w.book.sessions[s].incarnation))
	}
	for i := range w.keeper {
		k.keeper(i)
	}
	for i := range w.proc {
		k.process(i)
	}
	var at [8]int
	begins := at[:0]
	for _, m := range w.net {
		begins = append(begins, len(k.out))
		k.message(m)
	}
	return k.hash(begins)
}

// hash takes the messages in an order of their own.
func (k *coder) hash(begins []int) uint64 {
	if len(begins) == 0 {
		return xxhash.Sum64(k.out)
	}
	var each [8][]byte
	parts, end := each[:0], len(k.out)
	for _, at := range slices.Backward(begins) {
		parts, end = append(parts, k.out[at:end]), at
	}
	slices.SortFunc(parts, bytes.Compare)
	h := xxhash.New()
	_, _ = h.Write(k.out[:begins[0]])
	for _, p := range parts {
		_, _ = h.Write(p)
	}
	return h.Sum64()
}

// ids are all that the world still knows, in order.
func (w *world) ids(all []uint64) []uint64 {
	g := w.book.leases[worldTask]
	all = append(all, 0, uint64(w.done), uint64(w.book.leaderEpoch), uint64(g.session), uint64(g.epoch),
		uint64(w.fence.highest[worldTask]))
	for s := range w.book.sessions {
		all = append(all, uint64(s))
	}
	for i := range w.keeper {
		if w.keeper[i].terms.IsLeading() {
			all = append(all, uint64(w.keeper[i].terms.leaderEpoch))
		}
		for s := range w.keeper[i].terms.sessions {
			all = append(all, uint64(s))
		}
		t := w.proc[i].tenure
		all = append(all, uint64(t.session), uint64(t.newestSession), uint64(t.endedUpTo), uint64(t.epochs[worldTask]),
			uint64(t.relinquished[worldTask]))
	}
	for _, m := range w.net {
		all = append(all, uint64(m.session), uint64(m.epoch), uint64(m.reign))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (k *coder) add(bytes ...byte) { k.out = append(k.out, bytes...) }

func (k *coder) id(all ...uint64) {
	for _, id := range all {
		at, _ := slices.BinarySearch(k.ids, id)
		k.add(byte(at))
	}
}

// life is whose it is: of a life that is over it does not matter which.
func (k *coder) life(i Incarnation) byte {
	if i == k.w.proc[0].life || i == k.w.proc[1].life {
		return byte(i % 2)
	}
	return 2
}

// keeper: of the runs what is left; of assents and what waits for one only which came first.
func (k *coder) keeper(i int) {
	n := &k.w.keeper[i]
	k.add('K', byte(n.step/1000), bit(n.believes), bit(n.terms.IsLeading()))
	if n.terms.IsLeading() {
		k.id(uint64(n.terms.leaderEpoch))
	}
	for _, s := range sorted(n.terms.sessions) {
		r := n.terms.sessions[s]
		k.id(uint64(s))
		k.add(bit(r.expired))
		k.time(max(r.expiresAt-k.w.keeperClock(i), 0))
	}
	sent, ok := n.assent.lastContact[third]
	k.add(bit(ok), byte(k.w.term-n.assent.raftTerm), k.order(i, sent))
}

func (k *coder) time(t api.Micros) { k.out = binary.LittleEndian.AppendUint16(k.out, uint16(t)) }

// order is a time's rank among those that a keeper compares; what comes later is never below any of them.
func (k *coder) order(keeper int, at api.Micros) (rank byte) {
	below := func(t api.Micros) {
		if t < at {
			rank++
		}
	}
	below(k.w.keeper[keeper].assent.lastContact[third])
	for _, m := range k.w.net {
		if m.keeper == keeper && (m.kind == renewHeld || m.kind == assentSaid) {
			below(m.at)
		}
	}
	if at == k.w.keeperClock(keeper) {
		rank |= 128
	}
	return rank
}

func (k *coder) process(i int) {
	p := &k.w.proc[i]
	t := p.tenure
	k.add('P', byte(p.step/1000))
	k.id(uint64(t.session), uint64(t.newestSession), uint64(t.endedUpTo), uint64(t.epochs[worldTask]),
		uint64(t.relinquished[worldTask]))
	k.time(max(t.deadline-k.w.clock(i), 0))
}

func (k *coder) message(m message) {
	k.add('M', byte(m.kind), byte(m.proc), byte(m.keeper), k.life(m.life), byte(k.w.term-m.term))
	k.id(uint64(m.session), uint64(m.epoch), uint64(m.reign))
	if m.kind <= yes && m.proc >= 0 { // an ask counts by its age, and by whether it was made before a refusal
		t := k.w.proc[m.proc].tenure
		k.add(bit(m.ask.number <= t.voidUpTo))
		k.time(min(k.w.clock(m.proc)-m.ask.startedAt, t.usableTTL))
	}
	if m.kind == renewHeld || m.kind == assentSaid {
		k.add(k.order(m.keeper, m.at))
	}
}

func bit(yes bool) byte {
	if yes {
		return 1
	}
	return 0
}
