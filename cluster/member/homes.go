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

// homes keeps a member's homes as the map names them: it asks for their tasks, says by which grant it serves,
// and lets go of those that go elsewhere.
type homes struct {
	self    cluster.MemberID
	term    api.Micros
	now     func() api.Micros
	session *Session
	side    side
	changed func()       // something is to be looked at; does not wait
	shuts   sync.Map     // fleet.RangeID to shutting, of a move that is about to switch
	over    atomic.Int64 // since when there is no session; api.Never while there is

	chart atomic.Pointer[shardmap.Map]
	mu    sync.Mutex   // one look at a time
	door  sync.RWMutex // open from a webhook's admission until it is in; shut is set while it is closed
}

// side is the member's dispatcher as far as its homes go.
type side interface {
	Out(shardmap.Range) int // calls out of a range
	OutOf([]api.DestinationID) int
	Owes(shardmap.Range) int       // webhooks of it that have not gone over
	Told(shardmap.Range) bool      // its move's target knows what was learned
	Undecided(shardmap.MoveID) int // webhooks that a move's other side may have
}

// Map is the newest map that this member has.
func (h *homes) Map() *shardmap.Map { return h.chart.Load() }

// Charted takes a newer map.
func (h *homes) Charted(snapshot []byte) {
	next := shardmap.New(nil)
	if err := next.Restore(snapshot); err != nil {
		slog.Error("map of ranges not read, the old one stays", "why", err)
		return
	}
	if was := h.chart.Load(); was != nil && was.Version > next.Version {
		return
	}
	h.chart.Store(next)
	h.changed()
}

// tenant is this member as far as its right to call goes.
func (h *homes) tenant() shardmap.Tenant {
	return shardmap.Tenant{Member: h.self, Epoch: h.session.Holds,
		Alone: shardmap.Deserted(api.Micros(h.over.Load()), h.now(), h.term)}
}

// Verdict is what this member does with webhooks of a destination, now.
func (h *homes) Verdict(d api.DestinationID) shardmap.Verdict {
	chart := h.chart.Load()
	if chart == nil {
		return shardmap.Verdict{Do: shardmap.Keep}
	}
	return chart.VerdictOf(h.tenant(), d)
}

// VerdictAt is the same for whatever stands at a place among the ranges.
func (h *homes) VerdictAt(key cluster.KeyHash) shardmap.Verdict {
	chart := h.chart.Load()
	if chart == nil {
		return shardmap.Verdict{Do: shardmap.Keep}
	}
	return chart.MayServe(h.tenant(), key)
}

// Look does what the map and the grants ask for now; it is called whenever one of them changed, and now and
// then: a proposal may have been lost. After one that no leader answered nothing more is proposed: guards
// against a look that takes a part of a term for each of many ranges, while grants end and homes are let go.
func (h *homes) Look() {
	h.mu.Lock()
	defer h.mu.Unlock()
	chart, reached := h.chart.Load(), true
	if chart == nil {
		return
	}
	say := func(what string, r shardmap.Range, c cluster.Command) { reached = reached && h.say(what, r, c) }
	for _, r := range chart.Ranges {
		task := cluster.RangeOwnerResource(r.ID)
		epoch, held := h.session.Holds(task)
		switch {
		case held && h.leaves(r):
			h.letGo(r, task, epoch)
		case !held && r.Wants(h.self):
			h.session.Want(task)
		case !held:
			h.session.Unwant(task)
		case held && r.Home == h.self && epoch > r.Epoch && r.Move.Step != shardmap.Passing:
			say("home taken", r, shardmap.Home(r.ID, h.self, epoch, chart.Version))
		case held && r.Move.Step == shardmap.Passing && r.Move.To == h.self:
			say("home switched", r, shardmap.Switch(r.Move.ID, r.ID, h.self, epoch))
		}
		if r.Move.Step == shardmap.Switched && h.clears(r.Move) && h.side.Undecided(r.Move.ID) == 0 {
			say("move cleared", r, shardmap.Clear(r.Move.ID, h.self))
		}
	}
	for u, of := range chart.StrayedFrom(h.tenant()) {
		if h.side.OutOf(of) == 0 {
			say("destinations let go", shardmap.Range{ID: u.Range}, shardmap.Seen(u.Range, u.Epoch, chart.Version))
		}
	}
	h.reopen(chart)
	for _, v := range chart.Left {
		if h.clears(v) && h.side.Undecided(v.ID) == 0 {
			say("move cleared", shardmap.Range{Move: v}, shardmap.Clear(v.ID, h.self))
		}
	}
}

