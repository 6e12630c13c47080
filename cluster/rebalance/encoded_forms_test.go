package rebalance

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms pins the forms of the raft log's commands, of the snapshot, and of the messages between members.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		command{},
		Progress{},
		Report{},
		MonitoredMove{},
	)
}
