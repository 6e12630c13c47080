package stream

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/klauspost/compress/s2"

	"rowanlink/webhook/api"
)

// As members say things to each other: packed from so many bytes on, each with a head like this.
const (
	packOver = 4 << 10
	head     = "POST /fleet/stream HTTP/1.1\r\nHost: 127.0.0.1:7101\r\nSaid-By: m1\r\n" +
		"Content-Length: 1000\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
)

// tally counts what is said.
type tally struct{ calls, bytes int }

// says brings a message over, but for the sockets.
func says[T any](t *tally, v T, call bool) (heard T) {
	raw := Encode(v)
	if len(raw) >= packOver {
		packed := s2.Encode(nil, raw)
		t.bytes += len(packed)
		raw, _ = s2.Decode(nil, packed)
	} else {
		t.bytes += len(raw)
	}
	if call {
		t.calls++
		t.bytes += len(head)
	}
	if err := Decode(raw, &heard); err != nil {
		panic(err)
	}
	return heard
}

const sites, each = 40, 250

// announcement is of a kilobyte, half of it digests, which can't be packed.
func announcement(site int) Item {
	i := Item{Name: Name{Owner: "m1", Life: 1, ID: 1}, Request: "announcement-1", Many: true,
		MayRun: api.Never, TTL: api.Second}
	for n := range uint32(16) {
		sum := sha256.Sum256(binary.LittleEndian.AppendUint32(nil, n))
		i.Body = append(i.Body, sum[:]...)
		i.Body = append(i.Body, fmt.Sprintf(`,"article":%d,"currency":"EUR"`, n)...)
	}
	for n := range each {
		i.To = append(i.To, api.DestinationID(site*each+n+1))
	}
	return i
}

// BenchmarkAnnouncement: one for 10,000 subscribers at 40 sites, one call for each beside streams, both with
// every end told. Sockets and journals are left out of both.
func BenchmarkAnnouncement(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		t := tally{}
		for b.Loop() {
			t = tally{}
			for site := range sites {
				i := announcement(site)
				for _, to := range i.To {
					one := Frame{Bodies: [][]byte{i.Body}, Lists: [][]byte{packList(nil, i.To[:1])},
						Items: []Packed{{Name: i.Name, Request: i.RequestOf(to), TTL: i.TTL, MayRun: i.MayRun}}}
					got := says(&t, one, true)
					if _, _, err := got.Unpack(); err != nil {
						b.Fatal(err)
					}
					says(&t, End{Delivery: Delivery{Name: i.Name, To: to}, How: Delivered, Attempts: 1}, false)
				}
			}
		}
		b.ReportMetric(float64(t.calls), "calls")
		b.ReportMetric(float64(t.bytes), "bytes")
	})
	b.Run("streams", func(b *testing.B) {
		t := tally{}
		for b.Loop() {
			t = tally{}
			for site := range sites {
				stream(b, &t, announcement(site))
			}
		}
		b.ReportMetric(float64(t.calls), "calls")
		b.ReportMetric(float64(t.bytes), "bytes")
	})
}

func stream(b *testing.B, t *tally, i Item) {
	s, r := NewSender(1, 0), NewReceiver(Mark{Life: 9}, nil, nil)
	ask := says(t, s.Opening(), true)
	if _, err := r.Open(ask); err != nil {
		b.Fatal(err)
	}
	s.Opened(ask, says(t, r.Answer(4*each, 0), false), false, 0)
	s.Add(i, api.Second, 0)
	for f, ok := s.Next(api.Second); ok; f, ok = s.Next(api.Second) {
		if _, err := r.Take(says(t, f, true)); err != nil {
			b.Fatal(err)
		}
		s.Answered(says(t, r.Answer(4*each, 0), false), 0)
	}
	for _, to := range i.To {
		r.Ended(End{Delivery: Delivery{Name: i.Name, To: to}, How: Delivered, Attempts: 1})
	}
	for ends := r.Owed("m1", 256); len(ends) > 0; ends = r.Owed("m1", 256) {
		var heard []Delivery
		for _, e := range says(t, ends, true) {
			s.Ended(e.Delivery)
			heard = append(heard, e.Delivery)
		}
		r.Told(says(t, heard, false))
	}
}
