package leasecheck

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// lockState is the state of a lock with fencing: the operation in progress, and the one with the highest epoch.
type lockState struct{ current, highest Operation }

// The kinds of inputs to the model of a lock. An instant is a begin without an end: the lock was held at it.
const (
	inputBegin   = phaseBegin
	inputEnd     = phaseEnd
	inputInstant = "instant"
)

// lockInput is an event as the model takes it; holder is an Operation without times.
type lockInput struct {
	kind   string
	holder Operation
}

// lockModel is a lock with fencing on one resource. An operation begins only while none of another holder is in
// progress, and not with a lower epoch than an earlier one; it ends only while it is in progress.
var lockModel = porcupine.Model{
	Init: func() any { return lockState{} },
	Step: func(state, input, output any) (bool, any) {
		return stepLock(state.(lockState), input.(lockInput), output.(bool))
	},
	DescribeOperation: func(input, output any) string {
		in := input.(lockInput)
		return fmt.Sprintf("%s %s/%d rejected=%v", in.kind, in.holder.Member, in.holder.Epoch, output)
	},
}

func stepLock(state lockState, in lockInput, rejected bool) (bool, lockState) {
	if rejected { // a higher epoch was seen
		return in.holder.Epoch < state.highest.Epoch, state
	}
	if in.kind == inputEnd {
		return state.current == in.holder, lockState{highest: state.highest}
	}
	isOutdated := in.holder.Epoch < state.highest.Epoch ||
		in.holder.Epoch == state.highest.Epoch && in.holder != state.highest
	isHeldByOther := state.current != Operation{} && state.current != in.holder
	if isOutdated || isHeldByOther {
		return false, state
	}
	if in.kind == inputInstant {
		return true, lockState{current: state.current, highest: in.holder}
	}
	return true, lockState{current: in.holder, highest: in.holder}
}

// History returns the recorded history of a resource for porcupine.
func (c *Checker) History(resource string) (history []porcupine.Operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clients := map[string]int{}
	open := map[Operation]int{} // index in history of the last begin without an end
	for _, e := range c.events {
		if e.Resource != resource {
			continue
		}
		if _, known := clients[e.Member]; !known {
			clients[e.Member] = len(clients)
		}
		holder := Operation{Resource: resource, Epoch: e.Epoch, Member: e.Member}
		input := lockInput{kind: e.Phase, holder: holder}
		if !e.Rejected {
			if e.Phase == phaseBegin {
				input.kind = inputInstant // until its end is found
				open[holder] = len(history)
			} else if i, begun := open[holder]; begun {
				history[i].Input = lockInput{kind: inputBegin, holder: holder}
				delete(open, holder)
			}
		}
		history = append(history, porcupine.Operation{
			ClientId: clients[e.Member],
			Input:    input,
			Output:   e.Rejected,
			Call:     int64(e.Call),
			Return:   int64(e.Return),
		})
	}
	return history
}

// CheckLinearizable has porcupine check the history of each resource, and returns the resources whose history no
// lock with fencing could have. It returns an error if a check takes longer than the timeout.
func (c *Checker) CheckLinearizable(timeout time.Duration) (violated []string, err error) {
	for _, resource := range c.Resources() {
		switch porcupine.CheckOperationsTimeout(lockModel, c.History(resource), timeout) {
		case porcupine.Illegal:
			violated = append(violated, resource)
		case porcupine.Unknown:
			return violated, fmt.Errorf("%s: not decided within %s", resource, timeout)
		}
	}
	return violated, nil
}
