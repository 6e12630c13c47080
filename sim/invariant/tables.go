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

// Second is what happened within one, by the moment of each thing; what became of webhooks by that of its
// end.
type Second struct {
	Offered, InTime, Late, Rejected, DeadLettered, StateLost int
	Calls, CallsRefused, Connects, MaxActiveCalls            int // Out: calls out, at most
	P50, P99                                                 api.Micros
	latency                                                  *hdr.Histogram
}

// Destination is what happened at one.
type Destination struct {
	ID                                                       api.DestinationID
	Offered, InTime, Late, Rejected, DeadLettered, StateLost int
	Calls, CallsRefused, MaxActiveCalls                      int // Out: calls of one dispatcher out there, at most
}

// WarmupLoad is what reached a route within a second while it was cold, against what it may be sent then.
type WarmupLoad struct {
	Second        int
	Destination   api.DestinationID
	Route         event.Route
	Weight, Limit float64
}

// Summary is a run in figures. Shares are of what was offered.
type Summary struct {
	Offered      int     `json:"offered"`
	InTime       int     `json:"in_time"`
	Late         int     `json:"late"`
	Rejected     int     `json:"rejected"`
	DeadLettered int     `json:"dead_lettered"`
	StateLost    int     `json:"died"`
	Unfinished   int     `json:"unended"`
	Value        float64 `json:"value"` // earned over the value asked for
	BufferFull   int     `json:"turned_away"`
	Attempts     int     `json:"attempts"`
	Calls        int     `json:"calls"`
	CallsRefused int     `json:"refused"`
	Connects     int     `json:"connects"`
	Collapsed    int     `json:"fell"`
	P50          float64 `json:"p50_s"` // from first handed in to delivered
	P90          float64 `json:"p90_s"`
	P99          float64 `json:"p99_s"`
	Max          float64 `json:"longest_s"`
}

// Seconds is the table by second.
func (r *Recorder) Seconds() []Second { return r.seconds }

// Destinations is the table by destination, of those at which anything happened, by number.
func (r *Recorder) Destinations() []*Destination {
	var all []*Destination
	for _, d := range r.destinations {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b *Destination) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// WarmupLoads is the table of what reached routes while they were cold.
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

// WriteWarmupLoads writes the table of cold returns as CSV.
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
