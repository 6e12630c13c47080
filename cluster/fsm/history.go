package fsm

// SnapshotHistory retains recent snapshots of one component, so that a member that has an earlier snapshot gets the
// delta instead of the full one. It is not safe for concurrent use.
type SnapshotHistory struct {
	snapshots []retainedSnapshot // by rising version
	bytes     int                // of all snapshots
}

type retainedSnapshot struct {
	version uint64
	data    []byte
	delta   []byte // from this snapshot to the newest one; nil: not computed yet
}

const (
	maxSnapshots     = 16
	maxRetainedBytes = 32 << 20 // of all snapshots but the newest
)

// NewestVersion returns the version of the newest snapshot; 0 if there is none.
func (h *SnapshotHistory) NewestVersion() uint64 {
	if len(h.snapshots) == 0 {
		return 0
	}
	return h.snapshots[len(h.snapshots)-1].version
}

// Add adds a snapshot as the newest one. A version below the newest means that the log was recreated; the earlier
// snapshots are then dropped.
func (h *SnapshotHistory) Add(version uint64, data []byte) {
	switch {
	case version < h.NewestVersion():
		*h = SnapshotHistory{}
	case version == h.NewestVersion():
		return
	}
	for i := range h.snapshots {
		h.snapshots[i].delta = nil
	}
	h.snapshots = append(h.snapshots, retainedSnapshot{version: version, data: data})
	h.bytes += len(data)
	h.evict()
}

func (h *SnapshotHistory) evict() {
	newest := h.snapshots[len(h.snapshots)-1].data
	for len(h.snapshots) > maxSnapshots || len(h.snapshots) > 1 && h.bytes-len(newest) > maxRetainedBytes {
		h.bytes -= len(h.snapshots[0].data)
		h.snapshots = append([]retainedSnapshot(nil), h.snapshots[1:]...) // copied to free the first
	}
}

// DeltaSince returns what a member that has the snapshot of the given version needs to get the newest one. Either
// base is that version and data is the delta for ApplyDelta, or base is 0 and data is the full snapshot, since the
// version is not retained or the delta would not be much smaller. The history must not be empty.
func (h *SnapshotHistory) DeltaSince(version uint64) (base uint64, data []byte) {
	last := len(h.snapshots) - 1
	newest := h.snapshots[last].data
	for i := range h.snapshots[:last] {
		s := &h.snapshots[i]
		if s.version != version {
			continue
		}
		if s.delta == nil {
			s.delta = encodeDelta(s.data, newest)
		}
		if len(s.delta) < len(newest)/2 {
			return version, s.delta
		}
	}
	return 0, newest
}
