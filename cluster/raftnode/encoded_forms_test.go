package raftnode

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms checks that the encoding of the header stored with each raft log entry does not change.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		entryHeader{},
	)
}
