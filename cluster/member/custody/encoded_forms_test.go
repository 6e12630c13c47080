package custody

import (
	"testing"

	"rowanlink/cluster/shardmap"
	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms guards the custody records, stored in the directory fleet/names, against a change of their encoding
// by a renamed field.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		shardmap.CustodyRecord{},
	)
}
