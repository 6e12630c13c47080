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

// history is what callers and callbacks have seen, to be judged at the end.
type history struct {
	clock atomic.Int64

	mutex      sync.Mutex
	records    map[uint64]string // by revision: the committed record, encoded
	versions   map[uint64]uint64 // by revision: the configuration's version
	problems   []string
	operations []porcupine.Operation
	sent       []order
	accepted   []order // acknowledged
	refused    []order
	resent     []order
	without    []order         // changed nothing; in force only if they were sent again
	zones      map[string]bool // as last acknowledged; absent while unclear
}

// order is a configuration that was sent.
type order struct {
	basedOn       uint64
	configuration state.Configuration // of an amendment: its number, its own digest and what it adds
	amends        bool
}

// update is the change that the order asks for.
func (h *history) update(sent order) Update {
	if !sent.amends {
		return ReplaceConfiguration(sent.basedOn, sent.configuration)
	}
	accepted := state.AppliedUpdate{Version: sent.configuration.Version, Digest: sent.configuration.Digest}
	return AmendConfiguration(sent.basedOn, accepted, func(found state.Configuration) (state.Configuration, error) {
		if found.Version != sent.basedOn {
			h.mutex.Lock()
			h.problems = append(h.problems, fmt.Sprintf("version %d amended, not %d", found.Version, sent.basedOn))
			h.mutex.Unlock()
		}
		document := append(slices.Clone(found.Document), sent.configuration.Document...)
		return state.Configuration{Version: sent.configuration.Version, Digest: state.DigestOf(document), Document: document}, nil
	})
}

func newHistory() *history {
	return &history{records: map[uint64]string{}, versions: map[uint64]uint64{}, zones: map[string]bool{}}
}

// committed takes in a callback of one life of a process.
func (h *history) committed(record state.Record, told *uint64) {
	encoded, err := cbor.Marshal(record)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err != nil {
		h.problems = append(h.problems, err.Error())
	}
	if record.Revision <= *told {
		h.problems = append(h.problems, fmt.Sprintf("revision %d told after %d", record.Revision, *told))
	}
	*told = record.Revision
	if known, ok := h.records[record.Revision]; ok && known != string(encoded) {
		h.problems = append(h.problems, fmt.Sprintf("two records of revision %d", record.Revision))
	}
	h.records[record.Revision] = string(encoded)
	h.versions[record.Revision] = record.Configuration.Version
}

// The operations of the model: a register of versions with compare-and-set that knows the orders that it has taken.
type input struct {
	read    bool
	basedOn uint64
	version uint64
	digest  state.Digest
}

type output struct {
	version uint64 // read
	done    bool   // set: acknowledged
	unclear bool
}

// modelState is the version in force and the orders that were taken, one after the other.
type modelState struct {
	version uint64
	taken   string
}

// name tells orders apart in modelState.taken.
func (i *input) name() string { return fmt.Sprintf("%d:%v;", i.version, i.digest) }

// model is what the callers may rely on.
var model = porcupine.Model{
	Init: func() any { return modelState{} },
	Step: func(current, in, out any) (bool, any) {
		now, asked, got := current.(modelState), in.(input), out.(output)
		taken := strings.Contains(now.taken, asked.name())
		fits := asked.basedOn == now.version && asked.version > now.version
		next := modelState{version: asked.version, taken: now.taken + asked.name()}
		switch {
		case asked.read:
			return got.version == now.version, now
		case got.unclear && (taken || !fits):
			return true, now
		case got.unclear:
			return true, next
		case got.done && taken:
			return true, now
		case got.done:
			return fits, next
		default:
			return !taken && !fits, now
		}
	},
}

// tick returns a time of the history's own, so that no two events share one.
func (h *history) tick() int64 { return h.clock.Add(1) }

func (h *history) note(client int, in input, out output, call int64) {
	returned := h.tick()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if out.unclear {
		returned = 1 << 50 // it may take effect at any time
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: returned})
}

// callerPatience is how long the simulated callers wait.
const callerPatience = 1500 * time.Millisecond

// replace sends a configuration through a machine's process.
func (s *simulation) replace(m *machine, client int, basedOn, version uint64) error {
	process := m.running()
	if process == nil {
		return errSilence
	}
	document := fmt.Appendf(nil, "%d of client %d on %d", version, client, basedOn)
	sent := order{basedOn: basedOn, amends: version%3 == 0, configuration: state.Configuration{Version: version,
		Digest: state.DigestOf(document), Document: document}}
	s.history.mutex.Lock()
	s.history.sent = append(s.history.sent, sent)
	s.history.mutex.Unlock()
	return s.send(process, client, sent)
}

