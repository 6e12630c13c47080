package placement

import (
	"testing"
	"time"

	"rowanlink/serving/attempt"
)

func BenchmarkPick(b *testing.B) {
	w := newFixture(b, "e1", append(append(modelEndpoints("e1", 5), modelEndpoints("e2", 5)...), modelEndpoints("w1", 8)...)...)
	requests := make([]Request, 64)
	for subject := range requests {
		requests[subject] = w.request("review", subject)
	}
	b.ReportAllocs()
	for turn := 0; b.Loop(); turn++ {
		w.now = w.now.Add(10 * time.Millisecond)
		choice, _ := w.Pick(w.now, requests[turn%len(requests)])
		w.ReportProgress(w.now.Add(5*time.Millisecond), choice.Reservation)
		w.ReportOutcome(w.now.Add(8*time.Millisecond), choice.Reservation, attempt.Succeeded)
	}
}

func BenchmarkUpdate(b *testing.B) {
	w := newFixture(b, "e1", append(modelEndpoints("e1", 100), modelEndpoints("w1", 200)...)...)
	b.ReportAllocs()
	for b.Loop() {
		w.update()
	}
}
