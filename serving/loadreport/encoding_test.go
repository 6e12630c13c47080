package loadreport

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the encoding of the package's messages with the golden file, so that a rename in Go can't
// change how reports of endpoints are read.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.JSON,
		report{},
	)
}
