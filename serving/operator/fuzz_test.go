package operator

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
)

// heartbeatDocument is the JSON form of a heartbeat.
type heartbeatDocument struct {
	Service         string          `json:"carrier"`
	Address         string          `json:"address"`
	Zone            string          `json:"zone"`
	SoftwareVersion string          `json:"edition"`
	Slots           int             `json:"berths"`
	State           string          `json:"state"`
	WarmUpLeft      float64         `json:"cold_left_ms"` // in milliseconds
	RemovalIn       float64         `json:"remaining_ms"` // in milliseconds
	Sequence        uint64          `json:"call_seq"`
	Models          []modelDocument `json:"models"`
}

type modelDocument struct {
	Name     string   `json:"name"`
	Version  int      `json:"edition"`
	Adapters []string `json:"adapters"`
}

// FuzzHeartbeat: no accepted heartbeat has a negative number or lacks a required field, and a parsed heartbeat that is
// encoded and parsed again has the same values.
func FuzzHeartbeat(f *testing.F) {
	f.Add([]byte(`{"carrier":"huvo11a","address":"10.128.0.9:8080","zone":"z","edition":"v1","berths":128,
		"state":"accepting","cold_left_ms":12.5,"stage":"both","models":[{"name":"m","edition":1,"adapters":["a"]}],"call_seq":4}`))
	f.Add([]byte(`{"carrier":"s","address":"a","state":"closing","remaining_ms":1e308,"call_seq":18446744073709551615}`))
	f.Add([]byte(`{"carrier":"s","address":"a","edition":{"x":[1]},"models":[{"edition":-9e99,"adapters":"one"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, err := parseHeartbeat(body)
		if err != nil {
			assert.True(t, errcode.HeartbeatUnreadable.Is(err), "%v", err)
			return
		}
		assert.NotEmpty(t, heartbeat.Service)
		assert.NotEmpty(t, heartbeat.Address)
		assert.GreaterOrEqual(t, heartbeat.Slots, 0)
		assert.GreaterOrEqual(t, int64(heartbeat.WarmupLeft), int64(0))
		assert.GreaterOrEqual(t, int64(heartbeat.RemovalIn), int64(0))
		document := heartbeatDocument{Service: heartbeat.Service, Address: heartbeat.Address, Zone: heartbeat.Zone, SoftwareVersion: heartbeat.SoftwareVersion,
			Slots: heartbeat.Slots, State: "accepting", WarmUpLeft: float64(heartbeat.WarmupLeft) / 1e6,
			RemovalIn: float64(heartbeat.RemovalIn) / 1e6, Sequence: heartbeat.Sequence}
		if heartbeat.Draining {
			document.State = "closing"
		}
		for _, model := range heartbeat.Models {
			document.Models = append(document.Models, modelDocument{model.Name, model.Version, model.Adapters})
		}
		written, err := json.Marshal(document)
		require.NoError(t, err)
		reparsed, err := parseHeartbeat(written)
		require.NoError(t, err)
		assert.InDelta(t, float64(heartbeat.WarmupLeft), float64(reparsed.WarmupLeft), 1)
		assert.InDelta(t, float64(heartbeat.RemovalIn), float64(reparsed.RemovalIn), 1)
		assert.Equal(t, len(heartbeat.Models), len(reparsed.Models))
		assert.Equal(t, heartbeat.Sequence, reparsed.Sequence)
		assert.Equal(t, heartbeat.Slots, reparsed.Slots)
		assert.Equal(t, heartbeat.Draining, reparsed.Draining)
	})
}
