package observe

import (
	"cmp"
	"encoding/csv"
	"io"
	"slices"
	"strconv"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"rowanlink/emulator/seen"
	"rowanlink/gateway"
)

// Recorder counts what happened, for a summary and tables by second, by destination and of cold returns.
type Recorder struct {
	t       Terms
	origins []fate
	seconds []Second
	dests   map[gateway.DestinationID]*Destination
	out     outs
	outNow  int
	sum     Summary
	cold    map[seen.Route]*returning
	loads   []ColdLoad
}

// fate is what became of a webhook as its client knows it.
type fate struct {
	cameAt, endAt gateway.Micros
	dest          gateway.DestinationID
	evt           gateway.EventTypeID
	how           verdict
}

type verdict uint8

const ( // a later one replaces an earlier one
	unended verdict = iota
	givenUp
	died
	deadLettered
	delivered
)

// Second is what happened within one, by the moment of each thing; what became of webhooks by that of its
// end.
type Second struct {
	Offered, InTime, Late, Rejected, DeadLettered, Died int
	Calls, Refused, Connected, Out                      int // Out: calls out, at most
	P50, P99                                            gateway.Micros
	latency                                             *hdr.Histogram
}

// Destination is what happened at one.
type Destination struct {
	ID                                                  gateway.DestinationID
	Offered, InTime, Late, Rejected, DeadLettered, Died int
	Calls, Refused, Out                                 int // Out: calls of one dispatcher out there, at most
}

// ColdLoad is what reached a route within a second while it was cold, against what it may be sent then.
type ColdLoad struct {
	Second      int
	Destination gateway.DestinationID
	Route       seen.Route
	Came, Limit float64
}

// Summary is a run in figures. Shares are of what was offered.
type Summary struct {
	Offered      int     `json:"offered"`
	InTime       int     `json:"in_time"`
	Late         int     `json:"late"`
	Rejected     int     `json:"rejected"`
	DeadLettered int     `json:"dead_lettered"`
	Died         int     `json:"died"`
	Unended      int     `json:"unended"`
	Value        float64 `json:"value"` // earned over the value asked for
	TurnedAway   int     `json:"turned_away"`
	Attempts     int     `json:"attempts"`
	Calls        int     `json:"calls"`
	Refused      int     `json:"refused"`
	Connects     int     `json:"connects"`
	Fell         int     `json:"fell"`
	P50          float64 `json:"p50_s"` // from first handed in to delivered
	P90          float64 `json:"p90_s"`
	P99          float64 `json:"p99_s"`
	Longest      float64 `json:"longest_s"`
}

// NewRecorder starts with nothing counted.
func NewRecorder(t Terms) *Recorder {
	return &Recorder{t: t, dests: map[gateway.DestinationID]*Destination{}, out: outs{},
		cold: map[seen.Route]*returning{}}
}

func (r *Recorder) Wants() []seen.What {
	return []seen.What{seen.Offered, seen.TurnedAway, seen.Sent, seen.Ended, seen.GivenUp, seen.CallOut,
		seen.CallBack, seen.Connected, seen.Reached, seen.Refused, seen.OutageStart, seen.OutageOver, seen.Fell}
}

func (r *Recorder) second(at gateway.Micros) *Second {
	for n := int(at / gateway.Second); len(r.seconds) <= n; {
		r.seconds = append(r.seconds, Second{Out: r.outNow})
	}
	return &r.seconds[at/gateway.Second]
}

func (r *Recorder) dest(id gateway.DestinationID) *Destination {
	d := r.dests[id]
	if d == nil {
		d = &Destination{ID: id}
		r.dests[id] = d
	}
	return d
}

func (r *Recorder) See(e *seen.Event) {
	switch e.What {
	case seen.Offered:
		for len(r.origins) <= int(e.Origin) {
			r.origins = append(r.origins, fate{cameAt: gateway.Never})
		}
		r.origins[e.Origin] = fate{cameAt: e.At, dest: e.Destination, evt: e.Type}
	case seen.TurnedAway:
		r.sum.TurnedAway++
	case seen.Sent:
		r.sum.Attempts++
	case seen.GivenUp:
		r.origins[e.Origin].settle(givenUp, e.At)
	case seen.Ended:
		if how, ok := map[seen.End]verdict{seen.Delivered: delivered, seen.DeadLettered: deadLettered,
			seen.Died: died}[e.End]; ok {
			r.origins[e.Origin].settle(how, e.At)
		}
	case seen.CallOut:
		r.outNow++
		r.sum.Calls++
		s, d := r.second(e.At), r.dest(e.Destination)
		s.Calls++
		s.Out = max(s.Out, r.outNow)
		d.Calls++
		d.Out = max(d.Out, r.out.see(e))
	case seen.CallBack:
		r.outNow--
		r.out.see(e)
	case seen.Connected:
		r.sum.Connects++
		r.second(e.At).Connected++
	case seen.Refused:
		r.sum.Refused++
		r.second(e.At).Refused++
		r.dest(e.Destination).Refused++
	case seen.Fell:
		r.sum.Fell++
	case seen.OutageStart:
		delete(r.cold, e.Route)
	case seen.OutageOver:
		r.cold[e.Route] = &returning{at: e.At, perS: e.Weight}
	case seen.Reached:
		r.onCold(e)
	}
}

