package register

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
)

// history records what the callers and callbacks observe, for the checks at the end.
type history struct {
	clock atomic.Int64

	mutex        sync.Mutex
	records      map[uint64]string // by revision: the committed record, encoded
	versions     map[uint64]uint64 // by revision: the configuration's version
	problems     []string
	operations   []porcupine.Operation
	sent         []sentUpdate
	acknowledged []sentUpdate
	rejected     []sentUpdate
	resent       []sentUpdate
	unavailable  []sentUpdate    // their error says that nothing was changed; in force only if resent
	evacuations  map[string]bool // by zone: the last acknowledged state; absent while in doubt
}

// sentUpdate is a replacement or an amendment of the configuration that was sent.
type sentUpdate struct {
	basedOn       uint64
	configuration state.Configuration // of an amendment: its version, its own digest and the text that it appends
	isAmendment   bool
}

// update returns the register's update for a sent one.
func (h *history) update(sent sentUpdate) Update {
	if !sent.isAmendment {
		return ReplaceConfiguration(sent.basedOn, sent.configuration)
	}
	applied := state.AppliedUpdate{Version: sent.configuration.Version, Digest: sent.configuration.Digest}
	return AmendConfiguration(sent.basedOn, applied, func(found state.Configuration) (state.Configuration, error) {
		if found.Version != sent.basedOn {
			h.mutex.Lock()
			h.problems = append(h.problems, fmt.Sprintf("version %d amended, not %d", found.Version, sent.basedOn))
			h.mutex.Unlock()
		}
		document := append(slices.Clone(found.Document), sent.configuration.Document...)
		return state.Configuration{
			Version:  sent.configuration.Version,
			Digest:   state.DigestOf(document),
			Document: document,
		}, nil
	})
}

func newHistory() *history {
	return &history{records: map[uint64]string{}, versions: map[uint64]uint64{}, evacuations: map[string]bool{}}
}

// recordCommitted records a callback of one run of a process.
func (h *history) recordCommitted(record state.Record, lastNotified *uint64) {
	encoded, err := cbor.Marshal(record)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err != nil {
		h.problems = append(h.problems, err.Error())
	}
	if record.Revision <= *lastNotified {
		h.problems = append(h.problems, fmt.Sprintf("revision %d notified after %d", record.Revision, *lastNotified))
	}
	*lastNotified = record.Revision
	if known, ok := h.records[record.Revision]; ok && known != string(encoded) {
		h.problems = append(h.problems, fmt.Sprintf("two records of revision %d", record.Revision))
	}
	h.records[record.Revision] = string(encoded)
	h.versions[record.Revision] = record.Configuration.Version
}

// input is an operation of the model, which is a register of versions with compare-and-set that remembers the updates
// that it has applied.
type input struct {
	read    bool
	basedOn uint64
	version uint64
	digest  state.Digest
}

type output struct {
	version uint64 // read
	done    bool   // set: acknowledged
	inDoubt bool
}

// modelState is the present version and the updates that were applied, in order.
type modelState struct {
	version uint64
	applied string
}

// key identifies an update in modelState.applied.
func (i *input) key() string { return fmt.Sprintf("%d:%v;", i.version, i.digest) }

// model is the sequential specification that callers may rely on.
var model = porcupine.Model{
	Init: func() any { return modelState{} },
	Step: func(current, in, out any) (bool, any) {
		now, operation, result := current.(modelState), in.(input), out.(output)
		applied := strings.Contains(now.applied, operation.key())
		fits := operation.basedOn == now.version && operation.version > now.version
		next := modelState{version: operation.version, applied: now.applied + operation.key()}
		switch {
		case operation.read:
			return result.version == now.version, now
		case result.inDoubt && (applied || !fits):
			return true, now
		case result.inDoubt:
			return true, next
		case result.done && applied:
			return true, now
		case result.done:
			return fits, next
		default:
			return !applied && !fits, now
		}
	},
}

// neverReturned is the return time of an operation whose result is in doubt: it may take effect at any later time.
const neverReturned = 1 << 50

// tick returns the next logical time, so that no two events share one.
func (h *history) tick() int64 { return h.clock.Add(1) }

// addOperation adds an operation that has just returned.
func (h *history) addOperation(client int, in input, out output, call int64) {
	returned := h.tick()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if out.inDoubt {
		returned = neverReturned
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client,
		Input:    in,
		Call:     call,
		Output:   out,
		Return:   returned,
	})
}

// callerTimeout bounds the calls of the simulated callers.
const callerTimeout = 1500 * time.Millisecond

// replace sends a configuration through a machine's process.
func (s *simulation) replace(m *machine, client int, basedOn, version uint64) error {
	process := m.running()
	if process == nil {
		return errNoAnswer
	}
	document := fmt.Appendf(nil, "%d of client %d on %d", version, client, basedOn)
	sent := sentUpdate{
		basedOn:     basedOn,
		isAmendment: version%3 == 0,
		configuration: state.Configuration{
			Version:  version,
			Digest:   state.DigestOf(document),
			Document: document,
		},
	}
	s.history.mutex.Lock()
	s.history.sent = append(s.history.sent, sent)
	s.history.mutex.Unlock()
	return s.send(process, client, sent)
}

