package state

import "slices"

// RolloutState is the state of a roll-out.
type RolloutState uint8

// The states of a roll-out. The last two are final.
const (
	RolloutInProgress RolloutState = iota + 1 // the target gets a share of the requests that depends on the step
	RolloutPromoted                           // the target gets all requests
	RolloutRolledBack                         // the target gets no more requests
)

// RolloutStep is the step of a roll-out in progress. It determines how much of the service's traffic the target may
// get.
type RolloutStep uint8

// The steps of a roll-out, in their order.
const (
	RolloutCanary RolloutStep = iota // a few endpoints of the target get a small share
	RolloutLoad                      // and up to two others (load probes) are brought to the load of a busy endpoint
	RolloutRamp                      // up to a quarter of the requests goes to the same share of each region's endpoints
	RolloutFull                      // all new requests go to the target
)

// RolloutReason says why a roll-out is held or was rolled back.
type RolloutReason uint8

// The reasons for which a roll-out is held or rolled back.
const (
	RolloutNoReason     RolloutReason = iota
	RolloutFailures                   // the target's answers fail more often than those of the versions in force
	RolloutSlow                       // the target's answers are slow more often than those of the versions in force
	RolloutNoEndpoints                // too few endpoints of the target became available in time
	_                                 // not in use
	RolloutUnobservable               // the proxies didn't report enough observations of it in time
)

// Rollout is the newest order to move a service's traffic to another software version, its target.
type Rollout struct {
	Service string       `cbor:"1,keyasint"`
	Target  string       `cbor:"2,keyasint"`
	State   RolloutState `cbor:"3,keyasint"`
	Step    RolloutStep  `cbor:"4,keyasint,omitempty"`
	// DurationMillis is the time after the order within which the roll-out is to end.
	DurationMillis int64 `cbor:"5,keyasint"`
	// OrderRevision is the revision of the record in which the roll-out was ordered. It identifies the roll-out.
	OrderRevision uint64 `cbor:"6,keyasint"`
	// Revision is the revision of the record in which the roll-out was last changed.
	Revision uint64 `cbor:"7,keyasint"`
	// ElapsedMillis is a lower bound of the time between the order and the change at Revision.
	ElapsedMillis int64          `cbor:"8,keyasint,omitempty"`
	Verdict       RolloutVerdict `cbor:"9,keyasint"`
	// Retired lists the software versions that this and earlier roll-outs have replaced or rolled back, newest last, at
	// most MaxRetired. They get no requests.
	Retired []string `cbor:"10,keyasint,omitempty"`
}

// RolloutVerdict states why a roll-out ended, and the counts of answers on which that decision is based.
type RolloutVerdict struct {
	Reason   RolloutReason `cbor:"1,keyasint,omitempty"`
	Route    string        `cbor:"2,keyasint,omitempty"` // route whose counts gave the reason; empty: all routes together
	Target   AnswerCounts  `cbor:"3,keyasint"`           // answers of the target on that route
	Baseline AnswerCounts  `cbor:"4,keyasint"`           // the same of the versions in force, in the same time
}

// MaxRetired is the maximum number of retired software versions that are kept for a service.
const MaxRetired = 16

// IsRetired reports whether a software version was replaced or rolled back.
func (r *Rollout) IsRetired(version string) bool { return slices.Contains(r.Retired, version) }

// Retire adds a software version to Retired as the newest one. It replaces the slice and doesn't modify the previous
// one.
func (r *Rollout) Retire(version string) {
	retired := slices.DeleteFunc(slices.Clone(r.Retired), func(known string) bool { return known == version })
	retired = append(retired, version)
	r.Retired = retired[max(len(retired)-MaxRetired, 0):]
}

// Rollout returns the newest roll-out of a service.
func (r *Record) Rollout(service string) (Rollout, bool) {
	for _, rollout := range r.Rollouts {
		if rollout.Service == service {
			return rollout, true
		}
	}
	return Rollout{}, false
}

