package harness

import (
	"slices"
	"time"

	"rowanlink/test/checker/deliverycheck"
)

const (
	maxReportedViolations = 10 // of a failure: one cause has many
	maxTracedWebhooks     = 3
	linearizableTimeout   = time.Minute
)

// AwaitOutcomes waits until each accepted webhook has its outcome.
func (c *Cluster) AwaitOutcomes() {
	c.t.Helper()
	defer func() {
		if c.t.Failed() {
			c.logWebhookTraces()
		}
	}()
	c.Eventually("each webhook has its outcome", func() bool { return c.Platform.Checker.Outstanding() == 0 })
}

// Check fails the test for each violation, except of some rules, and for what the lease checker finds.
func (c *Cluster) Check(except ...deliverycheck.Rule) {
	c.t.Helper()
	c.CheckAllowing(func(v deliverycheck.Violation) bool { return slices.Contains(except, v.Rule) })
}

// CheckAllowing is Check for tests that allow some violations of a rule.
func (c *Cluster) CheckAllowing(isAllowed func(deliverycheck.Violation) bool) {
	c.t.Helper()
	violations := slices.DeleteFunc(c.Platform.Check(), isAllowed)
	for _, v := range violations[:min(len(violations), maxReportedViolations)] {
		c.t.Errorf("%s\n%s", v, c.Platform.Checker.Describe(v.ID))
	}
	if more := len(violations) - maxReportedViolations; more > 0 {
		c.t.Errorf("%d more violations", more)
	}
	c.checkLeases()
}

func (c *Cluster) checkLeases() {
	c.t.Helper()
	if c.LeaseChecker == nil {
		return
	}
	for _, v := range c.LeaseChecker.Violations() {
		c.t.Errorf("lease checker: %s", v)
	}
	broken, err := c.LeaseChecker.CheckLinearizable(linearizableTimeout)
	if len(broken) > 0 || err != nil {
		c.t.Errorf("lease checker: porcupine: no lock with fencing has such a history: %v %v", broken, err)
	}
}

// logWebhookTraces logs what every member logged of some webhooks that violate a rule: with DebugLog, each step.
func (c *Cluster) logWebhookTraces() {
	violations := c.Platform.Check()
	for _, v := range violations[:min(len(violations), maxTracedWebhooks)] {
		c.t.Logf("%s", v)
		for _, m := range c.Members {
			for _, line := range m.Log.FindAll(0, "webhook="+v.ID+" ") {
				c.t.Logf("  %s %s", m.Name, line.Text)
			}
		}
	}
}
