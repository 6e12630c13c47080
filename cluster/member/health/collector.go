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
	pollsPerTTL        = 4  // of each member in a lease TTL, while a plan has moved something and has more to move
	maxConcurrentPolls = 16 // members
)

// CollectorConfig is what a Collector is made from.
type CollectorConfig struct {
	Self     cluster.MemberID
	Reporter *Reporter // this member's
	Client   *transport.Client
	LeaseTTL time.Duration
	Members  func() []cluster.MemberID // all of them now
	// Query returns the query for the members. Without watches they are not polled: this member doesn't coordinate, or
	// there can be no harm.
	Query       func() Query
	OnCollected func() // called after each round
}

// Collector polls all members for their counts and adds them up, at the coordinator. Its methods may be
// called concurrently.
type Collector struct {
	CollectorConfig

	mu      sync.Mutex
	reports rebalance.ImpactCollector
}

// NewCollector returns a Collector that has collected nothing.
func NewCollector(c CollectorConfig) *Collector { return &Collector{CollectorConfig: c} }

// Run polls the members until stop is closed. It runs apart from the coordinator's goroutine, which must not wait for
// an unresponsive member.
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
			c.add(q, member, c.Reporter.Report(q))
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
			c.add(q, member, report)
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

func (c *Collector) add(q Query, from cluster.MemberID, report rebalance.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports.AddReport(q.Plan, from, report)
}

// Impact returns what was collected of the plan with a number.
func (c *Collector) Impact(plan uint64) rebalance.Impact {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports.Impact(plan)
}
