package leasecheck

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"rowanlink/webhook/api"
)

// OwnershipEvent is something that happened to one resource at some time between From and Until, both included,
// in Unix microseconds; Until is api.Never if it may still happen.
type OwnershipEvent struct {
	Kind        OwnershipEventKind
	Member      string
	Epoch       uint64
	Reader      int // of Observed: index of the reader, from 0
	From, Until api.Micros
}

// OwnershipEventKind is the kind of an OwnershipEvent. Resources other than the owner of a range have only Granted and
// Ended.
type OwnershipEventKind uint8

// The kinds of ownership events.
const (
	Granted   OwnershipEventKind = iota // the member holds the lease
	Ended                               // the member no longer acts by that grant
	Published                           // the shard map names the member, with the epoch of its grant
	Observed                            // a reader saw that in its map, which may be old but none older than before
)

// String returns the name of the kind.
func (k OwnershipEventKind) String() string {
	return [...]string{"granted", "ended", "published", "observed"}[k]
}

// ownershipState is the state of the model.
type ownershipState struct {
	held        bool
	lastGranted Operation // without times
	published   Operation // whom the shard map names
	observed    []uint64  // the epoch that each reader saw last
}

// ownershipModel has one holder at a time, epochs that only increase, and a shard map that names the member that was
// granted the lease last and never an earlier one again.
var ownershipModel = porcupine.Model{
	Init: func() any { return ownershipState{} },
	Step: func(state, input, _ any) (bool, any) {
		return stepOwnership(state.(ownershipState), input.(OwnershipEvent))
	},
	Equal: func(a, b any) bool { return a.(ownershipState).equal(b.(ownershipState)) },
	DescribeOperation: func(input, _ any) string {
		e := input.(OwnershipEvent)
		return fmt.Sprintf("%s %s/%d by %d", e.Kind, e.Member, e.Epoch, e.Reader)
	},
}

func stepOwnership(state ownershipState, e OwnershipEvent) (bool, ownershipState) {
	grant := Operation{Member: e.Member, Epoch: e.Epoch}
	next := state
	switch e.Kind {
	case Granted:
		isRenewed := grant == state.lastGranted // its session was renewed after its own clock had ended it
		next.held = true
		next.lastGranted = grant
		return !state.held && (isRenewed || e.Epoch > state.lastGranted.Epoch), next
	case Ended:
		next.held = false
		return state.held && state.lastGranted == grant, next
	case Published:
		next.published = grant
		return state.lastGranted == grant && e.Epoch > state.published.Epoch, next
	}
	if state.published != grant {
		return false, state
	}
	missing := max(0, e.Reader+1-len(state.observed))
	next.observed = append(slices.Clone(state.observed), make([]uint64, missing)...)
	isOlder := next.observed[e.Reader] > e.Epoch
	next.observed[e.Reader] = e.Epoch
	return !isOlder, next
}

func (s ownershipState) equal(o ownershipState) bool {
	return s.held == o.held && s.lastGranted == o.lastGranted && s.published == o.published &&
		slices.Equal(s.observed, o.observed)
}

// CheckOwnership reports whether one resource, and the shard map's entry of it, could have had this history. It
// returns an error if porcupine does not decide that within the timeout.
func CheckOwnership(events []OwnershipEvent, timeout time.Duration) (possible bool, err error) {
	var history []porcupine.Operation
	for i, e := range events {
		until := int64(e.Until)
		if e.Until == api.Never {
			until = math.MaxInt64
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: e, Call: int64(e.From), Return: until})
	}
	switch porcupine.CheckOperationsTimeout(ownershipModel, history, timeout) {
	case porcupine.Unknown:
		return false, fmt.Errorf("%d events: not decided within %s", len(events), timeout)
	case porcupine.Illegal:
		return false, nil
	}
	return true, nil
}
