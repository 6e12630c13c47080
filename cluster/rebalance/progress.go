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

// Stand is how far a step has come.
type Stand uint8

const (
	Waits    Stand = iota
	Begun          // its move is in the map of ranges
	Through        // the range is where the step takes it, and both sides have cleared
	Returned       // its move went back; it may begin again
)

// Progress is what the log keeps of the running plan, so that another conductor goes on. It implements
// fleet.Part. A later plan takes its place: its steps are made from the map, so that what has switched stays.
type Progress struct {
	Number  uint64          `cbor:"1,keyasint"` // of the plan, from 1; 0: there was none yet
	Name    string          `cbor:"2,keyasint"` // of the file, as errors call it
	Text    []byte          `cbor:"3,keyasint"` // the file
	Version cluster.Version `cbor:"4,keyasint"` // of the map that the steps start from
	Steps   []Step          `cbor:"5,keyasint"`
	Stands  []Stand         `cbor:"6,keyasint"`
	Stopped string          `cbor:"7,keyasint"` // why it was stopped; nothing starts any more
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
	Stand  Stand           `cbor:"5,keyasint,omitempty"`
	Move   shardmap.MoveID `cbor:"6,keyasint,omitempty"`
	Why    string          `cbor:"7,keyasint,omitempty"`
}

// Conductor writes the commands on the plan under its epoch of task cluster.CoordinatorResource.
type Conductor cluster.Epoch

func (e Conductor) of(c command) cluster.Command {
	body, err := encoding.Marshal(c)
	if err != nil {
		panic(err) // nothing in it can fail
	}
	return cluster.Command{Component: cluster.RebalanceComponent, FencedBy: cluster.CoordinatorResource, Epoch: cluster.Epoch(e), Body: body}
}

// Adopt makes a plan the running one. was is the number of the plan that the conductor knows of: where
// another came meanwhile, the log refuses with cluster.ErrStale.
func (e Conductor) Adopt(was uint64, name string, text []byte, p *Plan) cluster.Command {
	next := &Progress{Number: was + 1, Name: name, Text: text, Version: p.Version, Steps: p.Steps}
	return e.of(command{Op: opAdopt, Number: was + 1, Plan: next})
}

// Note says how far a step has come, as Next asks for it.
func (e Conductor) Note(number uint64, step int, stand Stand, move shardmap.MoveID) cluster.Command {
	return e.of(command{Op: opNote, Number: number, Step: step, Stand: stand, Move: move})
}

// Stop ends a plan: what is before its switch goes back, nothing starts. Only a later plan goes on.
func (e Conductor) Stop(number uint64, why string) cluster.Command {
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
		if p.Stopped == "" {
			p.Stopped = cmp.Or(c.Why, "stopped")
		}
		return nil, nil
	case c.Op != opNote:
		return nil, fmt.Errorf("plan: no command has the number %d", c.Op)
	case c.Step < 0 || c.Step >= len(p.Steps):
		return nil, cluster.ErrNotFound
	}
	was := p.Stands[c.Step]
	if c.Stand > Returned || c.Stand == Waits || was == Through || was == c.Stand {
		return nil, cluster.ErrStale
	}
	if p.Stands[c.Step] = c.Stand; c.Stand == Begun {
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
	next.Number, next.Stopped = c.Number, ""
	next.Stands = make([]Stand, len(next.Steps))
	for k, s := range next.Steps {
		if s.Way == Kept || s.Way == Back {
			next.Stands[k] = Begun
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
	if len(p.Stands) != len(p.Steps) || len(p.Text) > mostBytes {
		return fmt.Errorf("plan: %d steps, %d stands, %d bytes", len(p.Steps), len(p.Stands), len(p.Text))
	}
	for k, s := range p.Steps {
		bad := slices.ContainsFunc(s.Needs, func(n Need) bool { return n.Step < 0 || n.Step >= k }) ||
			slices.ContainsFunc(append(slices.Clone(s.Rules), s.After...), func(r int) bool {
				return r < 0 ||
					r > mostBytes
			})
		if bad || s.Way < Go || s.Way > Join || p.Stands[k] > Returned {
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
func (p *Progress) File() (*File, error) { return Read(p.Text, p.Name) }

// Through counts the steps that are.
func (p *Progress) Through() (n int) {
	for _, s := range p.Stands {
		if s == Through {
			n++
		}
	}
	return n
}