// SetRollout adds a roll-out, or replaces the one of the same service. It replaces the slice and doesn't modify the
// previous one.
func (r *Record) SetRollout(rollout Rollout) {
	rollouts := slices.Clone(r.Rollouts)
	position := slices.IndexFunc(rollouts, func(known Rollout) bool { return known.Service == rollout.Service })
	if position < 0 {
		r.Rollouts = append(rollouts, rollout)
		return
	}
	rollouts[position] = rollout
	r.Rollouts = rollouts
}

// AnswerCounts holds counts of the answers of endpoints.
type AnswerCounts struct {
	Answers int `cbor:"1,keyasint,omitempty"` // answers that have begun, or failed before they began
	Failed  int `cbor:"2,keyasint,omitempty"` // of these, errors of the endpoint and answers that were interrupted
	Timed   int `cbor:"3,keyasint,omitempty"` // of the answers, those whose time is compared with the expected time
	// Slow is the number of the timed ones whose first byte took several times the expected time, or never came.
	Slow int `cbor:"4,keyasint,omitempty"`
}

// Add returns the sum of both counts, field by field.
func (c AnswerCounts) Add(other AnswerCounts) AnswerCounts {
	return AnswerCounts{
		Answers: c.Answers + other.Answers,
		Failed:  c.Failed + other.Failed,
		Timed:   c.Timed + other.Timed,
		Slow:    c.Slow + other.Slow,
	}
}

// Sub returns the difference of both counts, field by field.
func (c AnswerCounts) Sub(other AnswerCounts) AnswerCounts {
	return AnswerCounts{
		Answers: c.Answers - other.Answers,
		Failed:  c.Failed - other.Failed,
		Timed:   c.Timed - other.Timed,
		Slow:    c.Slow - other.Slow,
	}
}

// RolloutReport is what one proxy has observed of a roll-out. All counts are totals since the proxy learned of the
// roll-out, so that each report replaces the proxy's earlier ones.
type RolloutReport struct {
	OrderRevision uint64        `cbor:"1,keyasint"`           // identifies the roll-out
	Incarnation   uint64        `cbor:"2,keyasint"`           // of the proxy's process, each counting from zero
	Sequence      uint64        `cbor:"3,keyasint"`           // increases with each report of an incarnation
	Routes        []RouteCounts `cbor:"4,keyasint,omitempty"` // at most MaxReportedRoutes
	// Endpoints holds the counts of the target's endpoints that answered first, at most MaxReportedEndpoints.
	Endpoints []EndpointCounts `cbor:"5,keyasint,omitempty"`
	// BaselineInFlight is the number of this proxy's calls in flight to endpoints of the versions in force.
	BaselineInFlight int `cbor:"6,keyasint,omitempty"`
}

// RouteCounts are the counts of one route.
type RouteCounts struct {
	Route    string       `cbor:"1,keyasint,omitempty"` // empty: all routes that have no entry of their own
	Target   AnswerCounts `cbor:"2,keyasint"`
	Baseline AnswerCounts `cbor:"3,keyasint"`
}

// EndpointCounts are the counts of one endpoint of the target.
type EndpointCounts struct {
	ID      string `cbor:"1,keyasint"`
	Answers int    `cbor:"2,keyasint,omitempty"`
	Bad     int    `cbor:"3,keyasint,omitempty"` // failed or slow
	// LoadProbe means that the counts are those of calls that were sent to the endpoint as a load probe, see
	// RolloutLoad. The endpoint's other calls are counted in a separate entry.
	LoadProbe bool `cbor:"4,keyasint,omitempty"`
}

// Limits of a report.
const (
	MaxReportedRoutes    = 48
	MaxReportedEndpoints = 24
)

// RolloutLease permits a proxy to send requests to the target of a roll-out in progress for a limited time. Without a
// valid lease, the proxy sends it none.
type RolloutLease struct {
	OrderRevision uint64 `cbor:"1,keyasint"` // identifies the roll-out
	Millis        int64  `cbor:"2,keyasint"` // validity in milliseconds from the receipt
}
