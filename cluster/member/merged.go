package member

import (
	"log/slog"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
)

// ReleaseMergedRanges gives up the tasks of ranges that are no range of their own any more: guards against a grant by
// which the range that they are a part of could never move, since its map has somebody serve that part yet.
// What is let go is of a map before this one: what is asked for is always in the map.
func (h *Ownership) ReleaseMergedRanges() {
	chart := h.Map()
	if chart == nil {
		return
	}
	for _, task := range h.session.staleRangeResources(chart) {
		h.session.Release(task)
		slog.Info("home merged", "task", task)
	}
}

// staleRangeResources lists the homes' tasks that are wanted here and that a map doesn't have.
func (s *Session) staleRangeResources(chart *shardmap.Map) (all []cluster.Resource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, task := range s.wishes.Requested() {
		if id, ok := task.OwnedRange(); ok {
			if _, there := chart.RangeByID(id); !there {
				all = append(all, task)
			}
		}
	}
	return all
}
