package placement

import (
	"fmt"
	"testing"

	"rowanlink/serving/state"
)

// BenchmarkBySize measures Update and Pick with many endpoints.
func BenchmarkBySize(b *testing.B) {
	for _, count := range []int{100, 1000, 3000} {
		endpoints := make([]state.Endpoint, 0, count)
		for index := range count {
			built := modelEndpoints([]string{"e1", "e2", "w1"}[index%3], 1)[0]
			built.ID = fmt.Sprintf("%s-%d", built.Zone, index)
			endpoints = append(endpoints, built)
		}
		w := newFixture(b, "e1", endpoints...)
		b.Run(fmt.Sprintf("update/%d", count), func(b *testing.B) {
			for b.Loop() {
				w.update()
			}
		})
		b.Run(fmt.Sprintf("choose/%d", count), func(b *testing.B) {
			for b.Loop() {
				choice, decision := w.Pick(w.now, w.request("urgent", 1))
				if decision.Kind == Picked {
					w.ReportOutcome(w.now, choice.Reservation, 0)
				}
			}
		})
	}
}
