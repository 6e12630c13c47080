package endpoint

import (
	"sync"
	"time"
)

const (
	// warmupSlowdown is the factor on all times while an endpoint warms up.
	warmupSlowdown = 3
	// overloadFactor times its maximum rate plus overloadSlack requests within a second overload an endpoint that
	// warms up.
	overloadFactor = 3
	overloadSlack  = 10
)

// warmupState is the state of an endpoint's warm-up.
type warmupState struct {
	options Warmup

	mutex    sync.Mutex
	endsAt   time.Time
	arrivals []time.Time // of the last second
}

func newWarmupState(started time.Time, options Warmup) *warmupState {
	return &warmupState{options: options, endsAt: started.Add(options.Span)}
}

// remaining returns how much longer the endpoint warms up.
func (w *warmupState) remaining(now time.Time) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return max(w.endsAt.Sub(now), 0)
}

// slowdown returns the factor on all times.
func (w *warmupState) slowdown(now time.Time) float64 {
	if w.remaining(now) > 0 {
		return warmupSlowdown
	}
	return 1
}

// admitArrival counts a request. It returns false if the endpoint is overloaded, which restarts its warm-up.
func (w *warmupState) admitArrival(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !now.Before(w.endsAt) || w.options.MaxRate <= 0 {
		return true
	}
	for len(w.arrivals) > 0 && now.Sub(w.arrivals[0]) > time.Second {
		w.arrivals = w.arrivals[1:]
	}
	w.arrivals = append(w.arrivals, now)
	if float64(len(w.arrivals)) <= overloadFactor*w.options.MaxRate+overloadSlack {
		return true
	}
	w.endsAt = now.Add(w.options.Span)
	return false
}
