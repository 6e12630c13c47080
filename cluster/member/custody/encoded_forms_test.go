package custody

import (
	"testing"

	"rowanlink/cluster/shardmap"
	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms guards the records under fleet/names against a renamed field.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		shardmap.CustodyRecord{},
	)
}
