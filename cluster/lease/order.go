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

// Order is what the lease part is told by an entry of the log.
type Order struct {
	Kind        Kind              `cbor:"1,keyasint"`
	Member      cluster.MemberID  `cbor:"2,keyasint,omitempty"`
	Incarnation Incarnation       `cbor:"3,keyasint,omitempty"`
	Session     cluster.SessionID `cbor:"4,keyasint,omitempty"`
	Tasks       []cluster.Task    `cbor:"5,keyasint,omitempty"`
	Epoch       cluster.Epoch     `cbor:"6,keyasint,omitempty"`
	Reign       Reign             `cbor:"7,keyasint,omitempty"`
}

// Reign is one keeper's time of leading, the log's index of the entry by which it began; 0: none yet.
type Reign uint64

// Over is a session whose term ran out, and in whose reign that was found.
type Over struct {
	Session cluster.SessionID
	Reign   Reign
}

// Kind is what an order does.
type Kind uint8

const (
	OpenKind Kind = iota + 1
	EndKind
	GrantKind
	ReleaseKind
	ReignKind
	ExpireKind
)

// Granted is the answer for one task: with epoch 0 another session holds it.
type Granted struct {
	Task  cluster.Task  `cbor:"1,keyasint"`
	Epoch cluster.Epoch `cbor:"2,keyasint,omitempty"`
}

// Err is fleet.ErrHeld where another session holds the task.
func (g Granted) Err() error {
	if g.Epoch == 0 {
		return cluster.ErrHeld
	}
	return nil
}

// Answer is what goes to whoever proposed an order.
type Answer struct {
	Session cluster.SessionID `cbor:"1,keyasint"` // the one the order was about
	Granted []Granted         `cbor:"2,keyasint,omitempty"`
	Reign   Reign             `cbor:"3,keyasint,omitempty"` // of Began
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

// Open asks for a session of this life of a member; asked again, it answers the same one until that has
// ended.
func Open(m cluster.MemberID, i Incarnation) cluster.Command {
	return command(Order{Kind: OpenKind, Member: m, Incarnation: i})
}

// End frees all that a session holds. The member itself asks for it, after Tenure.End.
func End(s cluster.SessionID) cluster.Command {
	return command(Order{Kind: EndKind, Session: s})
}

// Grant asks for tasks, at most 4096 at a time; what the session holds already is answered with its epoch.
func Grant(s cluster.SessionID, tasks ...cluster.Task) cluster.Command {
	return command(Order{Kind: GrantKind, Session: s, Tasks: tasks})
}

// Release frees one task. The holder stops acting before it asks: Tenure.Let.
func Release(s cluster.SessionID, t cluster.Task, e cluster.Epoch) cluster.Command {
	return command(Order{Kind: ReleaseKind, Session: s, Tasks: []cluster.Task{t}, Epoch: e})
}

// Began is what a keeper proposes in each raft term in which it leads, before it leads by Terms: its answer
// has the reign. Being applied it is the barrier too.
func Began() cluster.Command { return command(Order{Kind: ReignKind}) }

// Expire ends a session that Terms.Due named. It is refused with fleet.ErrStale where another reign has begun
// since: that one gives the session a whole term again, whatever was found before.
func Expire(o Over) cluster.Command {
	return command(Order{Kind: ExpireKind, Session: o.Session, Reign: o.Reign})
}

func command(o Order) cluster.Command {
	return cluster.Command{Part: cluster.LeasePart, Body: encode(o)}
}

// encode is for what always can be: an error would be one of this package's types.
func encode(v any) []byte {
	b, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// ReadAnswer decodes what Book.Apply answered, else ErrUnreadable.
func ReadAnswer(b []byte) (a Answer, err error) {
	if err = decoding.Unmarshal(b, &a); err != nil {
		return Answer{}, fmt.Errorf("answer of a lease order: %w: %w", ErrUnreadable, err)
	}
	return a, nil
}

// readOrder refuses what says too little or too much for its kind, so that each keeper refuses the same.
func readOrder(body []byte) (o Order, err error) {
	if err = decoding.Unmarshal(body, &o); err != nil {
		return Order{}, fmt.Errorf("lease order: %w: %w", ErrUnreadable, err)
	}
	opens, reigns, tasks := o.Kind == OpenKind, o.Kind == ReignKind, 0
	switch o.Kind {
	case OpenKind, EndKind, ReignKind, ExpireKind:
	case GrantKind:
		tasks = min(max(len(o.Tasks), 1), mostTasks)
	case ReleaseKind:
		tasks = 1
	default:
		return Order{}, fmt.Errorf("lease order of kind %d: %w", o.Kind, ErrUnreadable)
	}
	if len(o.Tasks) != tasks || opens != (o.Member != "") || (opens || reigns) == (o.Session != 0) ||
		!opens && o.Incarnation != 0 || (o.Epoch != 0) != (o.Kind == ReleaseKind) ||
		(o.Reign != 0) != (o.Kind == ExpireKind) || len(o.Member) > longestName {
		return Order{}, fmt.Errorf("lease order of kind %d lacks or adds something: %w", o.Kind, ErrUnreadable)
	}
	for _, t := range o.Tasks {
		if t == "" || len(t) > longestName {
			return Order{}, fmt.Errorf("lease order: a task without or with too long a name: %w", ErrUnreadable)
		}
	}
	return o, nil
}
