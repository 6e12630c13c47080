package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"rowanlink/sim/experiment"
)

// bar shows progress on standard error where a person looks at it.
func bar(n int, what string) *progressbar.ProgressBar {
	return progressbar.NewOptions(
		n,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription(what),
		progressbar.OptionShowCount(),
		progressbar.OptionClearOnFinish(),
		progressbar.OptionSetVisibility(isTerminal(os.Stderr)),
	)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func sweepCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "sweep FILE",
		Short: "Play a grid of parameters, policies and seeds",
		Long: "Plays each point of a grid with each policy and seed, on all cores, and writes runs.csv, a row a\n" +
			"run. A sweep that was killed goes on where it was when it is started again with the same folder.",
		Example: "  rowan-sim sweep examples/experiments/sweeps/slots.toml --out /tmp/slots",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, points, err := experiment.LoadSweep(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				out = strings.TrimSuffix(args[0], filepath.Ext(args[0])) + ".results"
			}
			b := bar(len(points), "runs")
			broken, err := s.Run(out, points, func() { _ = b.Add(1) })
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d runs in %s, %d with a broken rule\n", len(points),
				filepath.Join(out, "runs.csv"), broken)
			if broken > 0 {
				return errBroken
			}
			return nil
		},
	}
	c.Flags().StringVar(&out, "out", "", "folder for the tables (default: beside the file, with .results)")
	return c
}

func compareCommand() *cobra.Command {
	var pair []string
	var seeds int
	var asJSON bool
	c := &cobra.Command{
		Use:   "compare FILE...",
		Short: "Compare two policies, paired by seed",
		Long: "Plays scenarios with two policies and the same seeds, so that both meet the same webhooks, and\n" +
			"prints the mean difference in value with its 95% bootstrap interval.",
		Example: "  rowan-sim compare examples/experiments/calm.toml --policy module --policy exponential --seeds 20",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(pair) != 2 || seeds < 2 {
				return errors.New("compare needs two policies, each by --policy, and two seeds or more")
			}
			fmt.Fprintf(
				os.Stderr,
				"%-28s %8s %8s %8s  %-18s broken\n",
				"scenario",
				pair[0],
				pair[1],
				"diff",
				"95% interval",
			)
			for _, file := range args {
				s, err := experiment.Load(file)
				if err != nil {
					return err
				}
				b := bar(2*seeds, s.Name)
				r, err := experiment.Compare(s, pair[0], pair[1], seeds, func() { _ = b.Add(1) })
				if err != nil {
					return err
				}
				if asJSON {
					if err := json.NewEncoder(c.OutOrStdout()).Encode(r); err != nil {
						return err
					}
					continue
				}
				fmt.Fprintf(
					c.OutOrStdout(),
					"%-28s %8.4f %8.4f %+8.4f  %+.4f to %+.4f  %d, %d\n",
					r.Scenario,
					r.MeanA,
					r.MeanB,
					r.Diff,
					r.Low,
					r.High,
					r.ViolatedA,
					r.ViolatedB,
				)
			}
			return nil
		},
	}
	c.Flags().StringArrayVar(&pair, "policy", nil, "a policy; give two ("+strings.Join(experiment.Policies(), ", ")+")")
	c.Flags().IntVar(&seeds, "seeds", 10, "how many seeds")
	c.Flags().BoolVar(&asJSON, "json", false, "print a line of JSON for each scenario")
	return c
}

func huntCommand() *cobra.Command {
	var out, policy string
	var runs int
	var seed uint64
	c := &cobra.Command{
		Use:   "hunt FILE",
		Short: "Search for the run that breaks a rule or loses most, and make it small",
		Long: "Draws troubles, their sizes and timings, and loads round a scenario; takes the run that breaks a\n" +
			"rule, or else loses most; takes away what it does not need; and writes that as a scenario.",
		Example: "  rowan-sim hunt examples/experiments/calm.toml --runs 200 --out found.toml && rowan-sim run found.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			start, err := experiment.NewPolicyFactory(policy)
			if err != nil {
				return err
			}
			if runs < 1 {
				return errors.New("hunt needs one run or more")
			}
			b := bar(2*runs, "runs")
			f := (&experiment.Search{NewPolicy: start, Runs: runs, Seed: seed, OnRun: func() { _ = b.Add(1) }}).FindWorst(s)
			_ = b.Finish()
			text, err := experiment.Marshal(f.Scenario)
			if err != nil {
				return err
			}
			if err := os.WriteFile(out, text, 0o644); err != nil {
				return err
			}
			fmt.Fprintf(
				c.OutOrStdout(),
				"%s: loss %.3f, rule broken: %q, %d runs, %d steps smaller\n",
				out,
				f.Loss,
				f.Invariant,
				f.Runs,
				f.ShrinkSteps,
			)
			if f.Invariant != "" {
				return errBroken
			}
			return nil
		},
	}
	c.Flags().StringVar(&out, "out", "found.toml", "file for the scenario found")
	c.Flags().
		StringVar(&policy, "policy", experiment.DefaultPolicy, "whom to hunt: one of "+strings.Join(experiment.Policies(), ", "))
	c.Flags().IntVar(&runs, "runs", 100, "runs to search with, and as many again to shrink")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the search")
	return c
}

func plotCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "plot DIR...",
		Short:   "Draw charts and one page from the tables of a run or a sweep",
		Example: "  rowan-sim plot /tmp/calm",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, dir := range args {
				written, err := experiment.Plot(dir)
				if err != nil {
					return err
				}
				for _, path := range written {
					fmt.Fprintln(c.OutOrStdout(), path)
				}
			}
			return nil
		},
	}
}
