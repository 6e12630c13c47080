package member

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/transport"
)

const (
	pollsPerTTL        = 4  // asks of each member in a term, while a plan has moved something and has more to move
	maxConcurrentPolls = 16 // members that are asked at once
)

// pollHealth asks all members for the harm done, while there can be any. It is not the conductor's own loop:
// that must not wait for a member that does not answer, and End does not wait for it.
func (m *Member) pollHealth() {
	tick := time.NewTicker(duration(m.file.LeaseTTL) / pollsPerTTL)
	defer tick.Stop()
	for {
		select {
		case <-m.ended:
			return
		case <-tick.C:
		}
		if number, of := m.healthQuery(); len(of) > 0 {
			m.pollMembers(Query{number, of})
		}
	}
}

func (m *Member) healthQuery() (number uint64, of []rebalance.MonitoredMove) {
	chart := m.ownership.Map()
	if _, held := m.session.Holds(cluster.CoordinatorResource); !held || chart == nil {
		return 0, nil
	}
	p := m.progress.Load()
	if p == nil || p.Number == 0 {
		return 0, nil
	}
	f, err := p.File()
	if err != nil {
		return 0, nil // the conductor says why
	}
	return p.Number, p.MonitoredMoves(f, chart)
}

func (m *Member) pollMembers(a Query) {
	body := transport.Encode(a)
	var all sync.WaitGroup
	turns := make(chan struct{}, maxConcurrentPolls)
	for id := range m.peerAddresses() {
		if id == m.self {
			m.health.Collect(a.Plan, id, m.health.Report(a))
			continue
		}
		turns <- struct{}{}
		all.Go(func() {
			defer func() { <-turns }()
			status, raw, err := m.client.Call(id, Path, body, duration(m.file.LeaseTTL)/pollsPerTTL)
			var r rebalance.Report
			if err == nil && status == fasthttp.StatusOK {
				err = transport.Decode(raw, &r)
			}
			if err != nil || status != fasthttp.StatusOK {
				slog.Debug("harm not told", "member", id, "status", status, "why", err)
				return
			}
			m.health.Collect(a.Plan, id, r)
		})
	}
	all.Wait()
	m.wake()
}

func (m *Member) peerAddresses() map[cluster.MemberID]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return memberAddresses(m.file)
}

// writePlanMetrics writes the running plan's figures; those of harm are the conductor's, 0 elsewhere.
func (m *Member) writePlanMetrics(to io.Writer) {
	p := m.progress.Load()
	if p == nil {
		return
	}
	stopped, h := 0, m.health.Collected(p.Number)
	if p.StopReason != "" {
		stopped = 1
	}
	for _, row := range []struct {
		name string
		n    uint64
	}{
		{"number", p.Number}, {"steps", uint64(len(p.Steps))}, {"steps_through", uint64(p.DoneSteps())},
		{"stopped", uint64(stopped)}, {"harm_ended", h.During.Total}, {"harm_rejected", h.During.Rejected},
		{"harm_dead_lettered", h.During.DeadLettered}, {"harm_late", h.During.Late}, {"harm_sick", uint64(len(h.Unhealthy))},
		{"usual_ended", h.Baseline.Total}, {"usual_rejected", h.Baseline.Rejected},
		{"usual_dead_lettered", h.Baseline.DeadLettered}, {"usual_late", h.Baseline.Late},
	} {
		fmt.Fprintf(to, "rowanlink_plan_%s %d\n", row.name, row.n)
	}
}
