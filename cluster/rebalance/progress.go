package rebalance

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
	"rowanlink/internal/strictcbor"
)

// codec encodes and decodes commands and the state of the running plan. It rejects unknown fields.
var codec = strictcbor.New(strictcbor.Options{RejectUnknownFields: true})

// StepState is the progress of a step. The values are stored in the raft log.
type StepState uint8

// The states of steps.
const (
	Pending    StepState = iota
	Started              // its move is in the shard map
	Done                 // the range is at the step's target and both sides have cleared the move
	RolledBack           // its move was rolled back; it may start again
)

// Progress is the replicated state of the running plan, from which any coordinator can resume it. It is a state machine
// of the raft log (a cluster.Component). Adopting a new plan replaces it as a whole: the new plan's steps start from
// the current map, in which ranges that have switched are at their targets.
type Progress struct {
	Number     uint64          `cbor:"1,keyasint"` // of the plan, from 1; 0: no plan was adopted yet
	Name       string          `cbor:"2,keyasint"` // name of the file, for errors
	Text       []byte          `cbor:"3,keyasint"` // of the file
	Version    cluster.Version `cbor:"4,keyasint"` // of the map that the steps start from
	Steps      []Step          `cbor:"5,keyasint"`
	States     []StepState     `cbor:"6,keyasint"` // by step
	StopReason string          `cbor:"7,keyasint"` // not empty: the plan was stopped, and no step starts any more
}

// operation is the kind of a command. The values are stored in the raft log.
type operation uint8

const (
	operationAdopt operation = iota + 1
	operationRecordState
	operationStop
)

type command struct {
	Operation operation       `cbor:"1,keyasint"`
	Number    uint64          `cbor:"2,keyasint"` // of the plan
	Plan      *Progress       `cbor:"3,keyasint,omitempty"`
	Step      int             `cbor:"4,keyasint,omitempty"`
	State     StepState       `cbor:"5,keyasint,omitempty"`
	Move      shardmap.MoveID `cbor:"6,keyasint,omitempty"`
	Reason    string          `cbor:"7,keyasint,omitempty"`
}

// Coordinator makes the plan's commands. Its value is the coordinator's epoch of the lease on
// cluster.CoordinatorResource, which fences the commands.
type Coordinator cluster.Epoch

func (e Coordinator) newCommand(c command) cluster.Command {
	body, err := codec.Marshal(c)
	if err != nil {
		panic(err) // can't happen: every field of a command can be encoded
	}
	return cluster.Command{
		Component: cluster.RebalanceComponent,
		FencedBy:  cluster.CoordinatorResource,
		Epoch:     cluster.Epoch(e),
		Body:      body,
	}
}

// Adopt returns the command that makes a plan the running one. current is the number of the running plan as far as the
// coordinator knows: if another plan was adopted since, Apply returns cluster.ErrStale.
func (e Coordinator) Adopt(current uint64, name string, text []byte, p *Plan) cluster.Command {
	next := &Progress{Number: current + 1, Name: name, Text: text, Version: p.Version, Steps: p.Steps}
	return e.newCommand(command{Operation: operationAdopt, Number: current + 1, Plan: next})
}

// RecordState returns the command that records the state of a step, for an ActionRecordState of Schedule.
func (e Coordinator) RecordState(number uint64, step int, state StepState, move shardmap.MoveID) cluster.Command {
	return e.newCommand(command{
		Operation: operationRecordState,
		Number:    number,
		Step:      step,
		State:     state,
		Move:      move,
	})
}

// Stop returns the command that stops a plan: moves that haven't switched are rolled back, and no step starts until a
// new plan is adopted.
func (e Coordinator) Stop(number uint64, reason string) cluster.Command {
	return e.newCommand(command{Operation: operationStop, Number: number, Reason: reason})
}

