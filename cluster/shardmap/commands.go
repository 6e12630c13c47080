package shardmap

import (
	"github.com/fxamacker/cbor/v2"

	"rowanlink/cluster"
)

// The same bytes for the same thing on each keeper, and nothing that one program reads otherwise than
// another.
var (
	encoding, _ = cbor.CoreDetEncOptions().EncMode()
	decoding, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
)

type op uint8

const (
	opFirst op = iota + 1
	opSplit
	opMerge
	opPlan
	opStep
	opBack
	opLost
	opHome
	opSwitch
	opClear
	opPlace
	opSeen
	opSweep
)

// Weight is a member's part of the first map. A member of weight 0 gets no range.
type Weight struct {
	Member cluster.MemberID `cbor:"1,keyasint"`
	Weight float64          `cbor:"2,keyasint"`
}

// Takeover gives a range whose home is lost to another member.
type Takeover struct {
	Range cluster.RangeID  `cbor:"1,keyasint"`
	Lost  cluster.MemberID `cbor:"2,keyasint"`
	To    cluster.MemberID `cbor:"3,keyasint"`
}

type command struct {
	Op      op               `cbor:"1,keyasint"`
	Range   cluster.RangeID  `cbor:"2,keyasint,omitempty"`
	Other   cluster.RangeID  `cbor:"3,keyasint,omitempty"`
	At      cluster.KeyHash  `cbor:"4,keyasint,omitempty"`
	From    cluster.MemberID `cbor:"5,keyasint,omitempty"`
	Member  cluster.MemberID `cbor:"6,keyasint,omitempty"`
	Epoch   cluster.Epoch    `cbor:"7,keyasint,omitempty"`
	Move    MoveID           `cbor:"8,keyasint,omitempty"`
	Step    Step             `cbor:"9,keyasint,omitempty"`
	Seen    cluster.Version  `cbor:"10,keyasint,omitempty"`
	N       int              `cbor:"11,keyasint,omitempty"`
	Members []Weight         `cbor:"12,keyasint,omitempty"`
	Takes   []Takeover       `cbor:"13,keyasint,omitempty"`
	Groups  []Group          `cbor:"14,keyasint,omitempty"`
}

func (c command) by(task cluster.Resource, epoch cluster.Epoch) cluster.Command {
	body, err := encoding.Marshal(c)
	if err != nil {
		panic(err) // nothing in it can fail
	}
	return cluster.Command{Component: cluster.ShardMapComponent, FencedBy: task, Epoch: epoch, Body: body}
}

// Conductor writes the commands that only the conductor gives, under its epoch of task cluster.CoordinatorResource.
type Conductor cluster.Epoch

func (e Conductor) of(c command) cluster.Command {
	return c.by(cluster.CoordinatorResource, cluster.Epoch(e))
}

// First is the first map: n even ranges, as Even gives them out.
func (e Conductor) First(n int, members []Weight) cluster.Command {
	return e.of(command{Op: opFirst, N: n, Members: members})
}

// Split makes what lies from a key hash on a range of its own, with the same home. Its answer is the new id.
func (e Conductor) Split(id cluster.RangeID, at cluster.KeyHash) cluster.Command {
	return e.of(command{Op: opSplit, Range: id, At: at})
}

// Merge makes b a part of a: b lies next to a, both are settled and have one home.
func (e Conductor) Merge(a, b cluster.RangeID) cluster.Command {
	return e.of(command{Op: opMerge, Range: a, Other: b})
}

// Plan plans the move of a settled range; its answer is the move's id.
func (e Conductor) Plan(id cluster.RangeID, from, to cluster.MemberID) cluster.Command {
	return e.of(command{Op: opPlan, Range: id, From: from, Member: to})
}

// Step takes a move on to Warming, then to Passing.
func (e Conductor) Step(move MoveID, to Step) cluster.Command {
	return e.of(command{Op: opStep, Move: move, Step: to})
}

// Back ends a move that has not switched: the source stays home.
func (e Conductor) Back(move MoveID) cluster.Command { return e.of(command{Op: opBack, Move: move}) }

// Lost gives ranges to other members whose homes hold their tasks no more. It does so for each where that
// holds, and is refused where it holds for none. Its answer is the ids given.
func (e Conductor) Lost(takes []Takeover) cluster.Command {
	return e.of(command{Op: opLost, Takes: takes})
}

// Home says that a range's home holds its task; seen is the version of the map by which it will serve.
func Home(id cluster.RangeID, home cluster.MemberID, epoch cluster.Epoch, seen cluster.Version) cluster.Command {
	return command{Op: opHome, Range: id, Member: home, Epoch: epoch, Seen: seen}.by(cluster.RangeOwnerResource(id), epoch)
}

// Switch makes a move's target the range's home. The target proposes it once it holds the task: whoever held
// it before has let it go or has ended, so that the map and the right to call change at one place in the log.
func Switch(move MoveID, id cluster.RangeID, target cluster.MemberID, epoch cluster.Epoch) cluster.Command {
	return command{Op: opSwitch, Move: move, Member: target, Epoch: epoch}.by(cluster.RangeOwnerResource(id), epoch)
}

// Clear says that a member has no copies left that a switched move must tell the owner of. For a member that
// never comes back, the conductor says it.
func Clear(move MoveID, member cluster.MemberID) cluster.Command {
	return command{Op: opClear, Move: move, Member: member}.by("", 0)
}
