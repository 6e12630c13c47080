package stream

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rowanlink/webhook/api"
)

func TestAListOfSubscribersIsReadAsItWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.SliceOfNDistinct(rapid.Uint32(), 1, 40, rapid.ID).Draw(t, "subscribers")
		e := &entry{item: &Item{}}
		p := packing{of: map[*entry]int{}}
		for _, n := range numbers {
			p.add(e, api.DestinationID(n))
		}
		f := p.frame(Run{Epoch: 1, No: 1}, 1, 0)
		f.Items[0].Name.Owner = "m"
		items, n, err := f.Unpack()
		assert.NoError(t, err)
		assert.Equal(t, len(numbers), n)
		assert.Len(t, items[0].To, n)
		for _, d := range items[0].To {
			assert.Contains(t, numbers, uint32(d))
		}
	})
}

// Whatever comes over the wire is refused whole or taken whole, and means the same when it is said again.
func FuzzFrame(f *testing.F) {
	s := NewSender(1, 0)
	s.Opened(s.Opening(), Answer{Life: 9, Run: Run{Epoch: 1, No: 1}, Limit: 9, Each: 9}, false, 0)
	s.Add(Item{Name: Name{Owner: "m"}, To: []api.DestinationID{1, 300}, Body: []byte("b")}, 0, 0)
	whole, _ := s.Next(0)
	f.Add(Encode(whole))
	for _, list := range []string{"", "\x80", "\x01\x00", "\xff\xff\xff\xff\x7f"} {
		bad := whole
		bad.Lists = [][]byte{[]byte(list)}
		f.Add(Encode(bad))
	}
	for _, at := range []int{-1, 1} {
		bad := whole
		bad.Items = []Packed{whole.Items[0]}
		bad.Items[0].Body = at
		f.Add(Encode(bad))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var got Frame
		if Decode(raw, &got) != nil {
			return
		}
		r := NewReceiver(Mark{Life: got.Life, Run: got.Run, Upto: got.Seq - 1}, nil, nil)
		before := r.Mark()
		fresh, err := r.Take(got)
		if err != nil {
			assert.Equal(t, before, r.Mark())
			assert.Zero(t, r.held)
			return
		}
		n := 0
		for _, i := range fresh {
			n += len(i.To)
		}
		assert.Equal(t, r.held, n)
		var again Frame
		assert.NoError(t, Decode(Encode(got), &again))
		more, err := r.Take(again)
		assert.NoError(t, err)
		assert.Empty(t, more)
	})
}

func FuzzOthers(f *testing.F) {
	f.Add(Encode(Ask{Run: Run{Epoch: 1, No: 1}, Sent: []Delivery{{To: 1}}}))
	f.Add(Encode(Answer{Life: 1, Held: []Delivery{{To: 1}}}))
	f.Add(Encode([]End{{How: Delivered}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, v := range []any{&Ask{}, &Answer{}, &[]End{}, &Mark{}} {
			if Decode(raw, v) == nil {
				assert.NotEmpty(t, Encode(v))
			}
		}
	})
}
