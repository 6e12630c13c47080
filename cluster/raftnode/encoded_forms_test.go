package raftnode

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms guards the header that is stored with the command in each entry of the raft log.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		entryHeader{},
	)
}
