package invariant

import (
	"math"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// ClusterRecorder measures how many dispatchers act as one: what destinations are sent while they are out and just
// after, how long it is silent where a dispatcher was lost, and what the way to a home takes.
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

// ClusterSummary is what Fleet measured. Bear is what a destination takes in TipAfter after its return, times the
// multiple at which it falls.
type ClusterSummary struct {
	Returns             int     `json:"Returns"`  // destinations back from an outage
	MeanLoad            float64 `json:"Load"`     // sent in TipAfter after a return, over Bear: mean
	MaxLoad             float64 `json:"Worst"`    // and the most
	CallsDuringOutage   float64 `json:"WhileOut"` // calls to a destination that is out, for each outage
	CallersDuringOutage float64 `json:"Callers"`  // dispatchers that made them
	LongestGap          float64 `json:"Silence"`  // s without a delivery at a busy destination after a dispatcher was killed, the longest
	Handoffs            int     `json:"Handed"`   // webhooks taken on from another dispatcher
	HandoffP50          float64 `json:"Hop50"`    // s from first handed in to the home's journal
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

// deliveryRecord is what is delivered at a destination.
type deliveryRecord struct {
	beforeKill  int  // before the kill
	silent      bool // none since
	silentSince api.Micros
}

// minDeliveryRate is from how many deliveries a second on a destination's silence is told from its being idle.
const minDeliveryRate = 2

// NewClusterRecorder starts with nothing seen.
func NewClusterRecorder(thresholds Thresholds) *ClusterRecorder {
	return &ClusterRecorder{thresholds: thresholds, outages: map[event.Route]*outageRecord{}, deliveries: map[api.DestinationID]*deliveryRecord{},
		submittedAt: map[event.RequestID]api.Micros{}, hopLatency: newLatency(), killedAt: api.Never}
}

func (f *ClusterRecorder) Kinds() []event.Kind {
	return []event.Kind{event.Offered, event.HandoffAccepted, event.OutageStarted, event.OutageEnded, event.CallStarted, event.CallArrived,
		event.Finished, event.Killed}
}

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
			r.down, r.recoveredAt = false, e.At
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
	default:
		f.observeDelivery(e)
	}
}

func (f *ClusterRecorder) observeDelivery(e *event.Event) {
	if e.Kind == event.Killed {
		f.killedAt = e.At
		for _, p := range f.deliveries {
			if !p.silent && float64(p.beforeKill) >= minDeliveryRate*e.At.Seconds() {
				p.silent, p.silentSince = true, e.At
			}
		}
		return
	}
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

// addOutage adds an outage that is over, its return with it.
func (f *ClusterRecorder) addOutage(r *outageRecord) {
	if r == nil || r.down {
		return
	}
	// What it takes grows evenly from StartCapacity at its return.
	mean := f.thresholds.SlowStartCapacity + (1-f.thresholds.SlowStartCapacity)*f.thresholds.OverloadDuration.Seconds()/f.thresholds.SlowStartDuration.Seconds()/2
	load := r.weightAfterReturn / (f.thresholds.OverloadFactor * mean * r.rate * f.thresholds.OverloadDuration.Seconds())
	f.summary.Returns++
	f.loads += load
	f.calls += float64(r.calls)
	f.callers += float64(len(r.callers))
	f.summary.MaxLoad = math.Max(f.summary.MaxLoad, load)
}

// Finish sums up.
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
