package stream

import (
	"fmt"
	"slices"

	"rowanlink/webhook/api"
)

// The limits of a frame that is built.
const (
	maxFrameBytes      = 1 << 20 // a frame is sent, decoded and journalled as a whole, and others wait meanwhile
	maxFrameDeliveries = 1 << 12 // each delivery is a journal record of its own
	destinationBytes   = 4       // estimate for one destination in a list, rarely exceeded
	itemOverheadBytes  = 64      // estimate for the fixed-size fields of an item
)

// Unpack returns a frame's items with their destinations, and the number of deliveries. Items share bodies and
// lists as the frame does.
func (f *Frame) Unpack() (items []Item, deliveries int, err error) {
	lists := make([][]api.DestinationID, len(f.DestinationLists))
	for i, b := range f.DestinationLists {
		if lists[i], err = decodeDestinations(b); err != nil {
			return nil, 0, err
		}
	}
	for _, packed := range f.Items {
		if !f.isValid(packed) {
			return nil, 0, fmt.Errorf("%w: item of %q", ErrMalformed, packed.ID.Origin)
		}
		deliveries += len(lists[packed.List])
		if deliveries > maxDeliveries {
			return nil, 0, fmt.Errorf("%w: over %d deliveries", ErrMalformed, maxDeliveries)
		}
		items = append(items, Item{
			ID:             packed.ID,
			RequestID:      packed.RequestID,
			IsAnnouncement: packed.IsAnnouncement,
			EventType:      packed.EventType,
			Tenant:         packed.Tenant,
			Token:          packed.Token,
			Key:            packed.Key,
			TTL:            packed.TTL,
			Attempts:       packed.Attempts,
			FirstAttemptAt: packed.FirstAttemptAt,
			Zone:           packed.Zone,
			Body:           f.Bodies[packed.Body],
			Destinations:   lists[packed.List],
		})
	}
	return items, deliveries, nil
}

func (f *Frame) isValid(i FrameItem) bool {
	hasBody := i.Body >= 0 && i.Body < len(f.Bodies)
	hasList := i.List >= 0 && i.List < len(f.DestinationLists)
	return hasBody && hasList && i.Attempts >= 0 && i.ID.Origin != "" && i.FirstAttemptAt >= api.Never
}

// frameBuilder gathers deliveries for one frame.
type frameBuilder struct {
	index      map[*queuedItem]int // in parts
	parts      []framePart
	bytes      int // estimated
	deliveries int
}

type framePart struct {
	item         *queuedItem
	destinations []api.DestinationID
}

// fits reports whether one more delivery fits in; the first does, however large it is.
func (b *frameBuilder) fits(item *queuedItem) bool {
	grown := b.bytes + destinationBytes
	if _, known := b.index[item]; !known {
		grown += item.size()
	}
	return b.deliveries == 0 || grown <= maxFrameBytes && b.deliveries < maxFrameDeliveries
}

func (b *frameBuilder) add(item *queuedItem, destination api.DestinationID) {
	i, known := b.index[item]
	if !known {
		i = len(b.parts)
		b.index[item] = i
		b.parts = append(b.parts, framePart{item: item})
		b.bytes += item.size()
	}
	b.parts[i].destinations = append(b.parts[i].destinations, destination)
	b.deliveries++
	b.bytes += destinationBytes
}

// build returns the frame, with the items in the order in which the sender got them, so that each subscriber's
// stay in order.
func (b *frameBuilder) build(generation Generation, sequence Sequence, now api.Micros) Frame {
	slices.SortFunc(b.parts, func(x, y framePart) int { return compareOrder(x.item, y.item) })
	f := Frame{Generation: generation, Sequence: sequence}
	bodies := map[string]int{}
	lists := map[string]int{}
	for _, part := range b.parts {
		slices.Sort(part.destinations)
		i := part.item.item
		ttl := i.TTL
		if i.TokenWindow > 0 {
			ttl = min(ttl, now+i.TokenWindow)
		}
		f.Items = append(f.Items, FrameItem{
			ID:             i.ID,
			RequestID:      i.RequestID,
			IsAnnouncement: i.IsAnnouncement,
			EventType:      i.EventType,
			Tenant:         i.Tenant,
			Token:          i.Token,
			Key:            i.Key,
			TTL:            ttl,
			Attempts:       i.Attempts,
			FirstAttemptAt: i.FirstAttemptAt,
			Zone:           i.Zone,
			Body:           intern(&f.Bodies, bodies, i.Body),
			List:           intern(&f.DestinationLists, lists, encodeDestinations(nil, part.destinations)),
		})
	}
	return f
}

// intern returns the index of b in all, and appends it if it is not there yet.
func intern(all *[][]byte, index map[string]int, b []byte) int {
	i, known := index[string(b)]
	if !known {
		i = len(*all)
		index[string(b)] = i
		*all = append(*all, b)
	}
	return i
}
