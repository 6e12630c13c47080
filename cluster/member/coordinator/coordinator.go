// Package coordinator runs the rebalance coordinator at the member that holds the coordinator's lease. The coordinator
// initializes the shard map, fails over ranges whose owner is lost, advances moves, and adopts and executes the plan
// that the operator file states.
package coordinator

import (
	"errors"
	"log/slog"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/member/session"
	"rowanlink/cluster/member/steplog"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// MapSource provides the newest shard map, or nil if there is none yet.
type MapSource interface{ Map() *shardmap.Map }

// ImpactSource provides the impact of a plan on the webhooks, as far as it was collected from the members. plan is the
// plan's number.
type ImpactSource interface {
	Impact(plan uint64) rebalance.Impact
}

// Config holds the dependencies of a Coordinator.
type Config struct {
	Session  *session.Session
	Maps     MapSource
	Impacts  ImpactSource
	LeaseTTL api.Micros
}

// Coordinator acts while this member holds the coordinator's lease. Its decisions depend only on replicated state, with
// two exceptions: for how long a range has had no owner, and when the last move ended. A new coordinator measures these
// from its own start, which only delays its decisions. A Coordinator is not safe for concurrent use.
type Coordinator struct {
	Config
	failover *shardmap.FailoverPlanner
	leases   *lease.Table        // the replicated leases; nil: not known yet
	progress *rebalance.Progress // the replicated progress of the running plan; nil: not known yet

	epoch           cluster.Epoch // epoch of the coordinator's lease; 0: this member doesn't coordinate
	openMoves       int           // number of open moves at the last Run
	idleSince       api.Micros    // when the last move ended, or when this member became the coordinator if that is later
	leaderUnreached bool          // no leader answered in this Run, which therefore proposes nothing more
	unconfirmed     steplog.Unconfirmed
}

// New returns a Coordinator. It does nothing before SetLeases is called.
func New(c Config) *Coordinator {
	return &Coordinator{Config: c, failover: shardmap.NewFailoverPlanner(c.LeaseTTL)}
}

// SetLeases sets the replicated leases.
func (c *Coordinator) SetLeases(leases *lease.Table) { c.leases = leases }

// SetProgress sets the replicated progress of the running plan.
func (c *Coordinator) SetProgress(p *rebalance.Progress) { c.progress = p }

// PlanRequest is the plan that the operator file states.
type PlanRequest struct {
	Text     []byte
	Groups   []shardmap.PlacementGroup // the subscribers of each site, which are placed together
	Reloaded bool                      // the file was reloaded, so that its plan replaces the running one
	// ResumesPlan is the number of the plan that was stopped when the file was read, or 0 if none was. A stopped plan is
	// resumed only by a file that was read after the stop, even if the file is unchanged; it doesn't matter which member
	// coordinates.
	ResumesPlan uint64
}

// Candidates holds the members that the operator file lists, and the number of ranges of the initial shard map.
type Candidates struct {
	Members []shardmap.Candidate
	Ranges  int
}

// StoppedPlan returns the number of the current plan if it is stopped, and otherwise 0.
func (c *Coordinator) StoppedPlan() uint64 {
	if c.progress == nil || c.progress.StopReason == "" {
		return 0
	}
	return c.progress.Number
}

// runningPlan returns the number of the replicated plan, or 0 if there is none. The plan may be stopped.
func (c *Coordinator) runningPlan() uint64 {
	if c.progress == nil {
		return 0
	}
	return c.progress.Number
}

// Run proposes the commands that are due now, by the member's monotonic clock. It returns whether the request is dealt
// with: it was adopted, was rejected as invalid, or equals the running plan. If the shard map has to change first, Run
// proposes only that change, and the next Run continues.
func (c *Coordinator) Run(request PlanRequest, candidates Candidates, now api.Micros) (adopted bool) {
	shardMap := c.Maps.Map()
	c.confirmSteps(shardMap)
	if !c.coordinates(now) {
		return false
	}
	by := shardmap.Coordinator(c.epoch)
	if shardMap == nil || len(shardMap.Ranges) == 0 {
		c.propose("shard map initialized", by.Initialize(candidates.Ranges, weightsOf(candidates.Members)))
		return false
	}
	alive := c.aliveMembers()
	remaining := c.remainingMembers(candidates.Members, alive)
	if takeovers := c.failover.PlanTakeovers(shardMap, c.leases, alive, remaining, now); len(takeovers) > 0 {
		c.propose("ranges failed over", by.FailOver(takeovers), "ranges", len(takeovers))
		return false
	}
	mayPlace := request.Reloaded || len(shardMap.Groups) == 0
	if mayPlace && !shardmap.EqualPlacements(request.Groups, shardMap.Groups) {
		c.propose("destinations placed", by.Place(request.Groups), "sites", len(request.Groups))
		return false
	}
	if slices.ContainsFunc(shardMap.Misplaced, c.isGrantEnded) {
		c.propose("leases over misplaced destinations ended", by.SweepMisplaced())
	}
	c.advanceMoves(by, shardMap, now)
	adopted = c.adopt(request, shardMap)
	c.runPlan(by, shardMap, alive, now)
	return adopted
}

// coordinates reports whether this member is the coordinator and knows the leases, and records the epoch of its lease.
func (c *Coordinator) coordinates(now api.Micros) bool {
	epoch, held := c.Session.Holds(cluster.CoordinatorResource)
	c.leaderUnreached = false
	if !held || c.leases == nil {
		c.failover.Reset()
		c.epoch = 0
		return false
	}
	if epoch != c.epoch {
		c.epoch, c.idleSince = epoch, now
		slog.Info("rebalance coordinator started", "epoch", epoch)
	}
	return true
}

func weightsOf(members []shardmap.Candidate) (weights []shardmap.MemberWeight) {
	for _, m := range members {
		weights = append(weights, m.MemberWeight)
	}
	return weights
}

// aliveMembers returns the members that have a session.
func (c *Coordinator) aliveMembers() map[cluster.MemberID]bool {
	alive := map[cluster.MemberID]bool{}
	for _, s := range c.leases.Sessions() {
		alive[c.leases.MemberOf(s)] = true
	}
	return alive
}

// isGrantEnded reports whether the lease grant by which a misplaced destination may have been served has ended.
func (c *Coordinator) isGrantEnded(m shardmap.MisplacedDestination) bool {
	holder, held := c.leases.Holder(cluster.RangeOwnerResource(m.Grant.Range))
	return !held || holder.Epoch != m.Grant.Epoch
}

// advanceMoves advances open moves up to the hand-off step, from which their source and target complete them. It also
// records when a move has ended.
func (c *Coordinator) advanceMoves(by shardmap.Coordinator, shardMap *shardmap.Map, now api.Micros) {
	open := 0
	for _, r := range shardMap.Ranges {
		if !r.Move.IsOpen() {
			continue
		}
		open++
		switch r.Move.Step {
		case shardmap.StepPlanned:
			c.advanceMove("move warming", by, r, shardmap.StepWarming)
		case shardmap.StepWarming:
			c.advanceMove("move handing off", by, r, shardmap.StepHandoff)
		}
	}
	if open < c.openMoves {
		c.idleSince = now
	}
	c.openMoves = open
}

// confirmSteps logs the steps whose proposals had an unknown outcome and that the map now shows as taken. It does so
// even if another member coordinates by now.
func (c *Coordinator) confirmSteps(shardMap *shardmap.Map) {
	if shardMap == nil {
		return
	}
	for _, r := range shardMap.Ranges {
		c.unconfirmed.Confirm(r)
	}
}

// advanceMove proposes to advance the move of a range to the step to.
func (c *Coordinator) advanceMove(event string, by shardmap.Coordinator, r shardmap.Range, to shardmap.MoveStep) {
	isTaken := func(now shardmap.Range) bool { return now.Move.ID == r.Move.ID && now.Move.Step >= to }
	c.proposeStep(event, r.ID, isTaken, by.AdvanceMove(r.Move.ID, to), "range", r.ID, "move", r.Move.ID, "to", r.Move.To)
}

// proposeStep proposes a step of a range's move and logs it as event. If the outcome of the proposal is unknown, the
// step is logged later, once isTaken reports that the map shows it as taken.
func (c *Coordinator) proposeStep(event string, id cluster.RangeID, isTaken func(shardmap.Range) bool,
	command cluster.Command, fields ...any) {
	switch err := c.tryPropose(event, command, fields...); {
	case err == nil:
		c.unconfirmed.Drop(id)
	case errors.Is(err, transport.ErrOutcomeUnknown):
		c.unconfirmed.Add(id, event, isTaken, fields...)
	}
}

// propose proposes a command and logs it as event. It returns false if the command was rejected or may not be in the
// raft log. A rejected command means that the state has changed meanwhile; the next Run uses the new state.
func (c *Coordinator) propose(event string, command cluster.Command, fields ...any) bool {
	return c.tryPropose(event, command, fields...) == nil
}

// tryPropose is like propose, but returns the error by which the command was rejected or may not be in the raft log.
func (c *Coordinator) tryPropose(event string, command cluster.Command, fields ...any) error {
	if c.leaderUnreached {
		return transport.ErrNotSent
	}
	if _, err := c.Session.Propose(command); err != nil {
		c.leaderUnreached = session.IsLeaderUnreached(err)
		if !errors.Is(err, cluster.ErrStale) && !errors.Is(err, cluster.ErrNotFound) {
			slog.Warn("proposal failed: "+event, "error", err)
		}
		return err
	}
	slog.Info(event, fields...)
	return nil
}
