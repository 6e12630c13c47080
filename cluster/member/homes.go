package member

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/timing"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// Ownership keeps a member's homes as the map names them: it asks for their tasks, says by which grant it serves,
// and lets go of those that go elsewhere.
type Ownership struct {
	self          cluster.MemberID
	leaseTTL      api.Micros
	now           func() api.Micros
	session       *Session
	local         LocalWork
	onChange      func()       // something is to be looked at; does not wait
	closures      sync.Map     // fleet.RangeID to shutting, of a move that is about to switch
	inactiveSince atomic.Int64 // since when there is no session; api.Never while there is

	shardMap    atomic.Pointer[shardmap.Map]
	reconcileMu sync.Mutex   // one look at a time
	admissionMu sync.RWMutex // open from a webhook's admission until it is in; shut is set while it is closed
}

// LocalWork is the member's dispatcher as far as its homes go.
type LocalWork interface {
	CallsInFlight(shardmap.Range) int // calls out of a range
	CallsInFlightTo([]api.DestinationID) int
	PendingWebhooks(shardmap.Range) int   // webhooks of it that have not gone over
	StateTransferred(shardmap.Range) bool // its move's target knows what was learned
	InDoubt(shardmap.MoveID) int          // webhooks that a move's other side may have
}

// Map is the newest map that this member has.
func (h *Ownership) Map() *shardmap.Map { return h.shardMap.Load() }

// ApplySnapshot takes a newer map.
func (h *Ownership) ApplySnapshot(snapshot []byte) {
	next := shardmap.New(nil)
	if err := next.Restore(snapshot); err != nil {
		slog.Error("map of ranges not read, the old one stays", "why", err)
		return
	}
	if was := h.shardMap.Load(); was != nil && was.Version > next.Version {
		return
	}
	h.shardMap.Store(next)
	h.onChange()
}

// Claimant is this member as far as its right to call goes.
func (h *Ownership) Claimant() shardmap.LocalMember {
	return shardmap.LocalMember{Member: h.self, HeldEpoch: h.session.Holds,
		Isolated: shardmap.IsolationSuspected(api.Micros(h.inactiveSince.Load()), h.now(), h.leaseTTL)}
}

// Verdict is what this member does with webhooks of a destination, now.
func (h *Ownership) Verdict(d api.DestinationID) shardmap.Decision {
	chart := h.shardMap.Load()
	if chart == nil {
		return shardmap.Decision{Action: shardmap.ParkUnmapped}
	}
	return chart.DecideDestination(h.Claimant(), d)
}

// VerdictForKey is the same for whatever stands at a place among the ranges.
func (h *Ownership) VerdictForKey(key cluster.KeyHash) shardmap.Decision {
	chart := h.shardMap.Load()
	if chart == nil {
		return shardmap.Decision{Action: shardmap.ParkUnmapped}
	}
	return chart.DecideKey(h.Claimant(), key)
}

// Reconcile does what the map and the grants ask for now; it is called whenever one of them changed, and now and
// then: a proposal may have been lost. After one that no leader answered nothing more is proposed: guards
// against a look that takes a part of a term for each of many ranges, while grants end and homes are let go.
func (h *Ownership) Reconcile() {
	h.reconcileMu.Lock()
	defer h.reconcileMu.Unlock()
	chart, reached := h.shardMap.Load(), true
	if chart == nil {
		return
	}
	say := func(what string, r shardmap.Range, c cluster.Command) { reached = reached && h.proposeFor(what, r, c) }
	for _, r := range chart.Ranges {
		task := cluster.RangeOwnerResource(r.ID)
		epoch, held := h.session.Holds(task)
		switch {
		case held && h.mayLeave(r):
			h.releaseRange(r, task, epoch)
		case !held && r.ShouldAcquire(h.self):
			h.session.Acquire(task)
		case !held:
			h.session.CancelAcquire(task)
		case held && r.Owner == h.self && epoch > r.Epoch && r.Move.Step != shardmap.StepHandoff:
			say("home taken", r, shardmap.ConfirmOwner(r.ID, h.self, epoch, chart.Version))
		case held && r.Move.Step == shardmap.StepHandoff && r.Move.To == h.self:
			say("home switched", r, shardmap.SwitchOwner(r.Move.ID, r.ID, h.self, epoch))
		}
		if r.Move.Step == shardmap.StepSwitched && h.mustClear(r.Move) && h.local.InDoubt(r.Move.ID) == 0 {
			say("move cleared", r, shardmap.ClearMove(r.Move.ID, h.self))
		}
	}
	for u, of := range chart.MisplacedByGrant(h.Claimant()) {
		if h.local.CallsInFlightTo(of) == 0 {
			say("destinations let go", shardmap.Range{ID: u.Range}, shardmap.ConfirmPlacement(u.Range, u.Epoch, chart.Version))
		}
	}
	h.reopenRanges(chart)
	for _, v := range chart.DetachedMoves {
		if h.mustClear(v) && h.local.InDoubt(v.ID) == 0 {
			say("move cleared", shardmap.Range{Move: v}, shardmap.ClearMove(v.ID, h.self))
		}
	}
}

