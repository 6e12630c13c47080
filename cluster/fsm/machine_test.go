package fsm

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
)

// notes is a part that keeps the last thing it was told.
type notes struct{ last []byte }

func (n *notes) Apply(_ uint64, body []byte) ([]byte, error) {
	if string(body) == "stale" {
		return nil, fmt.Errorf("step 3: %w", cluster.ErrStale)
	}
	n.last = body
	return append([]byte("took "), body...), nil
}

func (n *notes) Snapshot() ([]byte, error) { return n.last, nil }

func (n *notes) Restore(b []byte) error {
	if string(b) == "half" {
		return errors.New("cut off")
	}
	n.last = b
	return nil
}

const notesPart = cluster.RebalanceComponent

func machine() (*Machine, *notes) {
	n := &notes{}
	return New(lease.NewTable(), map[byte]cluster.Component{notesPart: n}), n
}

// held is a machine in which session 1 has the task that the conductor acts by.
func held(t *testing.T) (*Machine, *notes, cluster.Epoch) {
	m, n := machine()
	_, err := m.Apply(1, EncodeCommand(lease.OpenSession("m1", 1)))
	require.NoError(t, err)
	_, err = m.Apply(2, EncodeCommand(lease.AcquireLeases(1, cluster.CoordinatorResource)))
	require.NoError(t, err)
	return m, n, 2
}

func TestFormerHolderChangesNothing(t *testing.T) {
	m, n, epoch := held(t)
	by := func(e cluster.Epoch, body string) []byte {
		return EncodeCommand(cluster.Command{Component: notesPart, FencedBy: cluster.CoordinatorResource, Epoch: e, Body: []byte(body)})
	}
	raw, err := m.Apply(3, by(epoch, "a"))
	require.NoError(t, err)
	assert.Equal(t, "took a", string(raw))
	_, err = m.Apply(4, EncodeCommand(lease.EndSession(1)))
	require.NoError(t, err)
	for _, e := range []cluster.Epoch{0, epoch, epoch + 1} {
		_, err = m.Apply(5, by(e, "b"))
		assert.ErrorIs(t, err, cluster.ErrFenced)
	}
	_, err = m.Apply(6, EncodeCommand(cluster.Command{Component: notesPart, Epoch: epoch, Body: []byte("c")}))
	assert.ErrorIs(t, err, cluster.ErrFenced, "an epoch of no task")
	assert.Equal(t, "a", string(n.last))
}

func TestVersionIsOfTheLastEntryThatWasTaken(t *testing.T) {
	m, _, _ := held(t)
	assert.Equal(t, []uint64{2, 0}, []uint64{m.ComponentVersion(cluster.LeaseComponent), m.ComponentVersion(notesPart)})
	for i, raw := range [][]byte{{0xff}, nil, EncodeCommand(cluster.Command{Component: '?'}),
		EncodeCommand(cluster.Command{Component: notesPart, Body: []byte("stale")})} {
		_, err := m.Apply(uint64(3+i), raw)
		assert.Error(t, err)
	}
	assert.Zero(t, m.ComponentVersion(notesPart))
	_, err := m.Apply(9, EncodeCommand(cluster.Command{Component: notesPart, Body: []byte("a")}))
	require.NoError(t, err)
	assert.Equal(t, []uint64{2, 9}, []uint64{m.ComponentVersion(cluster.LeaseComponent), m.ComponentVersion(notesPart)})
}

func TestRestoredMachineGoesOn(t *testing.T) {
	m, n, epoch := held(t)
	n.last = []byte("a")
	whole, err := m.Snapshot()
	require.NoError(t, err)
	other, kept := machine()
	require.NoError(t, other.Restore(whole))
	assert.Equal(t, "a", string(kept.last))
	assert.Equal(t, uint64(2), other.ComponentVersion(cluster.LeaseComponent))
	_, err = other.Apply(3, EncodeCommand(cluster.Command{Component: notesPart, FencedBy: cluster.CoordinatorResource, Epoch: epoch}))
	assert.NoError(t, err)
	again, err := other.ComponentSnapshot(cluster.LeaseComponent)
	require.NoError(t, err)
	assert.NoError(t, lease.NewTable().Restore(again))
	_, err = other.ComponentSnapshot('?')
	assert.ErrorIs(t, err, ErrUnreadable)
}

// Nothing of the state before may shine through: a part that the snapshot lacks is as at first.
func TestPartThatASnapshotLacksBeginsAnew(t *testing.T) {
	m, n, _ := held(t)
	n.last = []byte("a")
	before, err := New(lease.NewTable(), nil).Snapshot()
	require.NoError(t, err)
	require.NoError(t, m.Restore(before))
	assert.Empty(t, n.last)
	assert.Zero(t, m.ComponentVersion(cluster.LeaseComponent))
	_, err = m.Apply(3, EncodeCommand(lease.AcquireLeases(1, cluster.CoordinatorResource)))
	assert.ErrorIs(t, err, cluster.ErrNotFound)
}

func TestSnapshotThatCantBeTakenLeavesTheMachine(t *testing.T) {
	m, n, _ := held(t)
	n.last = []byte("a")
	before, err := m.Snapshot()
	require.NoError(t, err)
	book, err := lease.NewTable().Snapshot()
	require.NoError(t, err)
	for name, bad := range map[string]machineImage{
		"a newer format":      {Format: snapshotFormat + 1},
		"a part not known":    {Format: snapshotFormat, Components: []componentImage{{'?', 1, nil}}},
		"a part twice":        {Format: snapshotFormat, Components: []componentImage{{notesPart, 1, nil}, {notesPart, 1, nil}}},
		"a part that refuses": {Format: snapshotFormat, Components: []componentImage{{'L', 9, book}, {notesPart, 9, []byte("half")}}},
	} {
		raw, err := encoding.Marshal(bad)
		require.NoError(t, err)
		assert.Error(t, m.Restore(raw), name)
	}
	assert.ErrorIs(t, m.Restore(before[:len(before)-1]), ErrUnreadable)
	after, err := m.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, before, after)
}

func TestRefusalsCrossTheWire(t *testing.T) {
	for _, want := range codedErrors {
		assert.ErrorIs(t, ErrorFromCode(ErrorCode(fmt.Errorf("range 4: %w", want))), want)
	}
	assert.NoError(t, ErrorFromCode(ErrorCode(nil)))
	assert.ErrorIs(t, ErrorFromCode(ErrorCode(errors.New("a part's own"))), ErrUnreadable)
	assert.ErrorIs(t, ErrorFromCode(999), ErrUnreadable, "of a newer program")
}

func FuzzApply(f *testing.F) {
	f.Add(EncodeCommand(lease.OpenSession("m2", 1)))
	f.Add(EncodeCommand(lease.ReleaseLease(1, cluster.CoordinatorResource, 2)))
	f.Add(EncodeCommand(cluster.Command{Component: notesPart, FencedBy: cluster.CoordinatorResource, Epoch: 2, Body: []byte("a")}))
	f.Add([]byte{0xa1, 0x01, 0x18})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, _, _ := held(t)
		before, err := m.Snapshot()
		require.NoError(t, err)
		_, refused := m.Apply(3, raw)
		after, err := m.Snapshot()
		require.NoError(t, err)
		if refused != nil {
			require.Equal(t, before, after)
			require.Error(t, ErrorFromCode(ErrorCode(refused)))
		}
		if m.Restore(raw) != nil {
			again, err := m.Snapshot()
			require.NoError(t, err)
			require.Equal(t, after, again)
		}
	})
}
