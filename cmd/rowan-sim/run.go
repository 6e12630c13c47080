package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"rowanlink/sim/experiment"
)

func runCommand() *cobra.Command {
	var seed uint64
	var policy, out string
	var asJSON, measured bool
	c := &cobra.Command{
		Use:     "run FILE",
		Short:   "Play one scenario and sum it up",
		Example: "  rowan-sim run examples/experiments/calm.toml --seed 7 --out /tmp/calm && rowan-sim plot /tmp/calm",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				s.Seed = seed
			}
			r, err := experiment.Run(s, policy, measured)
			if err != nil {
				return err
			}
			if out != "" {
				if err := experiment.Save(out, s, r); err != nil {
					return err
				}
			}
			if asJSON {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", "  ")
				err = e.Encode(r)
			} else {
				err = summary(c.OutOrStdout(), r)
			}
			if err == nil && r.Violated() {
				err = errBroken
			}
			return err
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 0, "seed in place of the scenario's")
	c.Flags().StringVar(&policy, "policy", experiment.DefaultPolicy, "one of "+strings.Join(experiment.Policies(), ", "))
	c.Flags().StringVar(&out, "out", "", "folder for the tables")
	c.Flags().BoolVar(&asJSON, "json", false, "print the summary as JSON")
	c.Flags().BoolVar(&measured, "cost", false, "measure what the run takes on this machine")
	return c
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "Read scenarios and say all that is wrong with them",
		Example: "  rowan-sim check examples/experiments/*.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, file := range args {
				s, err := experiment.Load(file)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", file, s.Name)
			}
			return nil
		},
	}
}

func summary(to io.Writer, r *experiment.Result) error {
	share := func(n int) string {
		return fmt.Sprintf("%d (%.1f%%)", n, 100*float64(n)/float64(max(r.Offered, 1)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s, seed %d: value %.4f\n", r.Scenario, r.Policy, r.Seed, r.Value)
	fmt.Fprintf(&b, "  offered        %d in %.1f simulated s\n", r.Offered, r.EndedAt)
	fmt.Fprintf(&b, "  in time        %s\n  late           %s\n  rejected       %s\n  dead-lettered  %s\n",
		share(r.InTime), share(r.Late), share(r.Rejected), share(r.DeadLettered))
	if r.StateLost+r.Unfinished > 0 {
		fmt.Fprintf(&b, "  died with its dispatcher %s, no end %s\n", share(r.StateLost), share(r.Unfinished))
	}
	fmt.Fprintf(
		&b,
		"  latency        p50 %.3f s, p90 %.3f s, p99 %.3f s, longest %.3f s\n",
		r.P50,
		r.P90,
		r.P99,
		r.Max,
	)
	fmt.Fprintf(
		&b,
		"  calls          %d with %d attempts, %d refused, %d connections\n",
		r.Calls,
		r.Attempts,
		r.CallsRefused,
		r.Connects,
	)
	if r.BufferFull+r.Collapsed > 0 {
		fmt.Fprintf(&b, "  turned away at full buffers %d, destinations pushed over %d\n", r.BufferFull, r.Collapsed)
	}
	for _, c := range r.Claims {
		verdict := "kept"
		if !c.Conclusive {
			verdict = "too little seen"
		} else if !c.Holds {
			verdict = "NOT kept"
		}
		fmt.Fprintf(&b, "  claim %-9s %s: %s\n", c.Name, verdict, c.Text)
	}
	if c := r.Cost; c != nil {
		fmt.Fprintf(
			&b,
			"  cost           %.2f s, %.0f%% of it the module's; %.0f events/s, %.0f webhooks/s; %.0f MB; "+
				"%d events waited at most\n",
			c.WallSeconds,
			100*c.PolicySeconds/c.WallSeconds,
			c.EventsPerSecond,
			c.WebhooksPerSecond,
			c.HeapMB,
			r.PeakQueueLength,
		)
	}
	for _, rule := range sortedKeys(r.Violations) {
		fmt.Fprintf(&b, "  RULE %s broken %d times\n", rule, r.Violations[rule])
	}
	for _, breach := range r.FirstViolations[:min(len(r.FirstViolations), 5)] {
		fmt.Fprintln(&b, "  "+breach.String())
	}
	_, err := io.WriteString(to, b.String())
	return err
}
