package stream

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/klauspost/compress/s2"

	"rowanlink/webhook/api"
)

// Members compress messages from this size on, and each has a head like this.
const (
	compressFrom = 4 << 10
	head         = "POST /fleet/stream HTTP/1.1\r\nHost: 127.0.0.1:7101\r\nSaid-By: m1\r\n" +
		"Content-Length: 1000\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
)

// traffic counts messages.
type traffic struct{ calls, bytes int }

// transfer encodes and decodes a message, without sockets.
func transfer[T any](t *traffic, v T, call bool) (decoded T) {
	raw := Encode(v)
	if len(raw) >= compressFrom {
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
	if err := Decode(raw, &decoded); err != nil {
		panic(err)
	}
	return decoded
}

const sites, each = 40, 250

// announcement has a kilobyte, half of it digests, which can't be compressed.
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

// BenchmarkAnnouncement sends one announcement to 10,000 subscribers at 40 sites, by a call for each and by streams,
// both with all results. Sockets and journals are left out of both.
func BenchmarkAnnouncement(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		t := traffic{}
		for b.Loop() {
			t = traffic{}
			for site := range sites {
				i := announcement(site)
				for _, to := range i.Destinations {
					one := Frame{Bodies: [][]byte{i.Body}, DestinationLists: [][]byte{encodeDestinations(nil, i.Destinations[:1])},
						Items: []FrameItem{{ID: i.ID, RequestID: i.RequestIDFor(to), TTL: i.TTL, FirstAttemptAt: i.FirstAttemptAt}}}
					got := transfer(&t, one, true)
					if _, _, err := got.Unpack(); err != nil {
						b.Fatal(err)
					}
					transfer(&t, Result{Delivery: Delivery{Message: i.ID, Destination: to}, Outcome: Delivered, Attempts: 1}, false)
				}
			}
		}
		b.ReportMetric(float64(t.calls), "calls")
		b.ReportMetric(float64(t.bytes), "bytes")
	})
	b.Run("streams", func(b *testing.B) {
		t := traffic{}
		for b.Loop() {
			t = traffic{}
			for site := range sites {
				stream(b, &t, announcement(site))
			}
		}
		b.ReportMetric(float64(t.calls), "calls")
		b.ReportMetric(float64(t.bytes), "bytes")
	})
}

func stream(b *testing.B, t *traffic, i Item) {
	s, r := NewSender(1, 0), NewReceiver(Checkpoint{Incarnation: 9}, nil, nil)
	ask := transfer(t, s.OpenRequest(), true)
	if _, err := r.Open(ask); err != nil {
		b.Fatal(err)
	}
	s.HandleOpened(ask, transfer(t, r.Ack(4*each, 0), false), false, 0)
	s.Add(i, api.Second, 0)
	for f, ok := s.NextFrame(api.Second); ok; f, ok = s.NextFrame(api.Second) {
		if _, err := r.Receive(transfer(t, f, true)); err != nil {
			b.Fatal(err)
		}
		s.HandleAck(transfer(t, r.Ack(4*each, 0), false), 0)
	}
	for _, to := range i.Destinations {
		r.RecordResult(Result{Delivery: Delivery{Message: i.ID, Destination: to}, Outcome: Delivered, Attempts: 1})
	}
	for results := r.UnacknowledgedResults("m1", 256); len(results) > 0; results = r.UnacknowledgedResults("m1", 256) {
		var decoded []Delivery
		for _, e := range transfer(t, results, true) {
			s.Complete(e.Delivery)
			decoded = append(decoded, e.Delivery)
		}
		r.AcknowledgeResults(transfer(t, decoded, false))
	}
}
