package cluster

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms fails if a renamed Go field changes the stored and transmitted form of a type.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.CBOR, Command{})
}
