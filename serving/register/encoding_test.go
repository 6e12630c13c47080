package register

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the encoded form of the messages between nodes with a golden file: nodes of different
// releases exchange them, and proposals are stored on disk.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		PrepareRequest{}, AcceptRequest{}, QueryRequest{}, Vote{}, DescribeRequest{}, Description{})
}
