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

// BenchmarkPick_LongQueue measures the poll of a request that waits behind a thousand others.
func BenchmarkPick_LongQueue(b *testing.B) {
	w := newFixture(b, "e1", plainEndpoints("plain", "e1", "e2")...)
	w.takeAllSlots("plain")
	var last Request
	for subject := range 1000 {
		last = w.request("plain", subject)
		last.TimeLeft += time.Duration(subject) * time.Millisecond
		w.wait(b, &last)
	}
	for b.Loop() {
		w.wait(b, &last)
	}
}