// letGo gives up a home that goes elsewhere as soon as it may. What came before the range was shut is counted
// at the next look.
func (h *homes) letGo(r shardmap.Range, task cluster.Resource, epoch cluster.Epoch) {
	out, owed := h.side.Out(r), h.side.Owes(r)
	if h.side.Told(r) && r.Shuts(h.self, out, owed, mostAtOnce) && h.shut(r) {
		return
	}
	s, shut := h.shuts.Load(r.ID)
	shut = shut && s.(shutting).move == r.Move.ID
	passes := r.Move.Step == shardmap.Passing && r.Home == h.self
	if r.LetsGo(h.self, out, owed) && (shut || !passes) {
		h.session.Release(task)
		slog.Info("home let go", "range", r.ID, "epoch", epoch)
	}
}

// shut has nothing more taken on for a range whose move is about to switch, and tells whether that is new.
// Guards order by key: what came after the last count would go over behind what the target takes by then.
func (h *homes) shut(r shardmap.Range) (fresh bool) {
	was, known := h.shuts.Load(r.ID)
	if known && was.(shutting).move == r.Move.ID {
		return false
	}
	h.door.Lock()
	h.shuts.Store(r.ID, shutting{r.Move.ID, h.now()})
	h.door.Unlock()
	h.changed()
	return true
}

// isShut is whether a webhook by this verdict has to wait for the switch.
func (h *homes) isShut(v shardmap.Verdict) bool {
	s, known := h.shuts.Load(v.Range)
	return known && v.Do == shardmap.Hold && v.Passes.Open() && s.(shutting).move == v.Passes.ID
}

// shutting is since when a range is shut, for which move.
type shutting struct {
	move  shardmap.MoveID
	since api.Micros
}

// shutPart is the part of a term for which a range is shut at the most before its home is let go: guards
// against clients that are turned away for as long as the target can't be reached.
const shutPart = 4

// reopen forgets ranges whose move has switched or gone back, or goes over too slowly.
func (h *homes) reopen(chart *shardmap.Map) {
	h.shuts.Range(func(id, is any) bool {
		r, ok := chart.Get(id.(cluster.RangeID))
		s := is.(shutting)
		_, held := h.session.Holds(cluster.RangeOwnerResource(r.ID))
		if !ok || r.Move.ID != s.move || r.Move.Step != shardmap.Passing || r.Home != h.self ||
			held && h.now()-s.since > h.term/shutPart {
			h.shuts.Delete(id)
		}
		return true
	})
}

// leaves is whether a range that is held here may be on its way elsewhere: only then its calls are counted.
func (h *homes) leaves(r shardmap.Range) bool {
	return !r.Wants(h.self) || r.Move.Step == shardmap.Passing && r.Home == h.self
}

// clears is whether this member has yet to say that it has no copies left of a switched move.
func (h *homes) clears(v shardmap.Move) bool {
	return v.From == h.self && !v.FromClear || v.To == h.self && !v.ToClear
}

// say proposes what one range needs, and tells whether a leader answered. A refusal means that the map went
// on: the next one tells what holds.
func (h *homes) say(what string, r shardmap.Range, c cluster.Command) (reached bool) {
	if _, err := h.Propose(c); err != nil {
		level := slog.LevelWarn
		if errors.Is(err, cluster.ErrStale) || errors.Is(err, cluster.ErrAlreadyHeld) {
			level = slog.LevelDebug
		}
		slog.Log(context.Background(), level, what+" not said", "range", r.ID, "why", err)
		return !unreached(err)
	}
	slog.Info(what, "range", r.ID, "move", r.Move.ID)
	return true
}

// unreached is whether no leader answered.
func unreached(err error) bool {
	return errors.Is(err, transport.ErrNotSent) || errors.Is(err, transport.ErrUnsure)
}

// Propose has a command put in the log.
func (h *homes) Propose(c cluster.Command) (answer []byte, err error) {
	answer, _, err = h.session.Keepers.Propose(c, span(timing.LoggedRequestTimeout(h.term)))
	return answer, err
}

// Beat notes whether the session stands; it is called often.
func (h *homes) Beat() {
	if h.session.Standing() {
		h.over.Store(int64(api.Never))
	} else {
		h.over.CompareAndSwap(int64(api.Never), int64(h.now()))
	}
}
