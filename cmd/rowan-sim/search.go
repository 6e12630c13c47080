package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"rowanlink/sim/experiment"
)

type searchOptions struct {
	out    string
	policy string
	runs   int
	seed   uint64
}

func searchCommand() *cobra.Command {
	var options searchOptions
	c := &cobra.Command{
		Use:   "hunt FILE",
		Short: "Search for the run that violates an invariant or loses most, and shrink it",
		Long: "Varies the faults, their magnitudes and times, and the load of a scenario at random; takes the run that\n" +
			"violates an invariant, or else loses most; removes what it does not need; and writes that as a scenario.",
		Example: "  rowan-sim hunt examples/experiments/calm.toml --runs 200 --out found.toml && rowan-sim run found.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return options.search(c.OutOrStdout(), args[0])
		},
	}
	policies := strings.Join(experiment.Policies(), ", ")
	c.Flags().StringVar(&options.out, "out", "found.toml", "file for the scenario found")
	c.Flags().StringVar(&options.policy, "policy", experiment.DefaultPolicy, "the policy to test: one of "+policies)
	c.Flags().IntVar(&options.runs, "runs", 100, "runs to search with, and as many again to shrink")
	c.Flags().Uint64Var(&options.seed, "seed", 1, "seed of the search")
	return c
}

func (o *searchOptions) search(to io.Writer, file string) error {
	s, err := experiment.Load(file)
	if err != nil {
		return err
	}
	newPolicy, err := experiment.NewPolicyFactory(o.policy)
	if err != nil {
		return err
	}
	if o.runs < 1 {
		return errors.New("hunt needs one run or more")
	}
	progress := newProgress(2*o.runs, "runs")
	search := &experiment.Search{
		NewPolicy: newPolicy,
		Runs:      o.runs,
		Seed:      o.seed,
		OnRun:     func() { _ = progress.Add(1) },
	}
	found := search.FindWorst(s)
	_ = progress.Finish()
	text, err := experiment.Marshal(found.Scenario)
	if err != nil {
		return err
	}
	if err := os.WriteFile(o.out, text, 0o644); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(to, "%s: loss %.3f, invariant violated: %q, %d runs, %d steps smaller\n", o.out, found.Loss,
		found.Invariant, found.Runs, found.ShrinkSteps)
	if found.Invariant != "" {
		return errViolated
	}
	return nil
}
