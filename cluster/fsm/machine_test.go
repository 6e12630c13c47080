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

// stubComponent records the last command that it executed.
type stubComponent struct{ last []byte }

func (c *stubComponent) Apply(_ uint64, body []byte) ([]byte, error) {
	if string(body) == "stale" {
		return nil, fmt.Errorf("step 3: %w", cluster.ErrStale)
	}
	c.last = body
	return append([]byte("applied "), body...), nil
}

func (c *stubComponent) Snapshot() ([]byte, error) { return c.last, nil }

func (c *stubComponent) Restore(b []byte) error {
	if string(b) == "half" {
		return errors.New("cut off")
	}
	c.last = b
	return nil
}

const stubID = cluster.RebalanceComponent

func newMachine() (*Machine, *stubComponent) {
	stub := &stubComponent{}
	return New(lease.NewTable(), map[cluster.ComponentID]cluster.Component{stubID: stub}), stub
}

// machineWithLease returns a machine in which session 1 holds the coordinator's lease with the returned epoch.
func machineWithLease(t *testing.T) (*Machine, *stubComponent, cluster.Epoch) {
	t.Helper()
	m, stub := newMachine()
	_, err := m.Apply(1, EncodeCommand(lease.OpenSession("m1", 1)))
	require.NoError(t, err)
	_, err = m.Apply(2, EncodeCommand(lease.AcquireLeases(1, cluster.CoordinatorResource)))
	require.NoError(t, err)
	return m, stub, 2
}

// fencedCommand returns a command that is fenced by the coordinator's lease.
func fencedCommand(e cluster.Epoch, body string) cluster.Command {
	return cluster.Command{
		Component: stubID,
		FencedBy:  cluster.CoordinatorResource,
		Epoch:     e,
		Body:      []byte(body),
	}
}

func TestMachine_FencesFormerHolder(t *testing.T) {
	m, stub, epoch := machineWithLease(t)
	fenced := func(e cluster.Epoch, body string) []byte {
		return EncodeCommand(fencedCommand(e, body))
	}
	raw, err := m.Apply(3, fenced(epoch, "a"))
	require.NoError(t, err)
	assert.Equal(t, "applied a", string(raw))
	_, err = m.Apply(4, EncodeCommand(lease.EndSession(1)))
	require.NoError(t, err)
	for _, e := range []cluster.Epoch{0, epoch, epoch + 1} {
		_, err = m.Apply(5, fenced(e, "b"))
		assert.ErrorIs(t, err, cluster.ErrFenced)
	}
	_, err = m.Apply(6, EncodeCommand(cluster.Command{Component: stubID, Epoch: epoch, Body: []byte("c")}))
	assert.ErrorIs(t, err, cluster.ErrFenced, "an epoch of no resource")
	assert.Equal(t, "a", string(stub.last))
}

func TestMachine_VersionIsOfTheLastAppliedEntry(t *testing.T) {
	m, _, _ := machineWithLease(t)
	assert.Equal(t, []uint64{2, 0}, []uint64{m.ComponentVersion(cluster.LeaseComponent), m.ComponentVersion(stubID)})
	for i, raw := range [][]byte{{0xff}, nil, EncodeCommand(cluster.Command{Component: '?'}),
		EncodeCommand(cluster.Command{Component: stubID, Body: []byte("stale")})} {
		_, err := m.Apply(uint64(3+i), raw)
		assert.Error(t, err)
	}
	assert.Zero(t, m.ComponentVersion(stubID))
	_, err := m.Apply(9, EncodeCommand(cluster.Command{Component: stubID, Body: []byte("a")}))
	require.NoError(t, err)
	assert.Equal(t, []uint64{2, 9}, []uint64{m.ComponentVersion(cluster.LeaseComponent), m.ComponentVersion(stubID)})
}

