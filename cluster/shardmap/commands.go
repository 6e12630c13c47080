package shardmap

import (
	"github.com/fxamacker/cbor/v2"

	"rowanlink/cluster"
)

// The same bytes for the same thing on each keeper, and nothing that one program reads otherwise than
// another.
var (
	encMode, _ = cbor.CoreDetEncOptions().EncMode()
	decMode, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
)

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

// MemberWeight is a member's part of the first map. A member of weight 0 gets no range.
type MemberWeight struct {
	Member cluster.MemberID `cbor:"1,keyasint"`
	Weight float64          `cbor:"2,keyasint"`
}

// Takeover gives a range whose home is lost to another member.
type Takeover struct {
	Range         cluster.RangeID  `cbor:"1,keyasint"`
	PreviousOwner cluster.MemberID `cbor:"2,keyasint"`
	NewOwner      cluster.MemberID `cbor:"3,keyasint"`
}

type command struct {
	Op        operation        `cbor:"1,keyasint"`
	Range     cluster.RangeID  `cbor:"2,keyasint,omitempty"`
	Other     cluster.RangeID  `cbor:"3,keyasint,omitempty"`
	Key       cluster.KeyHash  `cbor:"4,keyasint,omitempty"`
	From      cluster.MemberID `cbor:"5,keyasint,omitempty"`
	Member    cluster.MemberID `cbor:"6,keyasint,omitempty"`
	Epoch     cluster.Epoch    `cbor:"7,keyasint,omitempty"`
	Move      MoveID           `cbor:"8,keyasint,omitempty"`
	Step      MoveStep         `cbor:"9,keyasint,omitempty"`
	Seen      cluster.Version  `cbor:"10,keyasint,omitempty"`
	Count     int              `cbor:"11,keyasint,omitempty"`
	Members   []MemberWeight   `cbor:"12,keyasint,omitempty"`
	Takeovers []Takeover       `cbor:"13,keyasint,omitempty"`
	Groups    []PlacementGroup `cbor:"14,keyasint,omitempty"`
}

func (c command) encode(task cluster.Task, epoch cluster.Epoch) cluster.Command {
	body, err := encMode.Marshal(c)
	if err != nil {
		panic(err) // nothing in it can fail
	}
	return cluster.Command{Part: cluster.RangesPart, By: task, Epoch: epoch, Body: body}
}

// Coordinator writes the commands that only the conductor gives, under its epoch of task fleet.Conducts.
type Coordinator cluster.Epoch

func (e Coordinator) command(c command) cluster.Command {
	return c.encode(cluster.Conducts, cluster.Epoch(e))
}

// Initialize is the first map: n even ranges, as Even gives them out.
func (e Coordinator) Initialize(n int, members []MemberWeight) cluster.Command {
	return e.command(command{Op: opInitialize, Count: n, Members: members})
}

// Split makes what lies from a key hash on a range of its own, with the same home. Its answer is the new id.
func (e Coordinator) Split(id cluster.RangeID, at cluster.KeyHash) cluster.Command {
	return e.command(command{Op: opSplit, Range: id, Key: at})
}

// Merge makes b a part of a: b lies next to a, both are settled and have one home.
func (e Coordinator) Merge(a, b cluster.RangeID) cluster.Command {
	return e.command(command{Op: opMerge, Range: a, Other: b})
}

// PlanMove plans the move of a settled range; its answer is the move's id.
func (e Coordinator) PlanMove(id cluster.RangeID, from, to cluster.MemberID) cluster.Command {
	return e.command(command{Op: opPlanMove, Range: id, From: from, Member: to})
}

// AdvanceMove takes a move on to Warming, then to Passing.
func (e Coordinator) AdvanceMove(move MoveID, to MoveStep) cluster.Command {
	return e.command(command{Op: opAdvanceMove, Move: move, Step: to})
}

// RevertMove ends a move that has not switched: the source stays home.
func (e Coordinator) RevertMove(move MoveID) cluster.Command {
	return e.command(command{Op: opRevertMove, Move: move})
}

// FailOver gives ranges to other members whose homes hold their tasks no more. It does so for each where that
// holds, and is refused where it holds for none. Its answer is the ids given.
func (e Coordinator) FailOver(takes []Takeover) cluster.Command {
	return e.command(command{Op: opFailOver, Takeovers: takes})
}

// ConfirmOwner says that a range's home holds its task; seen is the version of the map by which it will serve.
func ConfirmOwner(id cluster.RangeID, home cluster.MemberID, epoch cluster.Epoch, seen cluster.Version) cluster.Command {
	return command{Op: opConfirmOwner, Range: id, Member: home, Epoch: epoch, Seen: seen}.encode(cluster.HomeOf(id), epoch)
}

// SwitchOwner makes a move's target the range's home. The target proposes it once it holds the task: whoever held
// it before has let it go or has ended, so that the map and the right to call change at one place in the log.
func SwitchOwner(move MoveID, id cluster.RangeID, target cluster.MemberID, epoch cluster.Epoch) cluster.Command {
	return command{Op: opSwitchOwner, Move: move, Member: target, Epoch: epoch}.encode(cluster.HomeOf(id), epoch)
}

// ClearMove says that a member has no copies left that a switched move must tell the owner of. For a member that
// never comes back, the conductor says it.
func ClearMove(move MoveID, member cluster.MemberID) cluster.Command {
	return command{Op: opClearMove, Move: move, Member: member}.encode("", 0)
}
