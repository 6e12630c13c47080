package operator

import (
	"time"

	"github.com/tidwall/gjson"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/errcode"
	"rowanlink/serving/schema"
	"rowanlink/serving/state"
)

// isClosingByState says whether an endpoint that calls itself by the word takes no new requests.
var isClosingByState = map[string]bool{"accepting": false, "closing": true}

// Settings of a heartbeat. Nothing is required that a core member can do without: an endpoint that is refused would
// not be known at all.
var (
	heartbeatFields = schema.Table[endpoints.Heartbeat]{
		{Name: "carrier", Required: true, Check: schema.NotEmpty,
			Type: schema.Text(func(b *endpoints.Heartbeat) *string { return &b.Service })},
		{Name: "address", Required: true, Check: schema.NotEmpty,
			Type: schema.Text(func(b *endpoints.Heartbeat) *string { return &b.Address })},
		{Name: "zone", Type: schema.Text(func(b *endpoints.Heartbeat) *string { return &b.Zone })},
		{Name: "edition", Type: schema.Raw(func(b *endpoints.Heartbeat, value gjson.Result) error {
			b.Edition = value.String()
			return nil
		})},
		{Name: "berths", Type: schema.Whole(func(b *endpoints.Heartbeat) *int { return &b.Slots })},
		{Name: "state", Type: schema.Word(isClosingByState, func(b *endpoints.Heartbeat) *bool { return &b.Closing })},
		{Name: "cold_left_ms", Type: schema.Span(time.Millisecond,
			func(b *endpoints.Heartbeat) *time.Duration { return &b.WarmUpRemaining })},
		{Name: "remaining_ms", Type: schema.Span(time.Millisecond,
			func(b *endpoints.Heartbeat) *time.Duration { return &b.Remaining })},
		{Name: "models", Type: schema.Objects(modelFields, "name",
			func(b *endpoints.Heartbeat) *[]state.Model { return &b.Models })},
		{Name: "call_seq", Type: schema.Counter(func(b *endpoints.Heartbeat) *uint64 { return &b.Sequence })},
	}

	modelFields = schema.Table[state.Model]{
		{Name: "name", Type: schema.Text(func(m *state.Model) *string { return &m.Name })},
		{Name: "edition", Type: schema.Raw(func(m *state.Model, value gjson.Result) error {
			m.Version = int(value.Int())
			return nil
		})},
		{Name: "adapters", Type: schema.Raw(storeAdapters)},
	}
)

func storeAdapters(m *state.Model, value gjson.Result) error {
	for _, adapter := range value.Array() {
		m.Adapters = append(m.Adapters, adapter.String())
	}
	return nil
}

// readHeartbeat reads the body of a heartbeat. Errors are errcode.HeartbeatUnreadable.
func readHeartbeat(body []byte) (endpoints.Heartbeat, error) {
	var beat endpoints.Heartbeat
	if err := heartbeatFields.Parse(body, &beat); err != nil {
		return beat, errcode.HeartbeatUnreadable.With("%s", errcode.Of(err).Detail)
	}
	return beat, nil
}
