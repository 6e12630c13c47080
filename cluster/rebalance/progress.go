package rebalance

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
)

// The same bytes for the same thing on each keeper, and nothing that one program reads otherwise than
// another.
var (
	encoding, _ = cbor.CoreDetEncOptions().EncMode()
	decoding, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
)

// StepState is how far a step has come.
type StepState uint8

const (
	Pending    StepState = iota
	Started              // its move is in the map of ranges
	Done                 // the range is where the step takes it, and both sides have cleared
	RolledBack           // its move went back; it may begin again
)

// Progress is what the log keeps of the running plan, so that another conductor goes on. It implements
// fleet.Part. A later plan takes its place: its steps are made from the map, so that what has switched stays.
type Progress struct {
	Number     uint64          `cbor:"1,keyasint"` // of the plan, from 1; 0: there was none yet
	Name       string          `cbor:"2,keyasint"` // of the file, as errors call it
	Text       []byte          `cbor:"3,keyasint"` // the file
	Version    cluster.Version `cbor:"4,keyasint"` // of the map that the steps start from
	Steps      []Step          `cbor:"5,keyasint"`
	States     []StepState     `cbor:"6,keyasint"`
	StopReason string          `cbor:"7,keyasint"` // why it was stopped; nothing starts any more
}

type op uint8

const (
	opAdopt op = iota + 1
	opNote
	opStop
)

type command struct {
	Op     op              `cbor:"1,keyasint"`
	Number uint64          `cbor:"2,keyasint"`
	Plan   *Progress       `cbor:"3,keyasint,omitempty"`
	Step   int             `cbor:"4,keyasint,omitempty"`
	Stand  StepState       `cbor:"5,keyasint,omitempty"`
	Move   shardmap.MoveID `cbor:"6,keyasint,omitempty"`
	Why    string          `cbor:"7,keyasint,omitempty"`
}

// Coordinator writes the commands on the plan under its epoch of task cluster.CoordinatorResource.
type Coordinator cluster.Epoch

func (e Coordinator) of(c command) cluster.Command {
	body, err := encoding.Marshal(c)
	if err != nil {
		panic(err) // nothing in it can fail
	}
	return cluster.Command{Component: cluster.RebalanceComponent, FencedBy: cluster.CoordinatorResource, Epoch: cluster.Epoch(e), Body: body}
}

// Adopt makes a plan the running one. was is the number of the plan that the conductor knows of: where
// another came meanwhile, the log refuses with cluster.ErrStale.
func (e Coordinator) Adopt(was uint64, name string, text []byte, p *Plan) cluster.Command {
	next := &Progress{Number: was + 1, Name: name, Text: text, Version: p.Version, Steps: p.Steps}
	return e.of(command{Op: opAdopt, Number: was + 1, Plan: next})
}

// RecordState says how far a step has come, as Next asks for it.
func (e Coordinator) RecordState(number uint64, step int, stand StepState, move shardmap.MoveID) cluster.Command {
	return e.of(command{Op: opNote, Number: number, Step: step, Stand: stand, Move: move})
}

// Stop ends a plan: what is before its switch goes back, nothing starts. Only a later plan goes on.
func (e Coordinator) Stop(number uint64, why string) cluster.Command {
	return e.of(command{Op: opStop, Number: number, Why: why})
}

// Apply takes a command of the log. What is refused changed nothing: with cluster.ErrStale where it is about
// another plan than the running one or a step has come further, with cluster.ErrNotFound where there is no such
// step.
func (p *Progress) Apply(_ uint64, body []byte) ([]byte, error) {
	var c command
	if err := decoding.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	if c.Op == opAdopt {
		return nil, p.adopt(c)
	}
	switch {
	case c.Number != p.Number || p.Number == 0:
		return nil, cluster.ErrStale
	case c.Op == opStop:
		if p.StopReason == "" {
			p.StopReason = cmp.Or(c.Why, "stopped")
		}
		return nil, nil
	case c.Op != opNote:
		return nil, fmt.Errorf("plan: no command has the number %d", c.Op)
	case c.Step < 0 || c.Step >= len(p.Steps):
		return nil, cluster.ErrNotFound
	}
	was := p.States[c.Step]
	if c.Stand > RolledBack || c.Stand == Pending || was == Done || was == c.Stand {
		return nil, cluster.ErrStale
	}
	if p.States[c.Step] = c.Stand; c.Stand == Started {
		p.Steps[c.Step].Move = c.Move
	}
	return nil, nil
}

func (p *Progress) adopt(c command) error {
	if c.Plan == nil {
		return fmt.Errorf("plan: none is given")
	}
	if c.Number != p.Number+1 {
		return cluster.ErrStale
	}
	next := *c.Plan
	next.Number, next.StopReason = c.Number, ""
	next.States = make([]StepState, len(next.Steps))
	for k, s := range next.Steps {
		if s.Kind == StepContinue || s.Kind == StepRollBack {
			next.States[k] = Started
		}
	}
	if err := next.sound(); err != nil {
		return err
	}
	*p = next
	return nil
}

// sound guards against a plan that no planner made: what reads it counts on each of these.
func (p *Progress) sound() error {
	if len(p.States) != len(p.Steps) || len(p.Text) > mostBytes {
		return fmt.Errorf("plan: %d steps, %d stands, %d bytes", len(p.Steps), len(p.States), len(p.Text))
	}
	for k, s := range p.Steps {
		bad := slices.ContainsFunc(s.DependsOn, func(n Dependency) bool { return n.Step < 0 || n.Step >= k }) ||
			slices.ContainsFunc(append(slices.Clone(s.Rules), s.AfterRules...), func(r int) bool {
				return r < 0 ||
					r > mostBytes
			})
		if bad || s.Kind < StepMove || s.Kind > StepMerge || p.States[k] > RolledBack {
			return fmt.Errorf("plan: step %d can't be", k+1)
		}
	}
	return nil
}

// Snapshot is the progress as CBOR.
func (p *Progress) Snapshot() ([]byte, error) { return encoding.Marshal(p) }

// Restore takes a snapshot. A broken one is refused, and what was stays.
func (p *Progress) Restore(snapshot []byte) error {
	var next Progress
	if err := decoding.Unmarshal(snapshot, &next); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	if err := next.sound(); err != nil {
		return err
	}
	*p = next
	return nil
}

// File reads the running plan's text again.
func (p *Progress) File() (*File, error) { return ParseFile(p.Text, p.Name) }

// DoneSteps counts the steps that are.
func (p *Progress) DoneSteps() (n int) {
	for _, s := range p.States {
		if s == Done {
			n++
		}
	}
	return n
}
