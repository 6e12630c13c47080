package stream

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/klauspost/compress/s2"

	"rowanlink/webhook/api"
)

// The way cluster/transport sends messages, as far as it matters for their size.
const (
	compressionThreshold = 4 << 10 // bytes; larger messages are compressed
	// httpHeaders are typical headers of a request and its response. Only their length is used.
	httpHeaders = "POST /fleet/stream HTTP/1.1\r\nHost: 127.0.0.1:7101\r\nSaid-By: m1\r\n" +
		"Content-Length: 1000\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
)

// traffic counts the requests, and the bytes of all messages.
type traffic struct{ calls, bytes int }

// transfer encodes, compresses, counts and decodes a message. It uses no sockets. A request counts as a call, with HTTP
// headers for itself and its response.
func transfer[T any](t *traffic, v T, isRequest bool) (decoded T) {
	raw := Encode(v)
	if len(raw) >= compressionThreshold {
		packed := s2.Encode(nil, raw)
		t.bytes += len(packed)
		raw, _ = s2.Decode(nil, packed)
	} else {
		t.bytes += len(raw)
	}
	if isRequest {
		t.calls++
		t.bytes += len(httpHeaders)
	}
	if err := Decode(raw, &decoded); err != nil {
		panic(err)
	}
	return decoded
}

// The subscribers of the benchmark's announcement.
const (
	siteCount          = 40
	subscribersPerSite = 250
)

// announcement returns an item for the subscribers of a site. Its body has a kilobyte, half of it digests, which can't be
// compressed.
func announcement(site int) Item {
	i := Item{
		ID:             MessageID{Origin: "m1", Incarnation: 1, Number: 1},
		RequestID:      "announcement-1",
		IsAnnouncement: true,
		FirstAttemptAt: api.Never,
		Deadline:       api.Second,
	}
	for n := range uint32(16) {
		sum := sha256.Sum256(binary.LittleEndian.AppendUint32(nil, n))
		i.Body = append(i.Body, sum[:]...)
		i.Body = append(i.Body, fmt.Sprintf(`,"article":%d,"currency":"EUR"`, n)...)
	}
	for n := range subscribersPerSite {
		i.Destinations = append(i.Destinations, api.DestinationID(site*subscribersPerSite+n+1))
	}
	return i
}

// BenchmarkAnnouncement sends one announcement to 10,000 subscribers at 40 sites and returns all results, with one call
// for each subscriber ("direct") and with streams. Neither uses sockets or journals.
func BenchmarkAnnouncement(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		t := traffic{}
		for b.Loop() {
			t = traffic{}
			for site := range siteCount {
				i := announcement(site)
				for _, to := range i.Destinations {
					sendDirectly(b, &t, i, to)
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
			for site := range siteCount {
				sendByStream(b, &t, announcement(site))
			}
		}
		b.ReportMetric(float64(t.calls), "calls")
		b.ReportMetric(float64(t.bytes), "bytes")
	})
}

// sendDirectly sends an announcement to one subscriber in a frame of its own, and returns its result to the origin.
func sendDirectly(b *testing.B, t *traffic, i Item, to api.DestinationID) {
	b.Helper()
	item := FrameItem{ID: i.ID, RequestID: i.RequestIDFor(to), TTL: i.Deadline, FirstAttemptAt: i.FirstAttemptAt}
	frame := Frame{
		Bodies:           [][]byte{i.Body},
		DestinationLists: [][]byte{encodeDestinations(nil, i.Destinations[:1])},
		Items:            []FrameItem{item},
	}
	received := transfer(t, frame, true)
	if _, _, err := received.Unpack(); err != nil {
		b.Fatal(err)
	}
	transfer(t, newDelivered(i, to), false)
}

func newDelivered(i Item, to api.DestinationID) Result {
	return Result{
		Delivery: Delivery{Message: i.ID, Destination: to},
		Outcome:  Delivered,
		Attempts: 1,
	}
}

// sendByStream sends an announcement to all subscribers of a site by a stream, and returns their results to the origin.
func sendByStream(b *testing.B, t *traffic, i Item) {
	b.Helper()
	s, r := NewSender(1, 0), NewReceiver(Checkpoint{Incarnation: 9}, nil, nil)
	request := transfer(t, s.OpenRequest(), true)
	if _, err := r.Open(request); err != nil {
		b.Fatal(err)
	}
	s.HandleOpened(request, transfer(t, r.Ack(4*subscribersPerSite, 0), false), false, 0)
	s.Add(i, api.Second, 0)
	for f, ok := s.NextFrame(api.Second); ok; f, ok = s.NextFrame(api.Second) {
		if _, err := r.Receive(transfer(t, f, true)); err != nil {
			b.Fatal(err)
		}
		s.HandleAck(transfer(t, r.Ack(4*subscribersPerSite, 0), false), 0)
	}
	for _, to := range i.Destinations {
		r.RecordResult(newDelivered(i, to))
	}
	for results := r.UnacknowledgedResults("m1", 256); len(results) > 0; results = r.UnacknowledgedResults("m1", 256) {
		var recorded []Delivery
		for _, result := range transfer(t, results, true) {
			s.Complete(result.Delivery)
			recorded = append(recorded, result.Delivery)
		}
		r.AcknowledgeResults(transfer(t, recorded, false))
	}
}
