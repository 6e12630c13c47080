package invariant

import (
	"math"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// ClusterRecorder measures how dispatchers act together: the load of destinations in an outage and after it, the time
// without deliveries after a dispatcher was lost, and the latency of handoffs.
type ClusterRecorder struct {
	thresholds  Thresholds
	outages     map[event.Route]*outageRecord
	deliveries  map[api.DestinationID]*deliveryRecord
	killedAt    api.Micros
	submittedAt map[event.RequestID]api.Micros
	hopLatency  *hdr.Histogram
	summary     ClusterSummary
	loads       float64
	calls       float64
	callers     float64
}

// ClusterSummary is what a ClusterRecorder measured. Loads are relative to that at which a destination collapses in the
// OverloadDuration after its outage.
type ClusterSummary struct {
	Returns             int     `json:"Returns"`  // destinations back from an outage
	MeanLoad            float64 `json:"Load"`     // mean load after an outage
	MaxLoad             float64 `json:"Worst"`    // greatest load after an outage
	CallsDuringOutage   float64 `json:"WhileOut"` // to the destination, mean over the outages
	CallersDuringOutage float64 `json:"Callers"`  // dispatchers that made them, mean
	LongestGap          float64 `json:"Silence"`  // s without a delivery at a destination with traffic after a dispatcher was killed
	Handoffs            int     `json:"Handed"`   // webhooks accepted from another dispatcher
	HandoffP50          float64 `json:"Hop50"`    // s from the first submission to the owner's persisted state
	HandoffP99          float64 `json:"Hop99"`
}

type outageRecord struct {
	down              bool
	recoveredAt       api.Micros
	rate              float64
	weightAfterReturn float64
	calls             int
	callers           map[int32]bool
}

// deliveryRecord counts the deliveries at a destination.
type deliveryRecord struct {
	beforeKill  int  // of a dispatcher
	silent      bool // no delivery since
	silentSince api.Micros
}

// minDeliveryRate is the deliveries per second from which on a gap isn't just a lack of traffic.
const minDeliveryRate = 2

// NewClusterRecorder makes a recorder. It must be subscribed before the run starts.
func NewClusterRecorder(thresholds Thresholds) *ClusterRecorder {
	return &ClusterRecorder{
		thresholds:  thresholds,
		outages:     map[event.Route]*outageRecord{},
		deliveries:  map[api.DestinationID]*deliveryRecord{},
		submittedAt: map[event.RequestID]api.Micros{},
		hopLatency:  newLatency(),
		killedAt:    api.Never,
	}
}

// Kinds returns the kinds of events that are measured.
func (f *ClusterRecorder) Kinds() []event.Kind {
	return []event.Kind{
		event.Offered,
		event.HandoffAccepted,
		event.OutageStarted,
		event.OutageEnded,
		event.CallStarted,
		event.CallArrived,
		event.Finished,
		event.Killed,
	}
}

// Observe measures one event.
func (f *ClusterRecorder) Observe(e *event.Event) {
	switch e.Kind {
	case event.Offered:
		f.submittedAt[e.Request] = e.At
	case event.HandoffAccepted:
		if at, ok := f.submittedAt[e.Request]; ok {
			delete(f.submittedAt, e.Request)
			f.summary.Handoffs++
			recordLatency(f.hopLatency, e.At-at)
		}
	case event.OutageStarted:
		f.addOutage(f.outages[e.Route])
		f.outages[e.Route] = &outageRecord{down: true, rate: e.Weight, callers: map[int32]bool{}}
	case event.OutageEnded:
		if r := f.outages[e.Route]; r != nil {
			r.down = false
			r.recoveredAt = e.At
		}
	case event.CallStarted:
		if r := f.outages[e.Route]; r != nil && r.down {
			r.calls++
			r.callers[e.Dispatcher] = true
		}
	case event.CallArrived:
		if r := f.outages[e.Route]; r != nil && !r.down && e.At-r.recoveredAt <= f.thresholds.OverloadDuration {
			r.weightAfterReturn += e.Weight
		}
	case event.Killed:
		f.observeKill(e)
	case event.Finished:
		f.observeFinished(e)
	}
}

// observeKill begins to measure the time without deliveries at destinations with enough of them.
func (f *ClusterRecorder) observeKill(e *event.Event) {
	f.killedAt = e.At
	for _, p := range f.deliveries {
		if !p.silent && float64(p.beforeKill) >= minDeliveryRate*e.At.Seconds() {
			p.silent = true
			p.silentSince = e.At
		}
	}
}

func (f *ClusterRecorder) observeFinished(e *event.Event) {
	if e.Final != event.Delivered {
		return
	}
	p := f.deliveries[e.Destination]
	if p == nil {
		p = &deliveryRecord{}
		f.deliveries[e.Destination] = p
	}
	if f.killedAt == api.Never {
		p.beforeKill++
	}
	if p.silent {
		p.silent = false
		f.summary.LongestGap = math.Max(f.summary.LongestGap, (e.At - p.silentSince).Seconds())
	}
}

// addOutage adds an outage that is over, and the load after it.
func (f *ClusterRecorder) addOutage(r *outageRecord) {
	if r == nil || r.down {
		return
	}
	// The capacity grows linearly from SlowStartCapacity.
	initial := f.thresholds.SlowStartCapacity
	window := f.thresholds.OverloadDuration.Seconds()
	mean := initial + (1-initial)*window/f.thresholds.SlowStartDuration.Seconds()/2
	load := r.weightAfterReturn / (f.thresholds.OverloadFactor * mean * r.rate * window)
	f.summary.Returns++
	f.loads += load
	f.calls += float64(r.calls)
	f.callers += float64(len(r.callers))
	f.summary.MaxLoad = math.Max(f.summary.MaxLoad, load)
}

// Finish returns the summary at the end of the run.
func (f *ClusterRecorder) Finish() ClusterSummary {
	for _, r := range f.outages {
		f.addOutage(r)
	}
	if n := float64(f.summary.Returns); n > 0 {
		f.summary.MeanLoad, f.summary.CallsDuringOutage, f.summary.CallersDuringOutage = f.loads/n, f.calls/n, f.callers/n
	}
	f.summary.HandoffP50, f.summary.HandoffP99 = latencyAt(f.hopLatency, 50).Seconds(), latencyAt(f.hopLatency, 99).Seconds()
	return f.summary
}
