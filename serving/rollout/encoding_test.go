package rollout

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the encoding of the package's messages with the golden file, so that a rename in Go can't
// change what members of different versions send each other.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		ReportRequest{},
		ReportResponse{},
		SupportRequest{},
		SupportResponse{},
	)
}
