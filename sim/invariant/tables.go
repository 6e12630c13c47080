package invariant

import (
	"cmp"
	"encoding/csv"
	"io"
	"slices"
	"strconv"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// Second counts what happened within one second of the run. Webhooks are counted in the second in which they finished.
type Second struct {
	Offered        int
	InTime         int
	Late           int
	Rejected       int
	DeadLettered   int
	StateLost      int
	Calls          int
	CallsRefused   int
	Connects       int
	MaxActiveCalls int
	P50, P99       api.Micros
	latency        *hdr.Histogram
}

// Destination counts what happened at one destination.
type Destination struct {
	ID             api.DestinationID
	Offered        int
	InTime         int
	Late           int
	Rejected       int
	DeadLettered   int
	StateLost      int
	Calls          int
	CallsRefused   int
	MaxActiveCalls int // of one dispatcher
}

// WarmupLoad is the load of a route in one second of its slow start, and the limit beyond which it collapses.
type WarmupLoad struct {
	Second        int
	Destination   api.DestinationID
	Route         event.Route
	Weight, Limit float64
}

// Summary counts what happened in a run. Latencies are in seconds, from the first submission to the delivery.
type Summary struct {
	Offered      int     `json:"offered"`
	InTime       int     `json:"in_time"`
	Late         int     `json:"late"`
	Rejected     int     `json:"rejected"`
	DeadLettered int     `json:"dead_lettered"`
	StateLost    int     `json:"died"`
	Unfinished   int     `json:"unended"`
	Value        float64 `json:"value"` // earned over offered
	BufferFull   int     `json:"turned_away"`
	Attempts     int     `json:"attempts"`
	Calls        int     `json:"calls"`
	CallsRefused int     `json:"refused"`
	Connects     int     `json:"connects"`
	Collapsed    int     `json:"fell"`
	P50          float64 `json:"p50_s"`
	P90          float64 `json:"p90_s"`
	P99          float64 `json:"p99_s"`
	Max          float64 `json:"longest_s"`
}

// Seconds returns the table by second.
func (r *Recorder) Seconds() []Second { return r.seconds }

// Destinations returns the table by destination, sorted, of those at which anything happened.
func (r *Recorder) Destinations() []*Destination {
	var all []*Destination
	for _, d := range r.destinations {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b *Destination) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// WarmupLoads returns the table of the loads in slow starts.
func (r *Recorder) WarmupLoads() []WarmupLoad { return r.warmupLoads }

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
		rows = append(rows, append(ints(i, s.Offered, s.InTime, s.Late, s.Rejected, s.DeadLettered, s.StateLost, s.Calls,
			s.CallsRefused, s.Connects, s.MaxActiveCalls), decimal(s.P50.Seconds()), decimal(s.P99.Seconds())))
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
			ints(int(d.ID), d.Offered, d.InTime, d.Late, d.Rejected, d.DeadLettered, d.StateLost, d.Calls,
				d.CallsRefused, d.MaxActiveCalls),
		)
	}
	return w.WriteAll(rows)
}

// WriteWarmupLoads writes the table of the loads in slow starts as CSV.
func (r *Recorder) WriteWarmupLoads(to io.Writer) error {
	w := csv.NewWriter(to)
	rows := [][]string{{"second", "destination", "route", "came", "limit"}}
	for _, l := range r.warmupLoads {
		rows = append(
			rows,
			append(ints(l.Second, int(l.Destination), int(l.Route)), decimal(l.Weight), decimal(l.Limit)),
		)
	}
	return w.WriteAll(rows)
}
