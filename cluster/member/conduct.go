package member

import (
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// conductor runs the plan, while this member holds that task. All that it goes by is in the log, but for how
// long it has seen a home named and not taken, and since when no move ended: another one starts to count
// anew, which only makes it later. It belongs to one goroutine.
type conductor struct {
	homes    *homes
	harm     *harm
	vacancy  *shardmap.Vacancies
	book     *lease.Book
	progress *rebalance.Progress
	epoch    cluster.Epoch // since when it conducts
	under    int           // moves under way when last looked
	alone    bool          // no leader answered in this look: nothing more is proposed until the next one
	restedAt api.Micros
}

// wish is what the operator's file says: text by which the plan is made, and whether it goes before the one
// that runs: it was read anew. resumes is the number of the plan that stood stopped then; 0: none. It goes on
// by the same file, too, but only by one read after it was stopped, by whoever conducts.
type wish struct {
	text    []byte
	groups  []shardmap.Group // its sites' subscribers
	fresh   bool
	resumes uint64
}

// stopped is the number of the plan that stands stopped; 0: none does.
func (c *conductor) stopped() uint64 {
	if c.progress == nil || c.progress.StopReason == "" {
		return 0
	}
	return c.progress.Number
}

// conduct does what is due; it tells whether the wish has come into the log.
func (c *conductor) conduct(w wish, members []shardmap.Able, parts int, now api.Micros) (adopted bool) {
	epoch, held := c.homes.session.Holds(cluster.Conducts)
	chart := c.homes.Map()
	c.alone = false
	if !held || c.book == nil {
		c.vacancy.Forget()
		c.epoch = 0
		return false
	}
	if epoch != c.epoch {
		c.epoch, c.restedAt = epoch, now
		slog.Info("conducts", "epoch", epoch)
	}
	by := shardmap.Conductor(epoch)
	if chart == nil || len(chart.Ranges) == 0 {
		var weights []shardmap.Weight
		for _, m := range members {
			weights = append(weights, m.Weight)
		}
		c.say("first map", by.First(parts, weights))
		return false
	}
	alive := map[cluster.MemberID]bool{}
	for _, s := range c.book.Sessions() {
		alive[c.book.MemberOf(s)] = true
	}
	if takes := c.vacancy.Takes(chart, c.book, alive, c.staying(members, alive), now); len(takes) > 0 {
		c.say("homes given anew", by.Lost(takes), "ranges", len(takes))
		return false // the next map tells
	}
	if (w.fresh || len(chart.Groups) == 0) && !shardmap.SameGroups(w.groups, chart.Groups) {
		c.say("destinations placed", by.Place(w.groups), "sites", len(w.groups))
		return false // what a plan makes of destinations is by where they stand
	}
	if slices.ContainsFunc(chart.Strays, c.over) {
		c.say("grants over that destinations strayed from", by.Sweep())
	}
	c.stepOn(by, chart, now)
	adopted = c.adopt(w, chart)
	c.follow(by, chart, alive, now)
	return adopted
}

// over is whether a stray's grant is held no more.
func (c *conductor) over(s shardmap.Stray) bool {
	_, _, epoch, held := c.book.Holder(cluster.HomeOf(s.Under.Range))
	return !held || epoch != s.Under.Epoch
}

// staying are those whom the running plan does not want to leave; all, where no other is alive. Guards
// against a lost home's range given to a member that leaves, behind steps that are through.
func (c *conductor) staying(members []shardmap.Able, alive map[cluster.MemberID]bool) (stay []shardmap.Able) {
	if c.progress == nil || c.progress.Number == 0 {
		return members
	}
	f, err := c.progress.File()
	if err != nil {
		return members
	}
	some := false
	for _, m := range members {
		leaves := func(r planfile.Rule) bool { return r.Kind == planfile.Drain && r.Member == m.Member }
		if !slices.ContainsFunc(f.Rules, leaves) {
			stay, some = append(stay, m), some || alive[m.Member]
		}
	}
	if !some {
		return members
	}
	return stay
}

// stepOn takes moves on to the step at which the target and the source do the rest.
func (c *conductor) stepOn(by shardmap.Conductor, chart *shardmap.Map, now api.Micros) {
	under := 0
	for _, r := range chart.Ranges {
		if !r.Move.Open() {
			continue
		}
		under++
		switch r.Move.Step {
		case shardmap.Planned:
			c.say("move warms", by.Step(r.Move.ID, shardmap.Warming), "range", r.ID, "move", r.Move.ID, "to", r.Move.To)
		case shardmap.Warming:
			c.say("move passes", by.Step(r.Move.ID, shardmap.Passing), "range", r.ID, "move", r.Move.ID, "to", r.Move.To)
		}
	}
	if under < c.under {
		c.restedAt = now
	}
	c.under = under
}

// adopt brings what the operator wishes into the log, where it is another plan than the one that runs.
func (c *conductor) adopt(w wish, chart *shardmap.Map) bool {
	number := uint64(0)
	if c.progress != nil {
		number = c.progress.Number
	}
	if number != 0 && !w.fresh {
		return false
	}
	wished, err := planfile.Parse(w.text, "plan")
	if err != nil {
		slog.Error("plan not taken up", "why", err)
		return true
	}
	if number != 0 && (c.stopped() == 0 || c.stopped() != w.resumes) {
		if runs, err := planfile.Parse(c.progress.Text, "plan"); err == nil && reflect.DeepEqual(runs, wished) {
			return true
		}
	}
	return c.make(wished, w.text, number, chart)
}

func (c *conductor) make(f *planfile.File, text []byte, number uint64, chart *shardmap.Map) bool {
	p, err := rebalance.NewPlan(f, chart, nil)
	var moving *rebalance.RangeMovingError
	if errors.As(err, &moving) { // the file is taken up once that has ended
		if moving.Move.Step < shardmap.Switched {
			c.say("move goes back", shardmap.Conductor(c.epoch).Back(moving.Move.ID), "move", moving.Move.ID, "why", err)
		}
		return false
	}
	if err != nil {
		slog.Error("plan not taken up", "why", err)
		return true
	}
	return c.say("plan taken up", rebalance.Coordinator(c.epoch).Adopt(number, "plan", text, p), "steps", len(p.Steps))
}

// follow does what the running plan asks for now.
func (c *conductor) follow(by shardmap.Conductor, chart *shardmap.Map, alive map[cluster.MemberID]bool,
	now api.Micros) {
	if c.progress == nil || c.progress.Number == 0 {
		return
	}
	f, err := c.progress.File()
	if err != nil {
		slog.Error("running plan not read", "why", err)
		return
	}
	out := c.progress.Schedule(f, chart, rebalance.Observations{IsGone: func(m cluster.MemberID) bool { return !alive[m] },
		SinceLastMove: now - c.restedAt, Impact: c.harm.Of(c.progress.Number)})
	says := rebalance.Coordinator(c.epoch)
	for _, a := range out.Actions {
		switch a.Kind {
		case rebalance.ActionStart:
			c.say("move planned", by.Plan(a.Range, a.From, a.To), "range", a.Range, "from", a.From, "to", a.To)
		case rebalance.ActionRollBack:
			c.say("move goes back", by.Back(a.Move), "move", a.Move, "why", a.Reason)
		case rebalance.ActionRecordState:
			c.say("plan's step", says.RecordState(c.progress.Number, a.Step, a.State, a.Move), "step", a.Step)
		case rebalance.ActionStop:
			c.say("plan stopped", says.Stop(c.progress.Number, a.Reason), "why", a.Reason)
		case rebalance.ActionSplit:
			c.say("range split", by.Split(a.Range, a.SplitKey), "range", a.Range, "at", fmt.Sprintf("%#x", uint64(a.SplitKey)))
		case rebalance.ActionMerge:
			c.say("ranges merged", by.Merge(a.Range, a.OtherRange), "range", a.Range, "other", a.OtherRange)
		case rebalance.ActionReplan:
			slog.Info("plan made anew", "why", a.Reason)
			c.make(f, slices.Clone(c.progress.Text), c.progress.Number, chart)
		}
	}
}

// say proposes; a refusal means that the log went on, and the next look is by what it holds then.
func (c *conductor) say(what string, command cluster.Command, more ...any) bool {
	if c.alone {
		return false
	}
	if _, err := c.homes.Propose(command); err != nil {
		c.alone = unreached(err)
		if !errors.Is(err, cluster.ErrStale) && !errors.Is(err, cluster.ErrUnknown) {
			slog.Warn(what+" not said", "why", err)
		}
		return false
	}
	slog.Info(what, more...)
	return true
}
