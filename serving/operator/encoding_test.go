package operator

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the form of responses with a golden file.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.JSON,
		heartbeatResponse{},
		errorBody{},
		rolloutBody{},
	)
}
