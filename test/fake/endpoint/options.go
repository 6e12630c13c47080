package endpoint

import "time"

// Options of an endpoint. The zero values of those that say so stand for the usual.
type Options struct {
	Service string
	Zone    string
	Edition string   // of its software
	Listen  string   // host:port; port 0: any free one
	Control []string // control addresses for heartbeats, tried in turn; none: no heartbeats

	HealthPath   string        // empty: none
	BeatInterval time.Duration // 0: 1 s
	Drain        time.Duration // how long it serves on after its closing was acknowledged
	Slots        int           // requests at once; 0: 8
	Queue        int           // requests that may wait; 0: half of the slots, two at least
	Connections  int           // from all callers together; 0: no bound
	Work         time.Duration // of a request without a model
	Cold         Cold
	Engine       *Engine // nil: no language model

	// Note hears of each request; nil: nobody does. It is called from many goroutines and must not block.
	Note func(Note)
}

// Cold says what an endpoint bears after its start.
type Cold struct {
	Span time.Duration // 0: it starts warm
	Rate float64       // requests a second that it bears meanwhile
}

// Engine describes the batches of a language model. Times grow with the requests that run beside.
type Engine struct {
	Model       string        // 0: "m"
	Step        time.Duration // of a token while nothing else runs
	ReadRate    float64       // tokens of a prompt read in a millisecond; 0: 30
	CacheTokens int           // of memory, for running requests and cached parts; 0: 100,000
	Stride      int           // tokens in an event; 0: 1
}

// The usual.
const (
	usualBeat        = time.Second
	usualSlots       = 8
	leastQueue       = 2
	usualModel       = "m"
	usualReadRate    = 30
	usualCacheTokens = 100_000
)

// usual fills in what the options leave open.
func (o Options) usual() Options {
	if o.BeatInterval == 0 {
		o.BeatInterval = usualBeat
	}
	if o.Slots == 0 {
		o.Slots = usualSlots
	}
	if o.Queue == 0 {
		o.Queue = max(o.Slots/2, leastQueue)
	}
	if o.Note == nil {
		o.Note = func(Note) {}
	}
	if o.Engine != nil {
		engine := o.Engine.usual()
		o.Engine = &engine
	}
	return o
}

func (e Engine) usual() Engine {
	if e.Model == "" {
		e.Model = usualModel
	}
	if e.ReadRate == 0 {
		e.ReadRate = usualReadRate
	}
	if e.CacheTokens == 0 {
		e.CacheTokens = usualCacheTokens
	}
	e.Stride = max(e.Stride, 1)
	return e
}
