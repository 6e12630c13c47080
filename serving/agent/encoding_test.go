package agent

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the form of the directory's responses with a golden file.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.JSON,
		lookupResponse{},
		lookupError{},
	)
}
