package shardmap

import (
	"rowanlink/cluster"
	"rowanlink/internal/strictcbor"
)

// codec encodes and decodes commands, results and maps.
var codec = strictcbor.New(strictcbor.Options{RejectUnknownFields: true})

// operation is the kind of a command. The numbers are stored in the raft log.
type operation uint8

const (
	opInitialize operation = iota + 1
	opSplit
	opMerge
	opPlanMove
	opAdvanceMove
	opRevertMove
	opFailOver
	opConfirmOwner
	opSwitchOwner
	opClearMove
	opPlace
	opConfirmPlacement
	opSweepMisplaced
)

// MemberWeight is a member's share of the ranges in the first map. A member of weight 0 gets no range.
type MemberWeight struct {
	Member cluster.MemberID `cbor:"1,keyasint"`
	Weight float64          `cbor:"2,keyasint"`
}

// Takeover assigns a range, whose owner no longer holds its lease, to another member.
type Takeover struct {
	Range         cluster.RangeID  `cbor:"1,keyasint"`
	PreviousOwner cluster.MemberID `cbor:"2,keyasint"`
	NewOwner      cluster.MemberID `cbor:"3,keyasint"`
}

// command is the body of a log entry. Which fields are set depends on Op.
type command struct {
	Op         operation        `cbor:"1,keyasint"`
	Range      cluster.RangeID  `cbor:"2,keyasint,omitempty"`
	Other      cluster.RangeID  `cbor:"3,keyasint,omitempty"` // opMerge: the range that is merged into Range
	Key        cluster.KeyHash  `cbor:"4,keyasint,omitempty"` // opSplit: where the upper range begins
	From       cluster.MemberID `cbor:"5,keyasint,omitempty"` // opPlanMove: the present owner
	Member     cluster.MemberID `cbor:"6,keyasint,omitempty"`
	Epoch      cluster.Epoch    `cbor:"7,keyasint,omitempty"`
	Move       MoveID           `cbor:"8,keyasint,omitempty"`
	Step       MoveStep         `cbor:"9,keyasint,omitempty"`
	MapVersion cluster.Version  `cbor:"10,keyasint,omitempty"` // the version of the map by which the proposer serves
	Count      int              `cbor:"11,keyasint,omitempty"` // opInitialize: the number of ranges
	Members    []MemberWeight   `cbor:"12,keyasint,omitempty"`
	Takeovers  []Takeover       `cbor:"13,keyasint,omitempty"`
	Groups     []PlacementGroup `cbor:"14,keyasint,omitempty"`
}

// encode returns the command as a log entry that is fenced by the epoch of a lease on a resource. If the resource is
// empty, the entry is not fenced.
func (c command) encode(resource cluster.Resource, epoch cluster.Epoch) cluster.Command {
	body, err := codec.Marshal(c)
	if err != nil {
		panic(err) // a command has no field that can't be encoded
	}
	return cluster.Command{Component: cluster.ShardMapComponent, FencedBy: resource, Epoch: epoch, Body: body}
}

// Coordinator creates the commands that only the rebalance coordinator proposes. Its value is the epoch of the
// coordinator's lease on cluster.CoordinatorResource, which fences them.
type Coordinator cluster.Epoch

func (e Coordinator) command(c command) cluster.Command {
	return c.encode(cluster.CoordinatorResource, cluster.Epoch(e))
}

// Initialize creates the first map: n ranges of equal size, distributed as by EvenRanges.
func (e Coordinator) Initialize(n int, members []MemberWeight) cluster.Command {
	return e.command(command{Op: opInitialize, Count: n, Members: members})
}

// Split splits a range at key: the part from key on becomes a new range with the same owner. The result is the id of
// the new range.
func (e Coordinator) Split(id cluster.RangeID, key cluster.KeyHash) cluster.Command {
	return e.command(command{Op: opSplit, Range: id, Key: key})
}

// Merge merges range b into range a. The two must be adjacent and stable and have the same owner.
func (e Coordinator) Merge(a, b cluster.RangeID) cluster.Command {
	return e.command(command{Op: opMerge, Range: a, Other: b})
}

// PlanMove plans the move of a stable range. The result is the id of the move.
func (e Coordinator) PlanMove(id cluster.RangeID, from, to cluster.MemberID) cluster.Command {
	return e.command(command{Op: opPlanMove, Range: id, From: from, Member: to})
}

// AdvanceMove advances a move to StepWarming, and from there to StepHandoff.
func (e Coordinator) AdvanceMove(move MoveID, to MoveStep) cluster.Command {
	return e.command(command{Op: opAdvanceMove, Move: move, Step: to})
}

// RevertMove ends a move whose target has not become the owner yet: the source stays the owner.
func (e Coordinator) RevertMove(move MoveID) cluster.Command {
	return e.command(command{Op: opRevertMove, Move: move})
}

// FailOver gives ranges whose owners no longer hold their leases to other members. It applies each takeover for which
// this is the case, and is rejected if there is none. The result is the ids of the ranges that changed.
func (e Coordinator) FailOver(takeovers []Takeover) cluster.Command {
	return e.command(command{Op: opFailOver, Takeovers: takeovers})
}

// Place sets the groups of destinations that are placed together. All other destinations are placed by their own
// hash.
func (e Coordinator) Place(groups []PlacementGroup) cluster.Command {
	return e.command(command{Op: opPlace, Groups: groups})
}

// SweepMisplaced removes each MisplacedDestination whose Grant is no longer held: the lease has ended before its holder
// confirmed the new placement.
func (e Coordinator) SweepMisplaced() cluster.Command {
	return e.command(command{Op: opSweepMisplaced})
}

// ConfirmOwner states that a range's owner holds the range's lease. mapVersion is the version of the map by which it
// will serve.
func ConfirmOwner(
	id cluster.RangeID, owner cluster.MemberID, epoch cluster.Epoch, mapVersion cluster.Version,
) cluster.Command {
	c := command{Op: opConfirmOwner, Range: id, Member: owner, Epoch: epoch, MapVersion: mapVersion}
	return c.encode(cluster.RangeOwnerResource(id), epoch)
}

// SwitchOwner makes a move's target the range's owner. The target proposes it once it holds the range's lease, which
// the previous holder has released or lost. The owner in the map and the right to call the range's destinations thus
// change at one point of the log.
func SwitchOwner(
	move MoveID, id cluster.RangeID, target cluster.MemberID, epoch cluster.Epoch,
) cluster.Command {
	c := command{Op: opSwitchOwner, Move: move, Member: target, Epoch: epoch}
	return c.encode(cluster.RangeOwnerResource(id), epoch)
}

// ClearMove states that a member no longer has copies of webhooks for which a switched move has to wait. The
// coordinator proposes it for a member that never comes back.
func ClearMove(move MoveID, member cluster.MemberID) cluster.Command {
	return command{Op: opClearMove, Move: move, Member: member}.encode("", 0)
}

// ConfirmPlacement states that the owner of a range serves by a map of mapVersion or newer, and that it has no call in
// flight for any destination that the maps up to mapVersion have moved to another range.
func ConfirmPlacement(id cluster.RangeID, epoch cluster.Epoch, mapVersion cluster.Version) cluster.Command {
	c := command{Op: opConfirmPlacement, Range: id, Epoch: epoch, MapVersion: mapVersion}
	return c.encode(cluster.RangeOwnerResource(id), epoch)
}
