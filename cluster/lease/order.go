package lease

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"rowanlink/cluster"
)

// Incarnation tells one life of a member from the next. Each process draws its own at its start and keeps it
// nowhere: two processes from one folder must not share a session.
type Incarnation uint64

// Operation is what the lease part is told by an entry of the log.
type Operation struct {
	Kind        OperationKind      `cbor:"1,keyasint"`
	Member      cluster.MemberID   `cbor:"2,keyasint,omitempty"`
	Incarnation Incarnation        `cbor:"3,keyasint,omitempty"`
	Session     cluster.SessionID  `cbor:"4,keyasint,omitempty"`
	Resources   []cluster.Resource `cbor:"5,keyasint,omitempty"`
	Epoch       cluster.Epoch      `cbor:"6,keyasint,omitempty"`
	LeaderEpoch LeaderEpoch        `cbor:"7,keyasint,omitempty"`
}

// LeaderEpoch is one keeper's time of leading, the log's index of the entry by which it began; 0: none yet.
type LeaderEpoch uint64

// ExpiredSession is a session whose term ran out, and in whose reign that was found.
type ExpiredSession struct {
	Session     cluster.SessionID
	LeaderEpoch LeaderEpoch
}

// OperationKind is what an order does.
type OperationKind uint8

const (
	OpOpenSession OperationKind = iota + 1
	OpEndSession
	OpAcquire
	OpRelease
	OpBeginLeaderEpoch
	OpExpireSession
)

// Grant is the answer for one task: with epoch 0 another session holds it.
type Grant struct {
	Resource cluster.Resource `cbor:"1,keyasint"`
	Epoch    cluster.Epoch    `cbor:"2,keyasint,omitempty"`
}

// Err is cluster.ErrAlreadyHeld where another session holds the task.
func (g Grant) Err() error {
	if g.Epoch == 0 {
		return cluster.ErrAlreadyHeld
	}
	return nil
}

// Result is what goes to whoever proposed an order.
type Result struct {
	Session     cluster.SessionID `cbor:"1,keyasint"` // the one the order was about
	Grants      []Grant           `cbor:"2,keyasint,omitempty"`
	LeaderEpoch LeaderEpoch       `cbor:"3,keyasint,omitempty"` // of Began
}

// ErrUnreadable is an order, answer or snapshot that can't be understood; nothing was changed.
var ErrUnreadable = errors.New("it can't be understood")

// Bounds of one order, so that no single entry can fill the keepers' memory.
const (
	longestName = 256
	mostTasks   = 4096
)

var (
	encoding, _ = cbor.CoreDetEncOptions().EncMode()
	decoding, _ = cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  1 << 20,
	}.DecMode()
)

// OpenSession asks for a session of this life of a member; asked again, it answers the same one until that has
// ended.
func OpenSession(m cluster.MemberID, i Incarnation) cluster.Command {
	return command(Operation{Kind: OpOpenSession, Member: m, Incarnation: i})
}

// EndSession frees all that a session holds. The member itself asks for it, after Tenure.End.
func EndSession(s cluster.SessionID) cluster.Command {
	return command(Operation{Kind: OpEndSession, Session: s})
}

// AcquireLeases asks for tasks, at most 4096 at a time; what the session holds already is answered with its epoch.
func AcquireLeases(s cluster.SessionID, tasks ...cluster.Resource) cluster.Command {
	return command(Operation{Kind: OpAcquire, Session: s, Resources: tasks})
}

// ReleaseLease frees one task. The holder stops acting before it asks: Tenure.Let.
func ReleaseLease(s cluster.SessionID, t cluster.Resource, e cluster.Epoch) cluster.Command {
	return command(Operation{Kind: OpRelease, Session: s, Resources: []cluster.Resource{t}, Epoch: e})
}

// BeginLeaderEpoch is what a keeper proposes in each raft term in which it leads, before it leads by Terms: its answer
// has the reign. Being applied it is the barrier too.
func BeginLeaderEpoch() cluster.Command { return command(Operation{Kind: OpBeginLeaderEpoch}) }

// ExpireSession ends a session that Terms.Due named. It is refused with cluster.ErrStale where another reign has begun
// since: that one gives the session a whole term again, whatever was found before.
func ExpireSession(o ExpiredSession) cluster.Command {
	return command(Operation{Kind: OpExpireSession, Session: o.Session, LeaderEpoch: o.LeaderEpoch})
}

func command(o Operation) cluster.Command {
	return cluster.Command{Component: cluster.LeaseComponent, Body: encode(o)}
}

// encode is for what always can be: an error would be one of this package's types.
func encode(v any) []byte {
	b, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// DecodeResult decodes what Book.Apply answered, else ErrUnreadable.
func DecodeResult(b []byte) (a Result, err error) {
	if err = decoding.Unmarshal(b, &a); err != nil {
		return Result{}, fmt.Errorf("answer of a lease order: %w: %w", ErrUnreadable, err)
	}
	return a, nil
}

// readOrder refuses what says too little or too much for its kind, so that each keeper refuses the same.
func readOrder(body []byte) (o Operation, err error) {
	if err = decoding.Unmarshal(body, &o); err != nil {
		return Operation{}, fmt.Errorf("lease order: %w: %w", ErrUnreadable, err)
	}
	opens, reigns, tasks := o.Kind == OpOpenSession, o.Kind == OpBeginLeaderEpoch, 0
	switch o.Kind {
	case OpOpenSession, OpEndSession, OpBeginLeaderEpoch, OpExpireSession:
	case OpAcquire:
		tasks = min(max(len(o.Resources), 1), mostTasks)
	case OpRelease:
		tasks = 1
	default:
		return Operation{}, fmt.Errorf("lease order of kind %d: %w", o.Kind, ErrUnreadable)
	}
	if len(o.Resources) != tasks || opens != (o.Member != "") || (opens || reigns) == (o.Session != 0) ||
		!opens && o.Incarnation != 0 || (o.Epoch != 0) != (o.Kind == OpRelease) ||
		(o.LeaderEpoch != 0) != (o.Kind == OpExpireSession) || len(o.Member) > longestName {
		return Operation{}, fmt.Errorf("lease order of kind %d lacks or adds something: %w", o.Kind, ErrUnreadable)
	}
	for _, t := range o.Resources {
		if t == "" || len(t) > longestName {
			return Operation{}, fmt.Errorf("lease order: a task without or with too long a name: %w", ErrUnreadable)
		}
	}
	return o, nil
}
