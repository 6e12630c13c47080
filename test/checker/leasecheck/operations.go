package leasecheck

import (
	"fmt"
	"maps"
	"slices"

	"rowanlink/webhook/api"
)

// Operation is one operation under a lease, as recorded. Until is api.Never if it did not end or its end was
// rejected.
type Operation struct {
	Resource    string
	Epoch       uint64
	Member      string
	From, Until api.Micros
}

// heldUntil is the last time at which the lease was surely used.
func (o Operation) heldUntil() api.Micros { return max(o.From, o.Until) }

// Operations returns the operations under the lease on a resource in the order of their begin, without those
// that were rejected.
func (c *Checker) Operations(resource string) []Operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return operationsOf(c.events, resource)
}

func operationsOf(events []Event, resource string) (operations []Operation) {
	type holder struct {
		member string
		epoch  uint64
	}
	open := map[holder]int{} // index in operations
	for _, e := range events {
		if e.Resource != resource || e.Rejected {
			continue
		}
		key := holder{member: e.Member, epoch: e.Epoch}
		if e.Phase == phaseBegin {
			open[key] = len(operations)
			operations = append(operations, newOperation(e, e.Return, api.Never))
			continue
		}
		if i, begun := open[key]; begun {
			operations[i].Until = e.Call
			delete(open, key)
			continue
		}
		// Its begin was rejected or never arrived: the lease was used at the time of the end.
		operations = append(operations, newOperation(e, e.Call, e.Call))
	}
	return operations
}

func newOperation(e Event, from, until api.Micros) Operation {
	return Operation{
		Resource: e.Resource,
		Epoch:    e.Epoch,
		Member:   e.Member,
		From:     from,
		Until:    until,
	}
}

// Resources returns the resources of all recorded requests, sorted.
func (c *Checker) Resources() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	resources := map[string]bool{}
	for _, e := range c.events {
		resources[e.Resource] = true
	}
	return slices.Sorted(maps.Keys(resources))
}

// Violations describes each pair of operations of different holders that overlap, have the same epoch, or a
// decreasing one.
func (c *Checker) Violations() (violations []string) {
	for _, resource := range c.Resources() {
		operations := c.Operations(resource)
		for i, o := range operations {
			for _, earlier := range operations[:i] {
				if v := violation(earlier, o); v != "" {
					violations = append(violations, v)
				}
			}
		}
	}
	slices.Sort(violations)
	return slices.Compact(violations)
}

// violation describes how an operation that began after an earlier one violates the lease, or returns "".
func violation(earlier, o Operation) string {
	switch {
	case earlier.Member == o.Member && earlier.Epoch == o.Epoch:
		return ""
	case earlier.Epoch == o.Epoch:
		return fmt.Sprintf("%s: %s and %s have epoch %d", o.Resource, earlier.Member, o.Member, o.Epoch)
	case earlier.Epoch > o.Epoch:
		return fmt.Sprintf("%s: epoch %d of %s after epoch %d of %s", o.Resource, o.Epoch, o.Member,
			earlier.Epoch, earlier.Member)
	case earlier.heldUntil() > o.From:
		overlap := (earlier.heldUntil() - o.From).Duration()
		return fmt.Sprintf("%s: %s with %d began %s before %s with %d ended", o.Resource, o.Member, o.Epoch,
			overlap, earlier.Member, earlier.Epoch)
	}
	return ""
}