func (h *history) replaced(client int, sent order, err error, call int64) {
	in := input{basedOn: sent.basedOn, version: sent.configuration.Version, digest: sent.configuration.Digest}
	switch {
	case err == nil:
		h.note(client, in, output{done: true}, call)
		h.mutex.Lock()
		h.accepted = append(h.accepted, sent)
		h.mutex.Unlock()
	case errcode.RegisterInDoubt.Is(err):
		h.note(client, in, output{unclear: true}, call)
	case errcode.VersionConflict.Is(err) || errcode.VersionNotAbove.Is(err):
		h.note(client, in, output{}, call)
		h.mutex.Lock()
		h.refused = append(h.refused, sent)
		h.mutex.Unlock()
	default: // RegisterUnavailable, RegisterNotReady: nothing was changed by this call
		h.mutex.Lock()
		h.without = append(h.without, sent)
		h.mutex.Unlock()
	}
}

// resend sends an order once more as it was, through any machine: what was acknowledged before is acknowledged again or
// gets no answer, and what is refused never was in force. The model judges it.
func (s *simulation) resend(m *machine, which, client int) {
	h := s.history
	h.mutex.Lock()
	process := m.running()
	if len(h.sent) == 0 || process == nil {
		h.mutex.Unlock()
		return
	}
	sent := h.sent[which%len(h.sent)]
	h.resent = append(h.resent, sent)
	h.mutex.Unlock()
	s.send(process, client, sent)
}

// send sends an order through a process and notes what came of it.
func (s *simulation) send(process *process, client int, sent order) error {
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	call := s.history.tick()
	_, err := process.node.Change(ctx, s.history.update(sent))
	s.history.replaced(client, sent, err, call)
	return err
}

// same tells whether two orders are one that was sent twice.
func (o order) same(other order) bool {
	return o.basedOn == other.basedOn && o.configuration.Version == other.configuration.Version &&
		o.configuration.Digest == other.configuration.Digest
}

// read reads through a machine's process.
func (s *simulation) read(m *machine, client int) (state.Record, error) {
	process := m.running()
	if process == nil {
		return state.Record{}, errSilence
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	call := s.history.tick()
	record, err := process.node.Read(ctx)
	if err == nil {
		s.history.note(client, input{read: true}, output{version: record.Configuration.Version}, call)
	}
	return record, err
}

// evacuate begins or ends an evacuation; one client at a time.
func (s *simulation) evacuate(m *machine, zone string, active bool) error {
	process := m.running()
	if process == nil {
		return errSilence
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	_, err := process.node.Change(ctx, SetEvacuation(zone, active))
	s.history.mutex.Lock()
	defer s.history.mutex.Unlock()
	if err == nil {
		s.history.zones[zone] = active
	} else if errcode.RegisterInDoubt.Is(err) {
		delete(s.history.zones, zone)
	}
	return err
}

// judge reads the record back and checks everything that was seen against it.
func (s *simulation) judge(t *testing.T) {
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
	h.judgeOrders(t, &final)
	h.judgeRevisions(t)
	for zone, active := range h.zones {
		assert.Equal(t, active, final.Evacuated(zone), "evacuation of %s", zone)
	}
	checked := porcupine.CheckOperationsTimeout(model, h.operations, 20*time.Second)
	assert.NotEqual(t, porcupine.Illegal, checked, "history is not linearizable: %v", h.operations)
}

// judgeOrders: what was acknowledged is kept, what was refused never was in force, and of two orders on one base only
// one was acknowledged.
func (h *history) judgeOrders(t *testing.T, final *state.Record) {
	bases := map[uint64]state.Digest{}
	for _, sent := range h.accepted {
		c := sent.configuration
		assert.True(t, final.WasApplied(c.Version, c.Digest), "acknowledged version %d is lost", c.Version)
		if other, ok := bases[sent.basedOn]; ok {
			assert.Equal(t, other, c.Digest, "two orders on version %d were acknowledged", sent.basedOn)
		}
		bases[sent.basedOn] = c.Digest
	}
	for _, sent := range h.without {
		if !slices.ContainsFunc(h.resent, sent.same) {
			assert.False(t, final.WasApplied(sent.configuration.Version, sent.configuration.Digest),
				"version %d, of which nothing was changed, was in force", sent.configuration.Version)
		}
	}
	for _, sent := range h.refused {
		c := sent.configuration
		assert.False(t, final.WasApplied(c.Version, c.Digest), "refused version %d was in force", c.Version)
	}
}

// judgeRevisions: versions never go back from one revision to a later one.
func (h *history) judgeRevisions(t *testing.T) {
	for revision, version := range h.versions {
		for later, other := range h.versions {
			if later > revision {
				assert.GreaterOrEqual(t, other, version, "revision %d has an older version than %d", later, revision)
			}
		}
	}
}
