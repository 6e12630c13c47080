package raftnode

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms guards what stands beside a command in each entry of the raft log.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		entryHeader{},
	)
}
