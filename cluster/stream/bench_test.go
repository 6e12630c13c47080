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
	i := Item{ID: MessageID{Origin: "m1", Incarnation: 1, Number: 1}, RequestID: "announcement-1", IsAnnouncement: true,
		FirstAttemptAt: api.Never, TTL: api.Second}
	for n := range uint32(16) {
		sum := sha256.Sum256(binary.LittleEndian.AppendUint32(nil, n))
		i.Body = append(i.Body, sum[:]...)
		i.Body = append(i.Body, fmt.Sprintf(`,"article":%d,"currency":"EUR"`, n)...)
	}
	for n := range each {
		i.Destinations = append(i.Destinations, api.DestinationID(site*each+n+1))
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
				for _, to := range i.Destinations {
					one := Frame{Bodies: [][]byte{i.Body}, DestinationLists: [][]byte{packList(nil, i.Destinations[:1])},
						Items: []FrameItem{{ID: i.ID, RequestID: i.RequestIDFor(to), TTL: i.TTL, FirstAttemptAt: i.FirstAttemptAt}}}
					got := says(&t, one, true)
					if _, _, err := got.Unpack(); err != nil {
						b.Fatal(err)
					}
					says(&t, Result{Delivery: Delivery{Message: i.ID, Destination: to}, Outcome: Delivered, Attempts: 1}, false)
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
	s, r := NewSender(1, 0), NewReceiver(Checkpoint{Incarnation: 9}, nil, nil)
	ask := says(t, s.OpenRequest(), true)
	if _, err := r.Open(ask); err != nil {
		b.Fatal(err)
	}
	s.HandleOpened(ask, says(t, r.Ack(4*each, 0), false), false, 0)
	s.Add(i, api.Second, 0)
	for f, ok := s.NextFrame(api.Second); ok; f, ok = s.NextFrame(api.Second) {
		if _, err := r.Receive(says(t, f, true)); err != nil {
			b.Fatal(err)
		}
		s.HandleAck(says(t, r.Ack(4*each, 0), false), 0)
	}
	for _, to := range i.Destinations {
		r.RecordResult(Result{Delivery: Delivery{Message: i.ID, Destination: to}, Outcome: Delivered, Attempts: 1})
	}
	for ends := r.UnacknowledgedResults("m1", 256); len(ends) > 0; ends = r.UnacknowledgedResults("m1", 256) {
		var heard []Delivery
		for _, e := range says(t, ends, true) {
			s.Complete(e.Delivery)
			heard = append(heard, e.Delivery)
		}
		r.AcknowledgeResults(says(t, heard, false))
	}
}
