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

// Coordinator runs the plan, while this member holds that task. All that it goes by is in the log, but for how
// long it has seen a home named and not taken, and since when no move ended: another one starts to count
// anew, which only makes it later. It belongs to one goroutine.
type Coordinator struct {
	ownership       *Ownership
	health          *Reporter
	vacancies       *shardmap.FailoverPlanner
	leases          *lease.Table
	progress        *rebalance.Progress
	epoch           cluster.Epoch // since when it conducts
	openMoves       int           // moves under way when last looked
	leaderUnreached bool          // no leader answered in this look: nothing more is proposed until the next one
	idleSince       api.Micros
}

// PlanRequest is what the operator's file says: text by which the plan is made, and whether it goes before the one
// that runs: it was read anew. resumes is the number of the plan that stood stopped then; 0: none. It goes on
// by the same file, too, but only by one read after it was stopped, by whoever conducts.
type PlanRequest struct {
	Text    []byte
	Groups  []shardmap.PlacementGroup // its sites' subscribers
	Fresh   bool
	Resumes uint64
}

// StoppedPlan is the number of the plan that stands stopped; 0: none does.
func (c *Coordinator) StoppedPlan() uint64 {
	if c.progress == nil || c.progress.StopReason == "" {
		return 0
	}
	return c.progress.Number
}

// Run does what is due; it tells whether the wish has come into the log.
func (c *Coordinator) Run(w PlanRequest, members []shardmap.Candidate, parts int, now api.Micros) (adopted bool) {
	epoch, held := c.ownership.session.Holds(cluster.CoordinatorResource)
	chart := c.ownership.Map()
	c.leaderUnreached = false
	if !held || c.leases == nil {
		c.vacancies.Reset()
		c.epoch = 0
		return false
	}
	if epoch != c.epoch {
		c.epoch, c.idleSince = epoch, now
		slog.Info("conducts", "epoch", epoch)
	}
	by := shardmap.Coordinator(epoch)
	if chart == nil || len(chart.Ranges) == 0 {
		var weights []shardmap.MemberWeight
		for _, m := range members {
			weights = append(weights, m.MemberWeight)
		}
		c.propose("first map", by.Initialize(parts, weights))
		return false
	}
	alive := map[cluster.MemberID]bool{}
	for _, s := range c.leases.Sessions() {
		alive[c.leases.MemberOf(s)] = true
	}
	if takes := c.vacancies.PlanTakeovers(chart, c.leases, alive, c.remainingMembers(members, alive), now); len(takes) > 0 {
		c.propose("homes given anew", by.FailOver(takes), "ranges", len(takes))
		return false // the next map tells
	}
	if (w.Fresh || len(chart.Groups) == 0) && !shardmap.EqualPlacements(w.Groups, chart.Groups) {
		c.propose("destinations placed", by.Place(w.Groups), "sites", len(w.Groups))
		return false // what a plan makes of destinations is by where they stand
	}
	if slices.ContainsFunc(chart.Misplaced, c.isGrantEnded) {
		c.propose("grants over that destinations strayed from", by.SweepMisplaced())
	}
	c.advanceMoves(by, chart, now)
	adopted = c.adopt(w, chart)
	c.runPlan(by, chart, alive, now)
	return adopted
}

// isGrantEnded is whether a stray's grant is held no more.
func (c *Coordinator) isGrantEnded(s shardmap.MisplacedDestination) bool {
	_, _, epoch, held := c.leases.Holder(cluster.RangeOwnerResource(s.Grant.Range))
	return !held || epoch != s.Grant.Epoch
}

