package stream

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"rowanlink/webhook/api"
)

// mostIn bounds the deliveries of one frame as they are read: lists are small, what they unfold to is not.
const mostIn = 1 << 18

var coded, decoded = forms()

func forms() (cbor.EncMode, cbor.DecMode) {
	in, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	// The bounds guard against a short message that asks for a large table.
	out, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: mostIn, MaxMapPairs: 64,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return in, out
}

// Encode is the one form of a Frame, Ask, Answer, End or list of ends.
func Encode(v any) []byte {
	raw, err := coded.Marshal(v)
	if err != nil {
		panic(err) // no value of ours is without a form
	}
	return raw
}

// Decode reads one whole message, nothing after it. What it says is checked where it is taken.
func Decode(raw []byte, v any) error {
	if err := decoded.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// packList writes ascending subscribers as the steps between them: most take one byte.
func packList(to []byte, subscribers []api.DestinationID) []byte {
	was := api.DestinationID(0)
	for _, d := range subscribers {
		to = binary.AppendUvarint(to, uint64(d-was))
		was = d
	}
	return to
}

// unpackList reads what packList wrote. A list that is empty, names one twice or ends in the middle of one is
// ErrMalformed.
func unpackList(b []byte) (all []api.DestinationID, err error) {
	was := uint64(0)
	for i := 0; len(b) > 0; i++ {
		step, n := binary.Uvarint(b)
		if n <= 0 || step > math.MaxUint32-was || step == 0 && i > 0 || i >= mostIn {
			return nil, fmt.Errorf("%w: list of subscribers", ErrMalformed)
		}
		was, b = was+step, b[n:]
		all = append(all, api.DestinationID(was))
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%w: list without a subscriber", ErrMalformed)
	}
	return all, nil
}

// Unpack lists a frame's items with their subscribers and tells how many deliveries they are. Those that have
// the same body or list share it.
func (f *Frame) Unpack() (items []Item, deliveries int, err error) {
	lists := make([][]api.DestinationID, len(f.DestinationLists))
	for i, b := range f.DestinationLists {
		if lists[i], err = unpackList(b); err != nil {
			return nil, 0, err
		}
	}
	for _, p := range f.Items {
		if p.Body < 0 || p.Body >= len(f.Bodies) || p.List < 0 || p.List >= len(lists) ||
			p.Attempts < 0 || p.ID.Origin == "" || p.FirstAttemptAt < api.Never {
			return nil, 0, fmt.Errorf("%w: item of %q", ErrMalformed, p.ID.Origin)
		}
		if deliveries += len(lists[p.List]); deliveries > mostIn {
			return nil, 0, fmt.Errorf("%w: over %d deliveries", ErrMalformed, mostIn)
		}
		items = append(items, Item{p.ID, p.RequestID, p.IsAnnouncement, p.EventType, p.Tenant, p.Token, p.Key, p.TTL,
			p.Attempts, p.FirstAttemptAt, p.Zone, f.Bodies[p.Body], lists[p.List], 0})
	}
	return items, deliveries, nil
}

// packing gathers deliveries for one frame.
type packing struct {
	of         map[*entry]int
	in         []part
	bytes      int
	deliveries int
}

type part struct {
	what *entry
	to   []api.DestinationID
}

// takes tells whether one more still goes in; a frame has at least one, however large it is.
func (p *packing) takes(e *entry) bool {
	grown := p.bytes + perDelivery
	if _, in := p.of[e]; !in {
		grown += e.size()
	}
	return p.deliveries == 0 || grown <= frameBytes && p.deliveries < frameMost
}

func (p *packing) add(e *entry, to api.DestinationID) {
	i, in := p.of[e]
	if !in {
		i, p.of[e] = len(p.in), len(p.in)
		p.in = append(p.in, part{what: e})
		p.bytes += e.size()
	}
	p.in[i].to = append(p.in[i].to, to)
	p.deliveries++
	p.bytes += perDelivery
}

// frame writes it: items in the order in which they were added, so that each subscriber's stay in theirs.
func (p *packing) frame(run Generation, seq Sequence, now api.Micros) Frame {
	slices.SortFunc(p.in, func(a, b part) int { return int(int64(a.what.order) - int64(b.what.order)) })
	f, bodies, lists := Frame{Generation: run, Sequence: seq}, map[string]int{}, map[string]int{}
	for _, in := range p.in {
		slices.Sort(in.to)
		i, ttl := in.what.item, in.what.item.TTL
		if i.TokenWindow > 0 {
			ttl = min(ttl, now+i.TokenWindow)
		}
		f.Items = append(f.Items, FrameItem{ID: i.ID, RequestID: i.RequestID, IsAnnouncement: i.IsAnnouncement, EventType: i.EventType,
			Tenant: i.Tenant, Token: i.Token, Key: i.Key, TTL: ttl, Attempts: i.Attempts, FirstAttemptAt: i.FirstAttemptAt,
			Zone: i.Zone, Body: once(&f.Bodies, bodies, i.Body), List: once(&f.DestinationLists, lists, packList(nil, in.to))})
	}
	return f
}

// once is where b stands among all, put there if it does not yet.
func once(all *[][]byte, of map[string]int, b []byte) int {
	at, ok := of[string(b)]
	if !ok {
		at = len(*all)
		of[string(b)] = at
		*all = append(*all, b)
	}
	return at
}
