package stream

import (
	"fmt"
	"slices"

	"rowanlink/webhook/api"
)

// The limits of a frame that the sender builds, and the estimates of its size.
const (
	maxFrameBytes      = 1 << 20 // a frame is sent, decoded and journalled as a whole, which delays the frames after it
	maxFrameDeliveries = 1 << 12 // the journal has one record for each delivery
	destinationBytes   = 4       // estimated size of a destination in a list, rarely exceeded
	itemOverheadBytes  = 64      // estimated size of an item's fixed-size fields
)

// Unpack returns a frame's items with their destinations, and the number of deliveries. Items that refer to the same
// body or destination list share its memory. The error wraps ErrMalformed.
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
			Deadline:       packed.TTL,
			Attempts:       packed.Attempts,
			FirstAttemptAt: packed.FirstAttemptAt,
			Zone:           packed.Zone,
			Body:           f.Bodies[packed.Body],
			Destinations:   lists[packed.List],
		})
	}
	return items, deliveries, nil
}

// isValid reports whether an item's fields are in range and its indexes refer to a body and a list of the frame.
func (f *Frame) isValid(i FrameItem) bool {
	hasBody := i.Body >= 0 && i.Body < len(f.Bodies)
	hasList := i.List >= 0 && i.List < len(f.DestinationLists)
	return hasBody && hasList && i.Attempts >= 0 && i.ID.Origin != "" && i.FirstAttemptAt >= api.Never
}

// frameBuilder collects the deliveries of a frame.
type frameBuilder struct {
	index      map[*queuedItem]int // of the item's entry in parts
	parts      []framePart
	bytes      int // estimated
	deliveries int
}

// framePart is an item with those of its destinations that are in the frame.
type framePart struct {
	item         *queuedItem
	destinations []api.DestinationID
}

// fits reports whether another delivery of an item fits into the frame. The first one always does, whatever its size.
func (b *frameBuilder) fits(item *queuedItem) bool {
	grown := b.bytes + destinationBytes
	if _, known := b.index[item]; !known {
		grown += item.size()
	}
	return b.deliveries == 0 || grown <= maxFrameBytes && b.deliveries < maxFrameDeliveries
}

// add adds the delivery of an item to a destination.
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

// build returns the frame. Its items are in the order in which they were added to the sender, so that the deliveries
// of each subscriber stay in order.
func (b *frameBuilder) build(generation Generation, sequence Sequence, now api.Micros) Frame {
	slices.SortFunc(b.parts, func(x, y framePart) int { return compareOrder(x.item, y.item) })
	f := Frame{Generation: generation, Sequence: sequence}
	bodies := map[string]int{}
	lists := map[string]int{}
	for _, part := range b.parts {
		slices.Sort(part.destinations)
		i := part.item.item
		ttl := i.Deadline
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

// intern returns the index of b in all, and appends b if all does not contain it yet.
func intern(all *[][]byte, index map[string]int, b []byte) int {
	i, known := index[string(b)]
	if !known {
		i = len(*all)
		index[string(b)] = i
		*all = append(*all, b)
	}
	return i
}