// remainingMembers are those whom the running plan does not want to leave; all, where no other is alive. Guards
// against a lost home's range given to a member that leaves, behind steps that are through.
func (c *Coordinator) remainingMembers(members []shardmap.Candidate, alive map[cluster.MemberID]bool) (stay []shardmap.Candidate) {
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

// advanceMoves takes moves on to the step at which the target and the source do the rest.
func (c *Coordinator) advanceMoves(by shardmap.Coordinator, chart *shardmap.Map, now api.Micros) {
	under := 0
	for _, r := range chart.Ranges {
		if !r.Move.IsOpen() {
			continue
		}
		under++
		switch r.Move.Step {
		case shardmap.StepPlanned:
			c.propose("move warms", by.AdvanceMove(r.Move.ID, shardmap.StepWarming), "range", r.ID, "move", r.Move.ID, "to", r.Move.To)
		case shardmap.StepWarming:
			c.propose("move passes", by.AdvanceMove(r.Move.ID, shardmap.StepHandoff), "range", r.ID, "move", r.Move.ID, "to", r.Move.To)
		}
	}
	if under < c.openMoves {
		c.idleSince = now
	}
	c.openMoves = under
}

// adopt brings what the operator wishes into the log, where it is another plan than the one that runs.
func (c *Coordinator) adopt(w PlanRequest, chart *shardmap.Map) bool {
	number := uint64(0)
	if c.progress != nil {
		number = c.progress.Number
	}
	if number != 0 && !w.Fresh {
		return false
	}
	wished, err := planfile.Parse(w.Text, "plan")
	if err != nil {
		slog.Error("plan not taken up", "why", err)
		return true
	}
	if number != 0 && (c.StoppedPlan() == 0 || c.StoppedPlan() != w.Resumes) {
		if runs, err := planfile.Parse(c.progress.Text, "plan"); err == nil && reflect.DeepEqual(runs, wished) {
			return true
		}
	}
	return c.makePlan(wished, w.Text, number, chart)
}

func (c *Coordinator) makePlan(f *planfile.File, text []byte, number uint64, chart *shardmap.Map) bool {
	p, err := rebalance.NewPlan(f, chart, nil)
	var moving *rebalance.RangeMovingError
	if errors.As(err, &moving) { // the file is taken up once that has ended
		if moving.Move.Step < shardmap.StepSwitched {
			c.propose("move goes back", shardmap.Coordinator(c.epoch).RevertMove(moving.Move.ID), "move", moving.Move.ID, "why", err)
		}
		return false
	}
	if err != nil {
		slog.Error("plan not taken up", "why", err)
		return true
	}
	return c.propose("plan taken up", rebalance.Coordinator(c.epoch).Adopt(number, "plan", text, p), "steps", len(p.Steps))
}

// runPlan does what the running plan asks for now.
func (c *Coordinator) runPlan(by shardmap.Coordinator, chart *shardmap.Map, alive map[cluster.MemberID]bool,
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
		SinceLastMove: now - c.idleSince, Impact: c.health.Collected(c.progress.Number)})
	says := rebalance.Coordinator(c.epoch)
	for _, a := range out.Actions {
		switch a.Kind {
		case rebalance.ActionStart:
			c.propose("move planned", by.PlanMove(a.Range, a.From, a.To), "range", a.Range, "from", a.From, "to", a.To)
		case rebalance.ActionRollBack:
			c.propose("move goes back", by.RevertMove(a.Move), "move", a.Move, "why", a.Reason)
		case rebalance.ActionRecordState:
			c.propose("plan's step", says.RecordState(c.progress.Number, a.Step, a.State, a.Move), "step", a.Step)
		case rebalance.ActionStop:
			c.propose("plan stopped", says.Stop(c.progress.Number, a.Reason), "why", a.Reason)
		case rebalance.ActionSplit:
			c.propose("range split", by.Split(a.Range, a.SplitKey), "range", a.Range, "at", fmt.Sprintf("%#x", uint64(a.SplitKey)))
		case rebalance.ActionMerge:
			c.propose("ranges merged", by.Merge(a.Range, a.OtherRange), "range", a.Range, "other", a.OtherRange)
		case rebalance.ActionReplan:
			slog.Info("plan made anew", "why", a.Reason)
			c.makePlan(f, slices.Clone(c.progress.Text), c.progress.Number, chart)
		}
	}
}

// propose proposes; a refusal means that the log went on, and the next look is by what it holds then.
func (c *Coordinator) propose(what string, command cluster.Command, more ...any) bool {
	if c.leaderUnreached {
		return false
	}
	if _, err := c.ownership.Propose(command); err != nil {
		c.leaderUnreached = IsLeaderUnreached(err)
		if !errors.Is(err, cluster.ErrStale) && !errors.Is(err, cluster.ErrNotFound) {
			slog.Warn(what+" not said", "why", err)
		}
		return false
	}
	slog.Info(what, more...)
	return true
}