// releaseRange gives up a home that goes elsewhere as soon as it may. What came before the range was shut is counted
// at the next look.
func (h *Ownership) releaseRange(r shardmap.Range, task cluster.Resource, epoch cluster.Epoch) {
	out, owed := h.local.CallsInFlight(r), h.local.PendingWebhooks(r)
	if h.local.StateTransferred(r) && r.ShouldCloseIntake(h.self, out, owed, MaxBatch) && h.closeAdmission(r) {
		return
	}
	s, shut := h.closures.Load(r.ID)
	shut = shut && s.(closure).move == r.Move.ID
	passes := r.Move.Step == shardmap.StepHandoff && r.Owner == h.self
	if r.ShouldRelease(h.self, out, owed) && (shut || !passes) {
		h.session.Release(task)
		slog.Info("home let go", "range", r.ID, "epoch", epoch)
	}
}

// closeAdmission has nothing more taken on for a range whose move is about to switch, and tells whether that is new.
// Guards order by key: what came after the last count would go over behind what the target takes by then.
func (h *Ownership) closeAdmission(r shardmap.Range) (fresh bool) {
	was, known := h.closures.Load(r.ID)
	if known && was.(closure).move == r.Move.ID {
		return false
	}
	h.admissionMu.Lock()
	h.closures.Store(r.ID, closure{r.Move.ID, h.now()})
	h.admissionMu.Unlock()
	h.onChange()
	return true
}

// IsClosed is whether a webhook by this verdict has to wait for the switch.
func (h *Ownership) IsClosed(v shardmap.Decision) bool {
	s, known := h.closures.Load(v.Range)
	return known && v.Action == shardmap.ParkOwned && v.Move.IsOpen() && s.(closure).move == v.Move.ID
}

// closure is since when a range is shut, for which move.
type closure struct {
	move  shardmap.MoveID
	since api.Micros
}

// closureLimitDivisor is the part of a term for which a range is shut at the most before its home is let go: guards
// against clients that are turned away for as long as the target can't be reached.
const closureLimitDivisor = 4

// reopenRanges forgets ranges whose move has switched or gone back, or goes over too slowly.
func (h *Ownership) reopenRanges(chart *shardmap.Map) {
	h.closures.Range(func(id, is any) bool {
		r, ok := chart.RangeByID(id.(cluster.RangeID))
		s := is.(closure)
		_, held := h.session.Holds(cluster.RangeOwnerResource(r.ID))
		if !ok || r.Move.ID != s.move || r.Move.Step != shardmap.StepHandoff || r.Owner != h.self ||
			held && h.now()-s.since > h.leaseTTL/closureLimitDivisor {
			h.closures.Delete(id)
		}
		return true
	})
}

// mayLeave is whether a range that is held here may be on its way elsewhere: only then its calls are counted.
func (h *Ownership) mayLeave(r shardmap.Range) bool {
	return !r.ShouldAcquire(h.self) || r.Move.Step == shardmap.StepHandoff && r.Owner == h.self
}

// mustClear is whether this member has yet to say that it has no copies left of a switched move.
func (h *Ownership) mustClear(v shardmap.Move) bool {
	return v.From == h.self && !v.SourceCleared || v.To == h.self && !v.TargetCleared
}

// proposeFor proposes what one range needs, and tells whether a leader answered. A refusal means that the map went
// on: the next one tells what holds.
func (h *Ownership) proposeFor(what string, r shardmap.Range, c cluster.Command) (reached bool) {
	if _, err := h.Propose(c); err != nil {
		level := slog.LevelWarn
		if errors.Is(err, cluster.ErrStale) || errors.Is(err, cluster.ErrAlreadyHeld) {
			level = slog.LevelDebug
		}
		slog.Log(context.Background(), level, what+" not said", "range", r.ID, "why", err)
		return !IsLeaderUnreached(err)
	}
	slog.Info(what, "range", r.ID, "move", r.Move.ID)
	return true
}

// IsLeaderUnreached is whether no leader answered.
func IsLeaderUnreached(err error) bool {
	return errors.Is(err, transport.ErrNotSent) || errors.Is(err, transport.ErrOutcomeUnknown)
}

// Propose has a command put in the log.
func (h *Ownership) Propose(c cluster.Command) (answer []byte, err error) {
	answer, _, err = h.session.Leader.Propose(c, duration(timing.LoggedRequestTimeout(h.leaseTTL)))
	return answer, err
}

// TrackSession notes whether the session stands; it is called often.
func (h *Ownership) TrackSession() {
	if h.session.IsActive() {
		h.inactiveSince.Store(int64(api.Never))
	} else {
		h.inactiveSince.CompareAndSwap(int64(api.Never), int64(h.now()))
	}
}
