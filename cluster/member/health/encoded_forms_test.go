package health

import (
	"testing"

	"rowanlink/cluster/rebalance"
	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms guards the messages between members, which may run different versions, against a change of their
// encoding by a renamed field.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		Query{},
		rebalance.Report{},
	)
}
