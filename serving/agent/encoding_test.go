package agent

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the JSON form of the directory's responses with the golden file, so that a rename in Go can't
// change what clients receive.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.JSON,
		lookupResponse{},
		lookupError{},
	)
}