// Apply applies a command of the raft log. A command that it rejects changes nothing. The error is cluster.ErrStale if
// the command is for another plan than the running one or the step's state doesn't allow the change any more, and
// cluster.ErrNotFound if there is no such step.
func (p *Progress) Apply(_ uint64, body []byte) ([]byte, error) {
	var c command
	if err := codec.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	if c.Operation == operationAdopt {
		return nil, p.adopt(c)
	}
	if c.Number != p.Number || p.Number == 0 {
		return nil, cluster.ErrStale
	}
	switch c.Operation {
	case operationStop:
		if p.StopReason == "" {
			p.StopReason = cmp.Or(c.Reason, "stopped")
		}
		return nil, nil
	case operationRecordState:
		return nil, p.recordState(c)
	}
	return nil, fmt.Errorf("plan: unknown operation %d", c.Operation)
}

func (p *Progress) recordState(c command) error {
	if c.Step < 0 || c.Step >= len(p.Steps) {
		return cluster.ErrNotFound
	}
	current := p.States[c.Step]
	if c.State > RolledBack || c.State == Pending || current == Done || current == c.State {
		return cluster.ErrStale
	}
	p.States[c.Step] = c.State
	if c.State == Started {
		p.Steps[c.Step].Move = c.Move
	}
	return nil
}

func (p *Progress) adopt(c command) error {
	if c.Plan == nil {
		return errors.New("plan: no plan in the command")
	}
	if c.Number != p.Number+1 {
		return cluster.ErrStale
	}
	next := *c.Plan
	next.Number, next.StopReason = c.Number, ""
	next.States = initialStates(next.Steps)
	if err := next.validate(); err != nil {
		return err
	}
	*p = next
	return nil
}

// initialStates returns the states of a new plan's steps: Started for moves that were in flight before the plan, else
// Pending.
func initialStates(steps []Step) []StepState {
	states := make([]StepState, len(steps))
	for k, s := range steps {
		if s.Kind.wasInFlight() {
			states[k] = Started
		}
	}
	return states
}

// validate rejects steps and states that no planner produces. The scheduler and File rely on each of these conditions.
func (p *Progress) validate() error {
	if len(p.States) != len(p.Steps) || len(p.Text) > planfile.MaxBytes {
		return fmt.Errorf("plan: invalid sizes: %d steps, %d states, %d bytes of text", len(p.Steps), len(p.States), len(p.Text))
	}
	for k, s := range p.Steps {
		if !s.isValid(k) || p.States[k] > RolledBack {
			return fmt.Errorf("plan: step %d is invalid", k+1)
		}
	}
	return nil
}

func (s Step) isValid(index int) bool {
	if s.Kind < StepMove || s.Kind > StepMerge {
		return false
	}
	isLater := func(d Dependency) bool { return d.Step < 0 || d.Step >= index }
	isNoRule := func(r int) bool { return r < 0 || r > planfile.MaxBytes } // a file can't have more rules than bytes
	return !slices.ContainsFunc(s.DependsOn, isLater) &&
		!slices.ContainsFunc(s.Rules, isNoRule) &&
		!slices.ContainsFunc(s.AfterRules, isNoRule)
}

// Snapshot returns the progress in its encoded form.
func (p *Progress) Snapshot() ([]byte, error) { return codec.Marshal(p) }

// Restore replaces the progress by a snapshot. It rejects an invalid one and then changes nothing.
func (p *Progress) Restore(snapshot []byte) error {
	var next Progress
	if err := codec.Unmarshal(snapshot, &next); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	if err := next.validate(); err != nil {
		return err
	}
	*p = next
	return nil
}

// File parses the running plan's text.
func (p *Progress) File() (*planfile.File, error) { return planfile.Parse(p.Text, p.Name) }

// DoneSteps counts the steps that are done.
func (p *Progress) DoneSteps() (n int) { return p.countSteps(Done) }

func (p *Progress) countSteps(state StepState) (n int) {
	for _, s := range p.States {
		if s == state {
			n++
		}
	}
	return n
}
