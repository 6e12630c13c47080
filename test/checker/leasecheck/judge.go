package leasecheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"rowanlink/webhook/api"
)

// Operation is one as it was told. Until is Never where it did not end, or its end was refused.
type Operation struct {
	Task        string
	Epoch       uint64
	Member      string
	From, Until api.Micros
}

// over is when it surely was held last.
func (d Operation) over() api.Micros { return max(d.From, d.Until) }

// Operations are a task's, as they began. Those that were refused are none.
func (g *Checker) Operations(task string) []Operation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return deeds(g.events, task)
}

func deeds(events []Event, task string) (all []Operation) {
	type holder struct {
		member string
		epoch  uint64
	}
	open := map[holder]int{}
	for _, e := range events {
		k := holder{e.Member, e.Epoch}
		switch at, is := open[k]; {
		case e.Task != task || e.Refused:
		case e.Phase == "begin":
			open[k] = len(all)
			all = append(all, Operation{task, e.Epoch, e.Member, e.Return, api.Never})
		case is:
			all[at].Until = e.Call
			delete(open, k)
		default: // its begin was refused or never came: it was held at that moment
			all = append(all, Operation{task, e.Epoch, e.Member, e.Call, e.Call})
		}
	}
	return all
}

// Resources are those that were told of.
func (g *Checker) Resources() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	tasks := map[string]bool{}
	for _, e := range g.events {
		tasks[e.Task] = true
	}
	return slices.Sorted(maps.Keys(tasks))
}

// Violations says where two holders' deeds overlap, two have one epoch, or an epoch goes back.
func (g *Checker) Violations() (breaches []string) {
	for _, task := range g.Resources() {
		all := g.Operations(task)
		for i, d := range all {
			for _, before := range all[:i] {
				same := before.Member == d.Member && before.Epoch == d.Epoch
				switch {
				case same:
				case before.Epoch == d.Epoch:
					breaches = append(breaches, fmt.Sprintf("%s: %s and %s have epoch %d", task, before.Member, d.Member,
						d.Epoch))
				case before.Epoch > d.Epoch:
					breaches = append(breaches, fmt.Sprintf("%s: epoch %d of %s goes back behind %d of %s", task, d.Epoch,
						d.Member, before.Epoch, before.Member))
				case before.over() > d.From:
					breaches = append(breaches, fmt.Sprintf("%s: %s with %d began %s before %s with %d ended", task,
						d.Member, d.Epoch, time.Duration(before.over()-d.From)*time.Microsecond, before.Member, before.Epoch))
				}
			}
		}
	}
	slices.Sort(breaches)
	return slices.Compact(breaches)
}

// lock is what the model of a lock with fencing holds: whose deed is on, and who had the highest epoch.
type lock struct{ held, seen Operation }

// model is a lock with fencing, of one task: a deed begins only while no other holder's is on, with an epoch
// that was not gone behind; it ends only while it is on. A deed without an end is a moment in which it could
// begin.
var model = porcupine.Model{
	Init: func() any { return lock{} },
	Step: func(state, input, output any) (bool, any) {
		is, e := state.(lock), input.(step)
		back := e.who.Epoch < is.seen.Epoch || e.who.Epoch == is.seen.Epoch && e.who != is.seen
		switch {
		case output.(bool): // refused: something higher was seen
			return e.who.Epoch < is.seen.Epoch, is
		case e.what == "end":
			return is.held == e.who, lock{Operation{}, is.seen}
		case back || is.held != Operation{} && is.held != e.who:
			return false, is
		case e.what == "moment":
			return true, lock{is.held, e.who}
		}
		return true, lock{e.who, e.who}
	},
	DescribeOperation: func(input, output any) string {
		e := input.(step)
		return fmt.Sprintf("%s %s/%d refused=%v", e.what, e.who.Member, e.who.Epoch, output)
	},
}

// step is an event as the model takes it; who is without times.
type step struct {
	what string
	who  Operation
}

// History is a task's, for porcupine.
func (g *Checker) History(task string) (all []porcupine.Operation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	clients, last := map[string]int{}, map[Operation]int{}
	for _, e := range g.events {
		if e.Task != task {
			continue
		}
		if _, ok := clients[e.Member]; !ok {
			clients[e.Member] = len(clients)
		}
		who := Operation{Task: task, Epoch: e.Epoch, Member: e.Member}
		s := step{e.Phase, who}
		if e.Phase == "begin" && !e.Refused {
			s.what = "moment" // until it ends
		}
		if at, begun := last[who]; e.Phase == "end" && !e.Refused && begun {
			all[at].Input = step{"begin", who}
			delete(last, who)
		}
		if e.Phase == "begin" && !e.Refused {
			last[who] = len(all)
		}
		all = append(all, porcupine.Operation{ClientId: clients[e.Member], Input: s, Output: e.Refused,
			Call: int64(e.Call), Return: int64(e.Return)})
	}
	return all
}

// CheckLinearizable has porcupine look at each task's history, and names those that no lock with fencing could have.
func (g *Checker) CheckLinearizable(within time.Duration) (broken []string, err error) {
	for _, task := range g.Resources() {
		switch porcupine.CheckOperationsTimeout(model, g.History(task), within) {
		case porcupine.Illegal:
			broken = append(broken, task)
		case porcupine.Unknown:
			return broken, fmt.Errorf("%s: not found out within %s", task, within)
		}
	}
	return broken, nil
}
