package shardmap

import (
	"fmt"

	"rowanlink/cluster"
)

// Apply applies a command of the log and returns its encoded result. A command that is rejected changes nothing:
//   - cluster.ErrNotFound: there is no such range or move.
//   - cluster.ErrStale: the map or the move has advanced since the command was proposed.
//   - cluster.ErrAlreadyHeld: a lease is held by another member than the command requires.
func (m *Map) Apply(index uint64, body []byte) ([]byte, error) {
	var c command
	if err := codec.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("shardmap: decode command: %w", err)
	}
	result, err := m.apply(cluster.Version(index), c)
	if err != nil {
		return nil, err
	}
	m.Version = cluster.Version(index)
	return codec.Marshal(result)
}

// apply applies a decoded command. version is that of the map after the command.
func (m *Map) apply(version cluster.Version, c command) (result any, err error) {
	switch c.Op {
	case opInitialize:
		return nil, m.initialize(c)
	case opFailOver:
		return m.failOver(c.Takeovers)
	case opClearMove:
		return nil, m.clearMove(c)
	case opPlace:
		return nil, m.applyPlacement(version, c.Groups)
	case opConfirmPlacement:
		return nil, m.removeMisplaced(func(d MisplacedDestination) bool {
			return d.Grant.Range == c.Range && d.Grant.Epoch == c.Epoch && d.Grant.Since <= c.MapVersion
		})
	case opSweepMisplaced:
		return nil, m.removeMisplaced(func(d MisplacedDestination) bool { return !m.isHeld(d.Grant) })
	case opSplit, opMerge, opPlanMove, opConfirmOwner:
		return m.applyToRange(version, c)
	case opAdvanceMove, opRevertMove, opSwitchOwner:
		return nil, m.applyToMove(c)
	}
	return nil, fmt.Errorf("shardmap: unknown operation %d", c.Op)
}

// applyToRange applies a command that concerns the range c.Range.
func (m *Map) applyToRange(version cluster.Version, c command) (result any, err error) {
	i := m.indexOf(c.Range)
	if i < 0 {
		return nil, cluster.ErrNotFound
	}
	switch c.Op {
	case opSplit:
		return m.split(version, i, c.Key)
	case opMerge:
		return nil, m.merge(version, i, c.Other)
	case opPlanMove:
		return MoveID(version), m.planMove(MoveID(version), &m.Ranges[i], c)
	}
	return nil, m.confirmOwner(&m.Ranges[i], c)
}

// applyToMove applies a command that concerns the move c.Move, which must not have switched yet.
func (m *Map) applyToMove(c command) error {
	move := m.findMove(c.Move)
	switch {
	case move == nil:
		return cluster.ErrNotFound
	case move.Step == StepSwitched:
		return cluster.ErrStale
	case c.Op == opRevertMove:
		*move = Move{}
		return nil
	case c.Op == opSwitchOwner:
		return m.switchOwner(c)
	case c.Step != move.Step+1 || c.Step > StepHandoff:
		return cluster.ErrStale
	}
	move.Step = c.Step
	return nil
}
