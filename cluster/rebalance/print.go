package rebalance

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
)

const defaultRanges = 64 // number of ranges of an initial map if the file doesn't state one

// PrintPlan prints the plan for a file and a shard map: the steps with the reason why a step can't start at once, the
// keys moved compared to the minimum, and the members' numbers of ranges. If there is no map yet, it uses the initial
// map for the file's members. keys is as for NewPlan.
func PrintPlan(text []byte, name string, m *shardmap.Map, keys func(cluster.RangeID) uint64, out io.Writer) error {
	f, err := planfile.Parse(text, name)
	if err != nil {
		return err
	}
	if m == nil || len(m.Ranges) == 0 {
		m, err = initialMap(f, m)
		if err != nil {
			return fmt.Errorf("%s:1: %w", name, err)
		}
		_, _ = fmt.Fprintln(out, "there is no shard map yet: the plan starts from an initial map, divided by the members' weights")
	}
	plan, err := NewPlan(f, m, keys)
	if err != nil {
		return err
	}
	printer := planPrinter{file: f, ranges: m, plan: plan, hasKeyCounts: keys != nil, out: out}
	progress := Progress{
		Number:  1,
		Name:    name,
		Text:    text,
		Version: plan.Version,
		Steps:   plan.Steps,
		States:  initialStates(plan.Steps),
	}
	decisions := progress.Schedule(f, m, Observations{SinceLastMove: f.Limits.Cooldown})
	if err := printer.printSteps(decisions.Blocked); err != nil {
		return err
	}
	printer.printTotals()
	return printer.printMembers()
}

// initialMap returns the initial map for a file's members, with the placement groups of the present map, which may be
// nil.
func initialMap(f *planfile.File, present *shardmap.Map) (*shardmap.Map, error) {
	var weights []shardmap.MemberWeight
	for _, member := range f.Members {
		weights = append(weights, shardmap.MemberWeight{Member: member.ID, Weight: member.Weight})
	}
	ranges, err := shardmap.EvenRanges(cmp.Or(f.Ranges, defaultRanges), weights)
	if err != nil {
		return nil, err
	}
	for i := range ranges {
		ranges[i].Status = shardmap.OwnerServing
	}
	m := &shardmap.Map{Ranges: ranges, NextID: cluster.RangeID(len(ranges) + 1)}
	if present != nil {
		m.SetPlacement(present.Groups)
	}
	return m, nil
}

type planPrinter struct {
	file         *planfile.File
	ranges       *shardmap.Map
	plan         *Plan
	hasKeyCounts bool
	out          io.Writer
}

func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

func (p *planPrinter) printSteps(blocked []BlockedStep) error {
	blockedReasons := map[int]string{} // by step
	for _, b := range blocked {
		blockedReasons[b.Step] = "blocked: " + b.Reason
	}
	table := newTable(p.out)
	_, _ = fmt.Fprintln(table, "step\trange\tfrom\tto\tkeys\t")
	for k, s := range p.plan.Steps {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", k+1, formatRangeID(s.Range), s.From, s.To,
			p.formatKeys(s.Keys), describeStep(s, blockedReasons[k]))
	}
	return table.Flush()
}

// describeStep describes what a step does and whether it starts now. blocked is the reason why it can't, or "".
func describeStep(s Step, blocked string) string {
	switch s.Kind {
	case StepSplit:
		split := fmt.Sprintf("splits range %d off at %#x", s.OtherRange, uint64(s.SplitKey))
		if blocked == "" {
			return "starts now: " + split
		}
		return split + "; " + blocked
	case StepMerge:
		return fmt.Sprintf("merges range %d into it; %s", s.OtherRange, cmp.Or(blocked, "starts now"))
	case StepContinue:
		return "in progress"
	case StepRollBack:
		return "rolls back"
	case StepDetour:
		return cmp.Or(blocked, "starts now") + "; a detour that frees capacity"
	}
	return cmp.Or(blocked, "starts now")
}

// formatKeys formats a number of keys, as a percentage of the hash space if key counts are unknown.
func (p *planPrinter) formatKeys(n uint64) string {
	if p.hasKeyCounts {
		return fmt.Sprint(n)
	}
	return fmt.Sprintf("%.3g%%", 100*float64(n)/float64(p.plan.TotalKeys))
}

// formatRangeID formats the range of a step; 0 is that of a detached move.
func formatRangeID(id cluster.RangeID) string {
	if id == 0 {
		return "-"
	}
	return fmt.Sprint(id)
}

func (p *planPrinter) printTotals() {
	moves := 0
	for _, s := range p.plan.Steps {
		if s.Kind == StepMove || s.Kind == StepDetour {
			moves++
		}
	}
	minimum := "minimum:"
	if !p.plan.Optimal {
		minimum = "lower bound by the rules:"
	}
	_, _ = fmt.Fprintf(p.out, "%d moves, keys moved: %s; %s %s\n", moves, p.formatKeys(p.plan.MovedKeys), minimum,
		p.formatKeys(p.plan.MinMovedKeys))
}

// printMembers prints how many ranges each member has now and after the plan.
func (p *planPrinter) printMembers() error {
	owned := map[cluster.MemberID]int{}
	for i, base := range baseIndexes(p.ranges.Ranges) {
		if base == i { // split-off parts don't count
			owned[p.ranges.Ranges[i].Owner]++
		}
	}
	table := newTable(p.out)
	_, _ = fmt.Fprintln(table, "member\tzone\tweight\tcapacity\tranges\tafter\t")
	for _, member := range p.file.Members {
		capacity := "-"
		if member.Capacity > 0 {
			capacity = fmt.Sprint(member.Capacity)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%g\t%s\t%d\t%d\t\n", member.ID, member.Zone, member.Weight, capacity,
			owned[member.ID], p.plan.RangesPerMember[member.ID])
	}
	return table.Flush()
}

// PrintProgress prints the progress of the running plan and, if it was stopped, the reason.
func PrintProgress(p *Progress, out io.Writer) {
	if p == nil || p.Number == 0 {
		return
	}
	_, _ = fmt.Fprintf(out, "running: plan %d, %d of %d steps done, %d in progress\n", p.Number, p.DoneSteps(),
		len(p.Steps), p.countSteps(Started))
	if p.StopReason != "" {
		_, _ = fmt.Fprintf(out, "stopped: %s; SIGHUP resumes it\n", p.StopReason)
	}
	_, _ = fmt.Fprintln(out, "plan of this file, from the present owners:")
}
