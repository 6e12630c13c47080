package rebalance

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
)

const usualRanges = 64 // of a first map, where the file doesn't say

// PrintPlan prints what the file makes of a map: the steps, why each waits at first, the keys moved beside the
// least. Without a map it takes the first one that the file's members get. keys is as Make has it.
func PrintPlan(text []byte, name string, m *shardmap.Map, keys func(cluster.RangeID) uint64, out io.Writer) error {
	f, err := ParseFile(text, name)
	if err != nil {
		return err
	}
	if m == nil || len(m.Ranges) == 0 {
		was := m
		if m, err = first(f); err != nil {
			return fmt.Errorf("%s:1: %w", name, err)
		}
		if was != nil {
			m.SetPlacement(was.Groups)
		}
		fmt.Fprintln(out, "there is no map yet: this is from the first one, by the members' weights")
	}
	p, err := NewPlan(f, m, keys)
	if err != nil {
		return err
	}
	run := Progress{Number: 1, Name: name, Text: text, Version: p.Version, Steps: p.Steps}
	run.States = make([]StepState, len(p.Steps))
	for k, s := range p.Steps {
		if s.Kind == StepContinue || s.Kind == StepRollBack {
			run.States[k] = Started
		}
	}
	waits := map[int]string{}
	for _, w := range run.Schedule(f, m, Observations{SinceLastMove: f.Limits.Cooldown}).Blocked {
		waits[w.Step] = "waits: " + w.Reason
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "step\trange\tfrom\tto\tkeys\t")
	amount := func(n uint64) string {
		if keys != nil {
			return fmt.Sprint(n)
		}
		return fmt.Sprintf("%.3g%%", 100*float64(n)/float64(p.TotalKeys))
	}
	moves := 0
	for k, s := range p.Steps {
		why := waits[k]
		switch {
		case s.Kind == StepSplit && why == "":
			why = fmt.Sprintf("at once: splits range %d off at %#x", s.OtherRange, uint64(s.SplitKey))
		case s.Kind == StepSplit:
			why = fmt.Sprintf("splits range %d off at %#x; %s", s.OtherRange, uint64(s.SplitKey), why)
		case s.Kind == StepMerge:
			why = fmt.Sprintf("merges range %d into it; %s", s.OtherRange, cmp.Or(why, "at once"))
		case s.Kind == StepContinue:
			why = "is under way"
		case s.Kind == StepRollBack:
			why = "goes back"
		case s.Kind == StepDetour && why == "":
			why = "starts at once; a stop-over"
		case s.Kind == StepDetour:
			why += "; a stop-over"
		case why == "":
			why = "starts at once"
		}
		if s.Kind == StepMove || s.Kind == StepDetour {
			moves++
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", k+1, rangeName(s.Range), s.From, s.To, amount(s.Keys), why)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	least := "the least possible is"
	if !p.Optimal {
		least = "rules send away at the least"
	}
	fmt.Fprintf(out, "%d moves, keys moved: %s; %s %s\n", moves, amount(p.MovedKeys), least, amount(p.MinMovedKeys))
	return members(f, m, p, out)
}

func rangeName(id cluster.RangeID) string {
	if id == 0 {
		return "-"
	}
	return fmt.Sprint(id)
}

// members prints how many ranges each has and shall have.
func members(f *File, m *shardmap.Map, p *Plan, out io.Writer) error {
	has := map[cluster.MemberID]int{}
	for i, head := range heads(m.Ranges) {
		if head == i { // the others are pieces
			has[m.Ranges[i].Owner]++
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "member\tzone\tweight\troom\tranges\tthen\t")
	for _, v := range f.Members {
		room := "-"
		if v.Capacity > 0 {
			room = fmt.Sprint(v.Capacity)
		}
		fmt.Fprintf(table, "%s\t%s\t%g\t%s\t%d\t%d\t\n", v.ID, v.Zone, v.Weight, room, has[v.ID], p.RangesPerMember[v.ID])
	}
	return table.Flush()
}

func first(f *File) (*shardmap.Map, error) {
	n := f.Ranges
	if n == 0 {
		n = usualRanges
	}
	var weights []shardmap.MemberWeight
	for _, v := range f.Members {
		weights = append(weights, shardmap.MemberWeight{Member: v.ID, Weight: v.Weight})
	}
	even, err := shardmap.EvenRanges(n, weights)
	for i := range even {
		even[i].Status = shardmap.OwnerServing
	}
	return &shardmap.Map{Ranges: even, NextID: cluster.RangeID(len(even) + 1)}, err
}

// PrintProgress prints how far the running plan is, and why it was stopped, if it was.
func PrintProgress(p *Progress, out io.Writer) {
	if p == nil || p.Number == 0 {
		return
	}
	under := 0
	for _, s := range p.States {
		if s == Started {
			under++
		}
	}
	fmt.Fprintf(out, "running: plan %d, %d of %d steps through, %d under way\n", p.Number, p.DoneSteps(),
		len(p.Steps), under)
	if p.StopReason != "" {
		fmt.Fprintf(out, "stopped: %s; SIGHUP takes it up again\n", p.StopReason)
	}
	fmt.Fprintln(out, "this file, from where the ranges are now:")
}
