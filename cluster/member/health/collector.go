package health

import (
	"log/slog"
	"sync"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/transport"
)

const (
	// pollsPerTTL is how often each member is polled in a lease TTL, while a plan has moved a range and has more to move.
	pollsPerTTL        = 4
	maxConcurrentPolls = 16 // number of members polled at the same time
)

// CollectorConfig holds the dependencies and settings of a Collector.
type CollectorConfig struct {
	Self     cluster.MemberID
	Reporter *Reporter // the reporter of this member
	Client   *transport.Client
	LeaseTTL time.Duration
	Members  func() []cluster.MemberID // returns all current members
	// Query returns the query for the members. If it has no watches, the members are not polled: this member doesn't
	// coordinate, or the plan can do no harm now.
	Query       func() Query
	OnCollected func() // called after each round of polls
}

// Collector polls all members for their counts and adds the counts up. It is active only at the coordinator. Its
// methods may be called concurrently.
type Collector struct {
	CollectorConfig

	mu      sync.Mutex
	reports rebalance.ImpactCollector
}

// NewCollector returns a Collector. It polls nothing before Run is called.
func NewCollector(c CollectorConfig) *Collector { return &Collector{CollectorConfig: c} }

// Run polls the members until stop is closed. It runs in a goroutine of its own, since the coordinator must not wait
// for an unresponsive member.
func (c *Collector) Run(stop <-chan struct{}) {
	tick := time.NewTicker(c.LeaseTTL / pollsPerTTL)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if q := c.Query(); len(q.Watches) > 0 {
			c.pollMembers(q)
		}
	}
}

func (c *Collector) pollMembers(q Query) {
	body := transport.Encode(q)
	var polls sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPolls)
	for _, member := range c.Members() {
		if member == c.Self {
			c.addReport(q, member, c.Reporter.Report(q))
			continue
		}
		slots <- struct{}{}
		polls.Go(func() {
			defer func() { <-slots }()
			report, err := c.poll(member, body)
			if err != nil {
				slog.Debug("health poll failed", "member", member, "error", err)
				return
			}
			c.addReport(q, member, report)
		})
	}
	polls.Wait()
	c.OnCollected()
}

func (c *Collector) poll(member cluster.MemberID, body []byte) (report rebalance.Report, err error) {
	response, err := c.Client.Call(member, Path, body, c.LeaseTTL/pollsPerTTL)
	if err != nil {
		return report, err
	}
	err = response.Decode(&report)
	return report, err
}

func (c *Collector) addReport(q Query, from cluster.MemberID, report rebalance.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports.AddReport(q.Plan, from, report)
}

// Impact returns the impact of the plan with the given number, as far as it was collected.
func (c *Collector) Impact(plan uint64) rebalance.Impact {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports.Impact(plan)
}
