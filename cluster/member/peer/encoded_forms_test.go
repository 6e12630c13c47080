package peer

import (
	"testing"

	"rowanlink/cluster/shardmap"
	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms guards the messages between members, which may run different versions, against a change of their
// encoding by a renamed field.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		Transfer{},
		TransferReply{},
		[]CustodyQuery{},
		[]shardmap.CustodyReply{},
	)
}
