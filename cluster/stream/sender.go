package stream

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Ratios, and the bounds of a frame.
const (
	gatherPart  = 1.0 / 50 // of its target latency: so long an item waits for company
	startPart   = 1.0 / 16 // of the relay's room: all that is out at first when it is back
	frameBytes  = 1 << 20  // a frame is said, read and journalled as a whole, and others wait meanwhile
	frameMost   = 1 << 12  // deliveries, since each is journalled by itself
	perDelivery = 4        // bytes in a list at the most, but for rare steps
)

// Sender is a site's. All its deliveries are in one of three places: queued, out (sent, or maybe sent in an
// earlier life, and not ended) or beside the stream, by which those that must stay behind them go as well.
type Sender struct {
	run    Generation
	life   uint64 // of the relay's folder as last heard; 0: never
	opened bool
	gone   bool
	order  uint64

	lines map[api.DestinationID]*line
	all   []*line // in the order in which they came up: a map's is not the same each time
	ready []*line // with something queued and room, each once, whose turn it is first
	dueAt api.Micros
	fresh int // bytes added since the last frame

	out  map[Delivery]*sent
	outs int // of out, those not beside
	keys map[keyed]*ways

	kept   []keptFrame // sent and not answered
	again  int         // of kept, the next to be sent
	seq    Sequence
	count  uint64 // deliveries sent in this run
	limit  uint64
	each   int
	window int // 0: open; else out at the most

	apart float64
	lead  api.Micros // the relay's clock shows at least so much more, as it was seen; Never: not seen
	seen  api.Micros
}

type entry struct {
	item  *Item
	order uint64
	due   api.Micros
}

func (e *entry) size() int { return len(e.item.Body) + len(e.item.RequestID) + len(e.item.Token) + 64 }

// line is one subscriber's.
type line struct {
	to     api.DestinationID
	queue  []*entry
	out    int
	ready  bool
	leaves bool // goes by another way from now on
}

type sent struct {
	*entry
	life   uint64 // of the relay's folder that it was sent to
	at     api.Micros
	beside bool
}

type keyed struct {
	to  api.DestinationID
	key api.OrderingKey
}

type ways struct{ out, beside int }

type keptFrame struct {
	Frame
	count uint64 // of the run, this frame's too
}

// InDoubt is a delivery that may be at the relay, for the rule on it.
type InDoubt struct {
	Delivery
	SentAt api.Micros // just before it was first sent
	Key    api.OrderingKey
}

// NewSender begins with the epoch of the grant. apart: two clocks differ in rate by so much at the most.
func NewSender(epoch cluster.Epoch, apart float64) *Sender {
	return &Sender{run: Generation{Epoch: epoch, Number: 1}, lines: map[api.DestinationID]*line{}, dueAt: api.Never,
		out: map[Delivery]*sent{}, keys: map[keyed]*ways{}, apart: apart, seen: api.Never}
}

func (s *Sender) line(to api.DestinationID) *line {
	l := s.lines[to]
	if l == nil {
		l = &line{to: to}
		s.lines[to] = l
		s.all = append(s.all, l)
	}
	return l
}

func (s *Sender) ways(to api.DestinationID, key api.OrderingKey) *ways {
	if key == 0 {
		return &ways{}
	}
	w := s.keys[keyed{to, key}]
	if w == nil {
		w = &ways{}
		s.keys[keyed{to, key}] = w
	}
	return w
}

// Add queues an item; target: its event type's target latency. The caller changes nothing of it afterwards.
func (s *Sender) Add(i Item, target, now api.Micros) {
	e := s.entry(i, now+api.Micros(gatherPart*float64(target)))
	for _, to := range i.Destinations {
		l := s.line(to)
		l.queue = append(l.queue, e)
		s.wake(l)
	}
	if s.fresh += e.size(); s.fresh >= frameBytes { // company enough
		s.soon(now)
	}
}

func (s *Sender) entry(i Item, due api.Micros) *entry {
	s.order++
	return &entry{&i, s.order, due}
}

// wake lets a line take part if it has something and room.
func (s *Sender) wake(l *line) {
	if len(l.queue) == 0 || l.out >= s.each || l.leaves || s.behind(l) {
		return
	}
	if !l.ready {
		l.ready = true
		s.ready = append(s.ready, l)
	}
	s.soon(l.queue[0].due)
}

// behind tells whether the next of a line must not overtake one of its key that goes beside the stream. What
// is behind it goes that way as well: see Free.
func (s *Sender) behind(l *line) bool {
	e := l.queue[0]
	w := s.keys[keyed{l.to, e.item.Key}]
	return e.item.Key != 0 && w != nil && w.beside > 0
}

func (s *Sender) soon(at api.Micros) {
	if s.dueAt == api.Never || at < s.dueAt {
		s.dueAt = at
	}
}

// room is how many deliveries may go out now.
func (s *Sender) room() int {
	n := int(s.limit - min(s.count, s.limit))
	if s.window > 0 {
		n = min(n, s.window-s.outs)
	}
	return max(n, 0)
}

// NextFrameAt tells when Next has a frame, if nothing happens before.
func (s *Sender) NextFrameAt() (at api.Micros, ok bool) {
	switch {
	case !s.opened:
		return 0, false
	case s.again < len(s.kept):
		return 0, true
	}
	return s.dueAt, len(s.ready) > 0 && s.room() > 0
}

// NextFrame is the next frame to send. What is in it counts as sent from now on: the caller notes it before the
// first byte leaves. A sick subscriber holds none of the others, and its own stay behind one another.
func (s *Sender) NextFrame(now api.Micros) (f Frame, ok bool) {
	if at, due := s.NextFrameAt(); !due || now < at {
		return Frame{}, false
	}
	if s.again < len(s.kept) {
		f = s.kept[s.again].Frame
		s.again++
		f.ClockOffset = s.lag(now)
		return f, true
	}
	p := packing{of: map[*entry]int{}}
	for room := s.room(); len(s.ready) > 0 && room > 0; {
		l := s.ready[0]
		if l.ready = len(l.queue) > 0 && l.out < s.each && !l.leaves && !s.behind(l); l.ready {
			e := l.queue[0]
			if !p.takes(e) {
				break
			}
			l.queue[0], l.queue = nil, l.queue[1:]
			p.add(e, l.to)
			s.hold(l, e, &sent{e, s.life, now, false})
			room--
			if l.ready = len(l.queue) > 0; l.ready {
				s.ready = append(s.ready, l)
			}
		}
		s.ready = s.ready[1:]
	}
	if s.dueAt, s.fresh = api.Never, 0; len(s.ready) > 0 {
		s.dueAt = now
	}
	if p.deliveries == 0 {
		return Frame{}, false
	}
	s.seq++
	s.count += uint64(p.deliveries)
	f = p.frame(s.run, s.seq, now)
	f.ReceiverIncarnation = s.life
	s.kept, s.again = append(s.kept, keptFrame{f, s.count}), len(s.kept)+1
	f.ClockOffset = s.lag(now)
	return f, true
}