func TestMachine_RestoredMachineContinues(t *testing.T) {
	m, stub, epoch := machineWithLease(t)
	stub.last = []byte("a")
	snapshot, err := m.Snapshot()
	require.NoError(t, err)
	other, otherStub := newMachine()
	require.NoError(t, other.Restore(snapshot))
	assert.Equal(t, "a", string(otherStub.last))
	assert.Equal(t, uint64(2), other.ComponentVersion(cluster.LeaseComponent))
	_, err = other.Apply(3, EncodeCommand(fencedCommand(epoch, "")))
	assert.NoError(t, err)
	leases, err := other.ComponentSnapshot(cluster.LeaseComponent)
	require.NoError(t, err)
	assert.NoError(t, lease.NewTable().Restore(leases))
	_, err = other.ComponentSnapshot('?')
	assert.ErrorIs(t, err, ErrUnreadable)
}

// Nothing of the previous state may remain: a component that the snapshot lacks gets its initial state.
func TestMachine_ComponentMissingInSnapshotIsReset(t *testing.T) {
	m, stub, _ := machineWithLease(t)
	stub.last = []byte("a")
	before, err := New(lease.NewTable(), nil).Snapshot()
	require.NoError(t, err)
	require.NoError(t, m.Restore(before))
	assert.Empty(t, stub.last)
	assert.Zero(t, m.ComponentVersion(cluster.LeaseComponent))
	_, err = m.Apply(3, EncodeCommand(lease.AcquireLeases(1, cluster.CoordinatorResource)))
	assert.ErrorIs(t, err, cluster.ErrNotFound)
}

func TestMachine_RejectedSnapshotChangesNothing(t *testing.T) {
	m, stub, _ := machineWithLease(t)
	stub.last = []byte("a")
	before, err := m.Snapshot()
	require.NoError(t, err)
	leases, err := lease.NewTable().Snapshot()
	require.NoError(t, err)
	for name, bad := range map[string]machineImage{
		"a newer format":       {Format: snapshotFormat + 1},
		"an unknown component": {Format: snapshotFormat, Components: []componentImage{{Component: '?', Version: 1}}},
		"a duplicate component": {Format: snapshotFormat, Components: []componentImage{
			{Component: stubID, Version: 1},
			{Component: stubID, Version: 1},
		}},
		"a component that rejects its part": {Format: snapshotFormat, Components: []componentImage{
			{Component: cluster.LeaseComponent, Version: 9, Snapshot: leases},
			{Component: stubID, Version: 9, Snapshot: []byte("half")},
		}},
	} {
		raw, err := codec.Marshal(bad)
		require.NoError(t, err)
		assert.Error(t, m.Restore(raw), name)
	}
	assert.ErrorIs(t, m.Restore(before[:len(before)-1]), ErrUnreadable)
	after, err := m.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, before, after)
}

func TestErrorCode_RoundTrip(t *testing.T) {
	for _, want := range codedErrors {
		assert.ErrorIs(t, ErrorFromCode(ErrorCode(fmt.Errorf("range 4: %w", want))), want)
	}
	assert.NoError(t, ErrorFromCode(ErrorCode(nil)))
	assert.ErrorIs(t, ErrorFromCode(ErrorCode(errors.New("a component's own"))), ErrUnreadable)
	assert.ErrorIs(t, ErrorFromCode(999), ErrUnreadable, "of a newer program")
}

func FuzzApply(f *testing.F) {
	f.Add(EncodeCommand(lease.OpenSession("m2", 1)))
	f.Add(EncodeCommand(lease.ReleaseLease(1, cluster.CoordinatorResource, 2)))
	f.Add(EncodeCommand(fencedCommand(2, "a")))
	f.Add([]byte{0xa1, 0x01, 0x18})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, _, _ := machineWithLease(t)
		before, err := m.Snapshot()
		require.NoError(t, err)
		_, applyErr := m.Apply(3, raw)
		after, err := m.Snapshot()
		require.NoError(t, err)
		if applyErr != nil {
			require.Equal(t, before, after)
			require.Error(t, ErrorFromCode(ErrorCode(applyErr)))
		}
		if m.Restore(raw) != nil {
			again, err := m.Snapshot()
			require.NoError(t, err)
			require.Equal(t, after, again)
		}
	})
}
