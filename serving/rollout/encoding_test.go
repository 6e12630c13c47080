package rollout

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the form of the agents' reports with a golden file.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR,
		ReportRequest{},
		ReportResponse{},
		SupportRequest{},
		SupportResponse{},
	)
}
