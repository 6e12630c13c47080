package loadreport

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the encoded form of reports with a golden file, so that renaming a Go field can't change
// how endpoints' reports are decoded.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.JSON,
		report{},
	)
}
