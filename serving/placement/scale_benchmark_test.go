package placement

import (
	"fmt"
	"testing"

	"rowanlink/serving/state"
)

// BenchmarkBySize measures what an update and a choice cost among many endpoints.
func BenchmarkBySize(b *testing.B) {
	for _, count := range []int{100, 1000, 3000} {
		endpoints := make([]state.Endpoint, 0, count)
		for index := range count {
			made := modelEndpoints([]string{"e1", "e2", "w1"}[index%3], 1)[0]
			made.ID = fmt.Sprintf("%s-%d", made.Zone, index)
			endpoints = append(endpoints, made)
		}
		w := newWorld(b, "e1", endpoints...)
		b.Run(fmt.Sprintf("update/%d", count), func(b *testing.B) {
			for b.Loop() {
				w.tell()
			}
		})
		b.Run(fmt.Sprintf("choose/%d", count), func(b *testing.B) {
			for b.Loop() {
				choice, verdict := w.Pick(w.now, w.request("urgent", 1))
				if verdict.Kind == Picked {
					w.ReportOutcome(w.now, choice.Reservation, 0)
				}
			}
		})
	}
}