// recordResult records the result of an update that was sent at the logical time call.
func (h *history) recordResult(client int, sent sentUpdate, err error, call int64) {
	in := input{basedOn: sent.basedOn, version: sent.configuration.Version, digest: sent.configuration.Digest}
	switch {
	case err == nil:
		h.addOperation(client, in, output{done: true}, call)
		h.mutex.Lock()
		h.acknowledged = append(h.acknowledged, sent)
		h.mutex.Unlock()
	case errcode.RegisterInDoubt.Is(err):
		h.addOperation(client, in, output{inDoubt: true}, call)
	case errcode.VersionConflict.Is(err) || errcode.VersionNotAbove.Is(err):
		h.addOperation(client, in, output{}, call)
		h.mutex.Lock()
		h.rejected = append(h.rejected, sent)
		h.mutex.Unlock()
	default: // RegisterUnavailable, RegisterNotReady: nothing was changed by this call
		h.mutex.Lock()
		h.unavailable = append(h.unavailable, sent)
		h.mutex.Unlock()
	}
}

// resend repeats an earlier update through any machine. The model checks the result: an update that was acknowledged
// must be acknowledged again or get no answer, and one that is rejected must never have been in force.
func (s *simulation) resend(m *machine, index, client int) {
	h := s.history
	h.mutex.Lock()
	process := m.running()
	if len(h.sent) == 0 || process == nil {
		h.mutex.Unlock()
		return
	}
	sent := h.sent[index%len(h.sent)]
	h.resent = append(h.resent, sent)
	h.mutex.Unlock()
	_ = s.send(process, client, sent) // recorded in the history
}

// send sends an update through a process and records the result.
func (s *simulation) send(process *processRun, client int, sent sentUpdate) error {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	call := s.history.tick()
	_, err := process.node.Change(ctx, s.history.update(sent))
	s.history.recordResult(client, sent, err, call)
	return err
}

// isSameAs reports whether two sent updates are the same one.
func (o sentUpdate) isSameAs(other sentUpdate) bool {
	return o.basedOn == other.basedOn && o.configuration.Version == other.configuration.Version &&
		o.configuration.Digest == other.configuration.Digest
}

// read reads the record through a machine's process and records the result.
func (s *simulation) read(m *machine, client int) (state.Record, error) {
	process := m.running()
	if process == nil {
		return state.Record{}, errNoAnswer
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	call := s.history.tick()
	record, err := process.node.Read(ctx)
	if err == nil {
		s.history.addOperation(client, input{read: true}, output{version: record.Configuration.Version}, call)
	}
	return record, err
}

// evacuate begins or ends an evacuation. Only one client may do so at a time.
func (s *simulation) evacuate(m *machine, zone string, active bool) error {
	process := m.running()
	if process == nil {
		return errNoAnswer
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	_, err := process.node.Change(ctx, SetEvacuation(zone, active))
	s.history.mutex.Lock()
	defer s.history.mutex.Unlock()
	if err == nil {
		s.history.evacuations[zone] = active
	} else if errcode.RegisterInDoubt.Is(err) {
		delete(s.history.evacuations, zone)
	}
	return err
}

// checkHistory reads the final record and checks all observations against it.
func (s *simulation) checkHistory(t *testing.T) {
	t.Helper()
	var final state.Record
	var err error
	for range 10 {
		if final, err = s.read(s.machines[len(s.machines)-1], 0); err == nil {
			break
		}
	}
	require.NoError(t, err, "final read")
	h := s.history
	h.mutex.Lock()
	defer h.mutex.Unlock()
	require.Empty(t, h.problems)
	h.checkUpdates(t, &final)
	h.checkRevisions(t)
	for zone, active := range h.evacuations {
		assert.Equal(t, active, final.Evacuated(zone), "evacuation of %s", zone)
	}
	checked := porcupine.CheckOperationsTimeout(model, h.operations, 20*time.Second)
	assert.NotEqual(t, porcupine.Illegal, checked, "history is not linearizable: %v", h.operations)
}

// checkUpdates checks that acknowledged updates are in the record, that rejected ones never were in force, that ones
// whose error said that nothing was changed never were in force unless they were resent, and that at most one of
// several updates on one base was acknowledged.
func (h *history) checkUpdates(t *testing.T, final *state.Record) {
	bases := map[uint64]state.Digest{}
	for _, sent := range h.acknowledged {
		c := sent.configuration
		assert.True(t, final.WasApplied(c.Version, c.Digest), "acknowledged version %d is lost", c.Version)
		if other, ok := bases[sent.basedOn]; ok {
			assert.Equal(t, other, c.Digest, "two updates on version %d were acknowledged", sent.basedOn)
		}
		bases[sent.basedOn] = c.Digest
	}
	for _, sent := range h.unavailable {
		if !slices.ContainsFunc(h.resent, sent.isSameAs) {
			assert.False(t, final.WasApplied(sent.configuration.Version, sent.configuration.Digest),
				"version %d was in force though its error said that nothing was changed", sent.configuration.Version)
		}
	}
	for _, sent := range h.rejected {
		c := sent.configuration
		assert.False(t, final.WasApplied(c.Version, c.Digest), "rejected version %d was in force", c.Version)
	}
}

// checkRevisions checks that the version never decreases from one revision to a later one.
func (h *history) checkRevisions(t *testing.T) {
	for revision, version := range h.versions {
		for later, other := range h.versions {
			if later > revision {
				assert.GreaterOrEqual(t, other, version, "revision %d has an older version than %d", later, revision)
			}
		}
	}
}
