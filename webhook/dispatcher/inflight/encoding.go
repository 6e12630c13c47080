package inflight

import (
	"encoding/binary"
	"slices"

	"rowanlink/webhook/api"
)

// formatWide opens the kept form whose destinations are 32 bits wide. The form before it had 16 and began with the
// event type, of which none has this number: no settings name so many.
const formatWide = 0xff

// Encode is the form in which a webhook outlasts the process.
func (w *Webhook) Encode() []byte {
	b := make([]byte, 0, 36+len(w.RequestID)+len(w.Token)+len(w.Body))
	b = append(b, formatWide, byte(w.EventType))
	b = binary.LittleEndian.AppendUint32(b, uint32(w.Tenant))
	b = binary.LittleEndian.AppendUint64(b, uint64(w.OrderingKey))
	b = binary.LittleEndian.AppendUint32(b, uint32(w.Destination))
	b = binary.LittleEndian.AppendUint64(b, uint64(w.Deadline))
	for _, text := range []string{string(w.RequestID), string(w.Token)} {
		b = binary.LittleEndian.AppendUint16(b, uint16(len(text)))
		b = append(b, text...)
	}
	return append(b, w.Body...)
}

// DecodeWebhook reads that form again, and the one before it.
func DecodeWebhook(id api.WebhookID, b []byte) (*Webhook, error) {
	const fixed, destAt = 1 + 4 + 8 + 4 + 8, 13
	if len(b) > 0 && b[0] == formatWide {
		b = b[1:]
	} else if len(b) >= destAt+2 {
		b = slices.Insert(slices.Clone(b), destAt+2, 0, 0)
	}
	if len(b) < fixed {
		return nil, errMalformed
	}
	w := &Webhook{ID: id, EventType: api.EventTypeID(b[0]),
		Tenant:      api.TenantID(binary.LittleEndian.Uint32(b[1:])),
		OrderingKey: api.OrderingKey(binary.LittleEndian.Uint64(b[5:])),
		Destination: api.DestinationID(binary.LittleEndian.Uint32(b[destAt:])),
		Deadline:    api.Micros(binary.LittleEndian.Uint64(b[destAt+4:]))}
	b = b[fixed:]
	texts := [2]string{}
	for i := range texts {
		if len(b) < 2 || len(b) < 2+int(binary.LittleEndian.Uint16(b)) {
			return nil, errMalformed
		}
		n := 2 + int(binary.LittleEndian.Uint16(b))
		texts[i], b = string(b[2:n]), b[n:]
	}
	w.RequestID, w.Token, w.Body = RequestID(texts[0]), Token(texts[1]), b
	return w, nil
}
