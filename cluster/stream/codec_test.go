package stream

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rowanlink/webhook/api"
)

func TestFrame_DestinationListsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.SliceOfNDistinct(rapid.Uint32(), 1, 40, rapid.ID).Draw(t, "subscribers")
		e := &queuedItem{item: &Item{}}
		p := frameBuilder{index: map[*queuedItem]int{}}
		for _, n := range numbers {
			p.add(e, api.DestinationID(n))
		}
		f := p.build(Generation{Epoch: 1, Number: 1}, 1, 0)
		f.Items[0].ID.Origin = "m"
		items, count, err := f.Unpack()
		assert.NoError(t, err)
		assert.Equal(t, len(numbers), count)
		assert.Len(t, items[0].Destinations, count)
		for _, d := range items[0].Destinations {
			assert.Contains(t, numbers, uint32(d))
		}
	})
}

// A frame from any input is accepted or rejected as a whole, and has no effect when it is received a second time.
func FuzzFrame(f *testing.F) {
	s := NewSender(1, 0)
	ack := Ack{Incarnation: 9, Generation: Generation{Epoch: 1, Number: 1}, Credit: 9, DestinationLimit: 9}
	s.HandleOpened(s.OpenRequest(), ack, false, 0)
	s.Add(Item{ID: MessageID{Origin: "m"}, Destinations: []api.DestinationID{1, 300}, Body: []byte("b")}, 0, 0)
	valid, _ := s.NextFrame(0)
	f.Add(Encode(valid))
	for _, list := range []string{"", "\x80", "\x01\x00", "\xff\xff\xff\xff\x7f"} {
		malformed := valid
		malformed.DestinationLists = [][]byte{[]byte(list)}
		f.Add(Encode(malformed))
	}
	for _, at := range []int{-1, 1} {
		malformed := valid
		malformed.Items = []FrameItem{valid.Items[0]}
		malformed.Items[0].Body = at
		f.Add(Encode(malformed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var got Frame
		if Decode(raw, &got) != nil {
			return
		}
		r := NewReceiver(Checkpoint{
			Incarnation:  got.ReceiverIncarnation,
			Generation:   got.Generation,
			LastSequence: got.Sequence - 1,
		}, nil, nil)
		before := r.Checkpoint()
		fresh, err := r.Receive(got)
		if err != nil {
			assert.Equal(t, before, r.Checkpoint())
			assert.Zero(t, r.pending)
			return
		}
		n := 0
		for _, i := range fresh {
			n += len(i.Destinations)
		}
		assert.Equal(t, r.pending, n)
		var again Frame
		assert.NoError(t, Decode(Encode(got), &again))
		more, err := r.Receive(again)
		assert.NoError(t, err)
		assert.Empty(t, more)
	})
}

func FuzzMessages(f *testing.F) {
	f.Add(Encode(OpenRequest{Generation: Generation{Epoch: 1, Number: 1}, Sent: []Delivery{{Destination: 1}}}))
	f.Add(Encode(Ack{Incarnation: 1, Pending: []Delivery{{Destination: 1}}}))
	f.Add(Encode([]Result{{Outcome: Delivered}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, v := range []any{&OpenRequest{}, &Ack{}, &[]Result{}, &Checkpoint{}} {
			if Decode(raw, v) == nil {
				assert.NotEmpty(t, Encode(v))
			}
		}
	})
}
