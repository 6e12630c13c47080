package operator

import (
	"time"

	"github.com/tidwall/gjson"

	"rowanlink/serving/endpoints"
	"rowanlink/serving/errcode"
	"rowanlink/serving/schema"
	"rowanlink/serving/state"
)

// closingWords says whether an endpoint that calls itself by the word takes no new requests.
var closingWords = map[string]bool{"accepting": false, "closing": true}

// Settings of a heartbeat. Nothing is required that a core member can do without: an endpoint that is refused would
// not be known at all.
var (
	heartbeatSettings = schema.Table[endpoints.Beat]{
		{Name: "carrier", Required: true, Check: schema.NotEmpty,
			Type: schema.Text(func(b *endpoints.Beat) *string { return &b.Service })},
		{Name: "address", Required: true, Check: schema.NotEmpty,
			Type: schema.Text(func(b *endpoints.Beat) *string { return &b.Address })},
		{Name: "zone", Type: schema.Text(func(b *endpoints.Beat) *string { return &b.Zone })},
		{Name: "edition", Type: schema.Raw(func(b *endpoints.Beat, value gjson.Result) error {
			b.Edition = value.String()
			return nil
		})},
		{Name: "berths", Type: schema.Whole(func(b *endpoints.Beat) *int { return &b.Slots })},
		{Name: "state", Type: schema.Word(closingWords, func(b *endpoints.Beat) *bool { return &b.Closing })},
		{Name: "cold_left_ms", Type: schema.Span(time.Millisecond,
			func(b *endpoints.Beat) *time.Duration { return &b.ColdLeft })},
		{Name: "remaining_ms", Type: schema.Span(time.Millisecond,
			func(b *endpoints.Beat) *time.Duration { return &b.Remaining })},
		{Name: "models", Type: schema.Objects(modelSettings, "name",
			func(b *endpoints.Beat) *[]state.Model { return &b.Models })},
		{Name: "call_seq", Type: schema.Counter(func(b *endpoints.Beat) *uint64 { return &b.Sequence })},
	}

	modelSettings = schema.Table[state.Model]{
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

// readHeartbeat reads the body of a heartbeat. Errors are result.HeartbeatUnreadable.
func readHeartbeat(body []byte) (endpoints.Beat, error) {
	var beat endpoints.Beat
	if err := heartbeatSettings.Parse(body, &beat); err != nil {
		return beat, errcode.HeartbeatUnreadable.With("%s", errcode.Of(err).Detail)
	}
	return beat, nil
}
