package shardmap

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms guards the encoding of what is stored in the raft log, in snapshots and in the journal, and of
// what members send to each other: renaming a Go field must not change it.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		Map{},
		command{},
		TransferredWebhook{},
		CustodyRecord{},
		Decision{},
	)
}
