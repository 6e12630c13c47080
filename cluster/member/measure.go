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
	harmAsksBy = 4  // asks of each member in a term, while a plan has moved something and has more to move
	harmAtOnce = 16 // members that are asked at once
)

// measure asks all members for the harm done, while there can be any. It is not the conductor's own loop:
// that must not wait for a member that does not answer, and End does not wait for it.
func (m *Member) measure() {
	tick := time.NewTicker(span(m.file.Term) / harmAsksBy)
	defer tick.Stop()
	for {
		select {
		case <-m.ended:
			return
		case <-tick.C:
		}
		if number, of := m.watches(); len(of) > 0 {
			m.ask(harmAsk{number, of})
		}
	}
}

func (m *Member) watches() (number uint64, of []rebalance.Watch) {
	chart := m.homes.Map()
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
	return p.Number, p.Watches(f, chart)
}

func (m *Member) ask(a harmAsk) {
	body := transport.Encode(a)
	var all sync.WaitGroup
	turns := make(chan struct{}, harmAtOnce)
	for id := range m.says() {
		if id == m.self {
			m.harm.took(a.Number, id, m.harm.tell(a))
			continue
		}
		turns <- struct{}{}
		all.Go(func() {
			defer func() { <-turns }()
			status, raw, err := m.talk.Say(id, harmPath, body, span(m.file.Term)/harmAsksBy)
			var r rebalance.Report
			if err == nil && status == fasthttp.StatusOK {
				err = transport.Decode(raw, &r)
			}
			if err != nil || status != fasthttp.StatusOK {
				slog.Debug("harm not told", "member", id, "status", status, "why", err)
				return
			}
			m.harm.took(a.Number, id, r)
		})
	}
	all.Wait()
	m.nudge()
}

func (m *Member) says() map[cluster.MemberID]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return says(m.file)
}

// printPlan writes the running plan's figures; those of harm are the conductor's, 0 elsewhere.
func (m *Member) printPlan(to io.Writer) {
	p := m.progress.Load()
	if p == nil {
		return
	}
	stopped, h := 0, m.harm.Of(p.Number)
	if p.Stopped != "" {
		stopped = 1
	}
	for _, row := range []struct {
		name string
		n    uint64
	}{
		{"number", p.Number}, {"steps", uint64(len(p.Steps))}, {"steps_through", uint64(p.Through())},
		{"stopped", uint64(stopped)}, {"harm_ended", h.Now.Ended}, {"harm_rejected", h.Now.Rejected},
		{"harm_dead_lettered", h.Now.DeadLettered}, {"harm_late", h.Now.Late}, {"harm_sick", uint64(len(h.Sick))},
		{"usual_ended", h.Usual.Ended}, {"usual_rejected", h.Usual.Rejected},
		{"usual_dead_lettered", h.Usual.DeadLettered}, {"usual_late", h.Usual.Late},
	} {
		fmt.Fprintf(to, "rowanlink_plan_%s %d\n", row.name, row.n)
	}
}
