package leasecheck

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"rowanlink/webhook/api"
)

// OwnershipEvent is something that befell one task at some moment between From and Until, both included, in Unix
// microseconds; Until is Never where it may still come.
type OwnershipEvent struct {
	Kind        OwnershipEventKind
	Member      string
	Epoch       uint64
	Reader      int // Seen: by whom, from 0 on
	From, Until api.Micros
}

// OwnershipEventKind befalls the task of being a range's home; other tasks are only Granted and Ended.
type OwnershipEventKind uint8

const (
	Granted   OwnershipEventKind = iota // its member has the task
	Ended                               // its member acts by that grant no more
	Published                           // the map names the member, with the epoch of its grant
	Observed                            // a reader of the map saw that; late or not, but never older than what it saw before
)

func (w OwnershipEventKind) String() string {
	return [...]string{"granted", "ended", "seated", "seen"}[w]
}

// seat is what the model holds: who has the task, the last who was granted it, whom the map names, and what
// each reader has seen.
type seat struct {
	held        bool
	last, named Operation
	seen        []uint64
}

// homes is the model: one holder at a time, epochs that only rise, and a map that names who was granted the
// task last and never goes back.
var homes = porcupine.Model{
	Init: func() any { return seat{} },
	Step: func(state, input, _ any) (bool, any) {
		is, p := state.(seat), input.(OwnershipEvent)
		who := Operation{Member: p.Member, Epoch: p.Epoch}
		switch p.Kind {
		case Granted:
			again := who == is.last // its session was renewed after its own clock had ended it
			return !is.held && (again || p.Epoch > is.last.Epoch), seat{true, who, is.named, is.seen}
		case Ended:
			return is.held && is.last == who, seat{false, is.last, is.named, is.seen}
		case Published:
			return is.last == who && p.Epoch > is.named.Epoch, seat{is.held, is.last, who, is.seen}
		}
		if is.named != who {
			return false, is
		}
		seen := append(slices.Clone(is.seen), make([]uint64, max(0, p.Reader+1-len(is.seen)))...)
		older := seen[p.Reader] > p.Epoch
		seen[p.Reader] = p.Epoch
		return !older, seat{is.held, is.last, is.named, seen}
	},
	Equal: func(a, b any) bool {
		x, y := a.(seat), b.(seat)
		return x.held == y.held && x.last == y.last && x.named == y.named && slices.Equal(x.seen, y.seen)
	},
	DescribeOperation: func(input, _ any) string {
		p := input.(OwnershipEvent)
		return fmt.Sprintf("%s %s/%d by %d", p.Kind, p.Member, p.Epoch, p.Reader)
	},
}

// CheckOwnership tells whether one task, and the map of it, could have had such a past; an error where porcupine
// did not find that out in time.
func CheckOwnership(all []OwnershipEvent, within time.Duration) (could bool, err error) {
	var ops []porcupine.Operation
	for i, p := range all {
		until := int64(p.Until)
		if p.Until == api.Never {
			until = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: p, Call: int64(p.From), Return: until})
	}
	switch porcupine.CheckOperationsTimeout(homes, ops, within) {
	case porcupine.Unknown:
		return false, fmt.Errorf("%d events: not found out within %s", len(all), within)
	case porcupine.Illegal:
		return false, nil
	}
	return true, nil
}
