package shardmap

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms guards what is stored in the raft log, in snapshots and in the journal, and what members send to
// each other: no renamed Go field may change it.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		Map{},
		command{},
		TransferredWebhook{},
		CustodyRecord{},
		Decision{},
	)
}
