package operator

import (
	"time"

	"github.com/tidwall/gjson"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/errcode"
	"rowanlink/serving/schema"
	"rowanlink/serving/state"
)

// isClosingByState holds the states that an endpoint may report, and whether the endpoint rejects new requests in them.
var isClosingByState = map[string]bool{"accepting": false, "closing": true}

// The fields of a heartbeat. Only those that a core member can't do without are required, since an endpoint whose
// heartbeats are rejected isn't registered at all.
var (
	heartbeatFields = schema.Table[endpoints.Heartbeat]{
		{Name: "carrier", Required: true, Check: schema.NotEmpty,
			Type: schema.String(func(h *endpoints.Heartbeat) *string { return &h.Service })},
		{Name: "address", Required: true, Check: schema.NotEmpty,
			Type: schema.String(func(h *endpoints.Heartbeat) *string { return &h.Address })},
		{Name: "zone", Type: schema.String(func(h *endpoints.Heartbeat) *string { return &h.Zone })},
		{Name: "edition", Type: schema.Raw(func(h *endpoints.Heartbeat, value gjson.Result) error {
			h.SoftwareVersion = value.String()
			return nil
		})},
		{Name: "berths", Type: schema.Int(func(h *endpoints.Heartbeat) *int { return &h.Slots })},
		{Name: "state", Type: schema.Enum(isClosingByState, func(h *endpoints.Heartbeat) *bool { return &h.Draining })},
		{Name: "cold_left_ms", Type: schema.Duration(time.Millisecond,
			func(h *endpoints.Heartbeat) *time.Duration { return &h.WarmupLeft })},
		{Name: "remaining_ms", Type: schema.Duration(time.Millisecond,
			func(h *endpoints.Heartbeat) *time.Duration { return &h.RemovalIn })},
		{Name: "models", Type: schema.ObjectList(modelFields, "name",
			func(h *endpoints.Heartbeat) *[]state.Model { return &h.Models })},
		{Name: "call_seq", Type: schema.Uint64(func(h *endpoints.Heartbeat) *uint64 { return &h.Sequence })},
	}

	modelFields = schema.Table[state.Model]{
		{Name: "name", Type: schema.String(func(m *state.Model) *string { return &m.Name })},
		{Name: "edition", Type: schema.Raw(func(m *state.Model, value gjson.Result) error {
			m.Version = int(value.Int())
			return nil
		})},
		{Name: "adapters", Type: schema.Raw(storeAdapters)},
	}
)

// storeAdapters stores the names of a model's adapters.
func storeAdapters(m *state.Model, value gjson.Result) error {
	for _, adapter := range value.Array() {
		m.Adapters = append(m.Adapters, adapter.String())
	}
	return nil
}

// parseHeartbeat parses the body of a heartbeat. Errors are errcode.HeartbeatUnreadable.
func parseHeartbeat(body []byte) (endpoints.Heartbeat, error) {
	var heartbeat endpoints.Heartbeat
	if err := heartbeatFields.Parse(body, &heartbeat); err != nil {
		return heartbeat, errcode.HeartbeatUnreadable.With("%s", errcode.Of(err).Detail)
	}
	return heartbeat, nil
}