func (r *Recorder) onCold(e *seen.Event) {
	c := r.cold[e.Route]
	if c == nil {
		return
	}
	if e.At-c.at >= r.t.WarmAfter {
		delete(r.cold, e.Route)
		return
	}
	n := int(e.At / gateway.Second)
	at := slices.IndexFunc(r.loads, func(l ColdLoad) bool { return l.Second == n && l.Route == e.Route })
	if at < 0 {
		share := r.t.StartCapacity + (1-r.t.StartCapacity)*float64(e.At-c.at)/float64(r.t.WarmAfter)
		r.loads = append(r.loads, ColdLoad{Second: n, Destination: e.Destination, Route: e.Route,
			Limit: r.t.FallMultiple * share * c.perS})
		at = len(r.loads) - 1
	}
	r.loads[at].Came += e.Weight
}

func (f *fate) settle(how verdict, at gateway.Micros) {
	if how > f.how {
		f.how, f.endAt = how, at
	}
}

// Close makes the summary and the tables of all that was seen.
func (r *Recorder) Close() Summary {
	all := newLatency()
	asked, earned := 0.0, 0.0
	for i := range r.origins {
		f := &r.origins[i]
		if f.cameAt == gateway.Never {
			continue
		}
		row, d := r.t.EventTypes[f.evt], r.dest(f.dest)
		asked += row.Value
		r.sum.Offered++
		d.Offered++
		r.second(f.cameAt).Offered++
		if f.how == unended {
			r.sum.Unended++
			continue
		}
		s := r.second(f.endAt)
		switch f.how {
		case givenUp:
			count(&r.sum.Rejected, &d.Rejected, &s.Rejected)
		case died:
			count(&r.sum.Died, &d.Died, &s.Died)
		case deadLettered:
			count(&r.sum.DeadLettered, &d.DeadLettered, &s.DeadLettered)
		case delivered:
			took := f.endAt - f.cameAt
			if took <= row.Target {
				count(&r.sum.InTime, &d.InTime, &s.InTime)
				earned += row.Value
			} else {
				count(&r.sum.Late, &d.Late, &s.Late)
				part := float64(took-row.Target) / float64(max(row.TTL-row.Target, 1))
				earned += row.Value * (1 - (1-row.LateValue)*min(part, 1))
			}
			if s.latency == nil {
				s.latency = newLatency()
			}
			note(all, took)
			note(s.latency, took)
		}
	}
	for i := range r.seconds {
		if s := &r.seconds[i]; s.latency != nil {
			s.P50, s.P99 = at(s.latency, 50), at(s.latency, 99)
		}
	}
	if asked > 0 {
		r.sum.Value = earned / asked
	}
	r.sum.P50, r.sum.P90, r.sum.P99 = at(all, 50).Seconds(), at(all, 90).Seconds(), at(all, 99).Seconds()
	r.sum.Longest = at(all, 100).Seconds()
	return r.sum
}

func count(all ...*int) {
	for _, n := range all {
		*n++
	}
}

// Latencies are kept in steps of 0.1 ms up to a day, to two digits.
const latencyStep = 100

func newLatency() *hdr.Histogram { return hdr.New(1, 24*3600*int64(gateway.Second)/latencyStep, 2) }

func note(h *hdr.Histogram, t gateway.Micros) { _ = h.RecordValue(max(int64(t)/latencyStep, 1)) }

func at(h *hdr.Histogram, percentile float64) gateway.Micros {
	return gateway.Micros(h.ValueAtQuantile(percentile)) * latencyStep
}

// Seconds is the table by second.
func (r *Recorder) Seconds() []Second { return r.seconds }

// Destinations is the table by destination, of those at which anything happened, by number.
func (r *Recorder) Destinations() []*Destination {
	var all []*Destination
	for _, d := range r.dests {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b *Destination) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// ColdLoads is the table of what reached routes while they were cold.
func (r *Recorder) ColdLoads() []ColdLoad { return r.loads }

func ints(of ...int) (all []string) {
	for _, n := range of {
		all = append(all, strconv.Itoa(n))
	}
	return all
}

func decimal(x float64) string { return strconv.FormatFloat(x, 'f', 6, 64) }

// WriteSeconds writes the table by second as CSV.
func (r *Recorder) WriteSeconds(to io.Writer) error {
	w := csv.NewWriter(to)
	rows := [][]string{{"second", "offered", "in_time", "late", "rejected", "dead_lettered", "died", "calls",
		"refused", "connected", "out", "p50_s", "p99_s"}}
	for i := range r.seconds {
		s := &r.seconds[i]
		rows = append(rows, append(ints(i, s.Offered, s.InTime, s.Late, s.Rejected, s.DeadLettered, s.Died, s.Calls,
			s.Refused, s.Connected, s.Out), decimal(s.P50.Seconds()), decimal(s.P99.Seconds())))
	}
	return w.WriteAll(rows)
}

// WriteDestinations writes the table by destination as CSV.
func (r *Recorder) WriteDestinations(to io.Writer) error {
	w := csv.NewWriter(to)
	rows := [][]string{
		{"destination", "offered", "in_time", "late", "rejected", "dead_lettered", "died", "calls",
			"refused", "out"},
	}
	for _, d := range r.Destinations() {
		rows = append(
			rows,
			ints(int(d.ID), d.Offered, d.InTime, d.Late, d.Rejected, d.DeadLettered, d.Died, d.Calls,
				d.Refused, d.Out),
		)
	}
	return w.WriteAll(rows)
}

// WriteCold writes the table of cold returns as CSV.
func (r *Recorder) WriteCold(to io.Writer) error {
	w := csv.NewWriter(to)
	rows := [][]string{{"second", "destination", "route", "came", "limit"}}
	for _, l := range r.loads {
		rows = append(
			rows,
			append(ints(l.Second, int(l.Destination), int(l.Route)), decimal(l.Came), decimal(l.Limit)),
		)
	}
	return w.WriteAll(rows)
}
