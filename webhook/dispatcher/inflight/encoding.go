package inflight

import (
	"encoding/binary"
	"errors"
	"slices"

	"rowanlink/webhook/api"
)

var errMalformed = errors.New("a webhook's stored form is malformed")

// formatWide is the first byte of the stored form whose destinations have 32 bits. The older form has 16 bits and begins
// with the event type, which is never this number: settings can't name so many event types.
const formatWide = 0xff

// Offsets and lengths in the stored form, after formatWide: event type, tenant, ordering key, destination, deadline.
const (
	tenantOffset      = 1
	orderingKeyOffset = 5
	destinationOffset = 13
	deadlineOffset    = 17
	webhookFixedLen   = 25
	textLengthLen     = 2 // of request id and token
)

// Encode returns the form in which a webhook is stored.
func (w *Webhook) Encode() []byte {
	size := 1 + webhookFixedLen + 2*textLengthLen + len(w.RequestID) + len(w.Token) + len(w.Body)
	b := make([]byte, 0, size)
	b = append(b, formatWide, byte(w.EventType))
	b = binary.LittleEndian.AppendUint32(b, uint32(w.Tenant))
	b = binary.LittleEndian.AppendUint64(b, uint64(w.OrderingKey))
	b = binary.LittleEndian.AppendUint32(b, uint32(w.Destination))
	b = binary.LittleEndian.AppendUint64(b, uint64(w.Deadline))
	b = appendText(b, string(w.RequestID))
	b = appendText(b, string(w.Token))
	return append(b, w.Body...)
}

func appendText(b []byte, text string) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(text)))
	return append(b, text...)
}

// DecodeWebhook decodes a stored webhook of either form.
func DecodeWebhook(id api.WebhookID, b []byte) (*Webhook, error) {
	if len(b) > 0 && b[0] == formatWide {
		b = b[1:]
	} else if narrowEnd := destinationOffset + 2; len(b) >= narrowEnd {
		b = slices.Insert(slices.Clone(b), narrowEnd, 0, 0)
	}
	if len(b) < webhookFixedLen {
		return nil, errMalformed
	}
	w := &Webhook{
		ID:          id,
		EventType:   api.EventTypeID(b[0]),
		Tenant:      api.TenantID(binary.LittleEndian.Uint32(b[tenantOffset:])),
		OrderingKey: api.OrderingKey(binary.LittleEndian.Uint64(b[orderingKeyOffset:])),
		Destination: api.DestinationID(binary.LittleEndian.Uint32(b[destinationOffset:])),
		Deadline:    api.Micros(binary.LittleEndian.Uint64(b[deadlineOffset:])),
	}
	requestID, rest, err := cutText(b[webhookFixedLen:])
	if err != nil {
		return nil, err
	}
	token, body, err := cutText(rest)
	if err != nil {
		return nil, err
	}
	w.RequestID = RequestID(requestID)
	w.Token = Token(token)
	w.Body = body
	return w, nil
}

// cutText reads a text that is preceded by its length, and returns what follows it.
func cutText(b []byte) (text string, rest []byte, err error) {
	if len(b) < textLengthLen {
		return "", nil, errMalformed
	}
	end := textLengthLen + int(binary.LittleEndian.Uint16(b))
	if len(b) < end {
		return "", nil, errMalformed
	}
	return string(b[textLengthLen:end]), b[end:], nil
}
