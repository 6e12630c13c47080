package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/operator/client"
)

// rolloutCommand groups the commands that begin or show roll-outs.
type rolloutCommand struct {
	Begin beginRolloutCommand `cmd:"" help:"Order that the traffic of a service be moved to a software version. The roll-out ends by itself: delivered, or returned if the version is worse."`
	Show  showRolloutCommand  `cmd:"" help:"Show the newest roll-out of a service, and why it ended."`
}

// beginRolloutCommand begins a roll-out.
type beginRolloutCommand struct {
	Service string        `arg:"" help:"Service, as the configuration names it."`
	Target  string        `arg:"" help:"Software version that endpoints of the service report."`
	Over    time.Duration `required:"" help:"Time within which the roll-out is to end, such as 15m."`
}

// Run implements the command.
func (c *beginRolloutCommand) Run(ctx context.Context, s *session) error {
	if c.Over <= 0 {
		return errors.New("--over must be above zero")
	}
	operator, err := s.operatorClient()
	if err != nil {
		return err
	}
	if err := operator.BeginRollout(ctx, c.Service, c.Target, c.Over); err != nil {
		return err
	}
	return s.printAcknowledgement("roll-out of " + c.Service + " to " + c.Target)
}

// showRolloutCommand shows a roll-out.
type showRolloutCommand struct {
	Service string `arg:"" help:"Service, as the configuration names it."`
	Follow  bool   `help:"Show each change until the roll-out has ended, or for as long as --timeout allows."`
}

// followInterval is the time between two reads of the roll-out with --follow.
const followInterval = time.Second

// stateInProgress is the state, as the operators' API names it, of a roll-out that hasn't ended.
const stateInProgress = "in_transit"

// Run implements the command.
func (c *showRolloutCommand) Run(ctx context.Context, s *session) error {
	operator, err := s.operatorClient()
	if err != nil {
		return err
	}
	var lastShown client.Rollout
	for {
		found, err := operator.Rollout(ctx, c.Service)
		if err != nil {
			return err
		}
		if found.State != lastShown.State || found.Step != lastShown.Step || found.Target != lastShown.Target {
			lastShown = found
			if err := s.printLines(found, rolloutLines(c.Service, found)...); err != nil {
				return err
			}
		}
		if !c.Follow || found.State != stateInProgress {
			return nil
		}
		if !ctxsleep.Sleep(ctx, followInterval) {
			return errors.New("the roll-out is still in progress")
		}
	}
}

// rolloutLines returns the lines that describe a roll-out of a service.
func rolloutLines(service string, found client.Rollout) []string {
	head := fmt.Sprintf("%s to %s: %s", service, found.Target, found.State)
	if found.Step != "" {
		head += ", step " + found.Step
	}
	lines := []string{head}
	if found.Verdict.Reason != "" {
		route := found.Verdict.Route
		if route == "" {
			route = "all routes"
		}
		lines = append(lines, fmt.Sprintf("reason: %s (%s)", found.Verdict.Reason, route))
	}
	lines = append(lines,
		"target: "+formatCounts(found.Verdict.Target),
		"versions in force: "+formatCounts(found.Verdict.Baseline))
	if len(found.Retired) > 0 {
		lines = append(lines, "retired: "+strings.Join(found.Retired, ", "))
	}
	return lines
}

// formatCounts returns a text with counts of answers.
func formatCounts(counts client.AnswerCounts) string {
	return fmt.Sprintf("%d answers, %d failed; %d timed, %d slow", counts.Answers, counts.Failed, counts.Timed, counts.Slow)
}
