package experiment

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/test/encodedforms"
)

// The JSON files of runs, sweeps and comparisons keep their keys.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.JSON, Result{}, manifest{}, sweepRow{}, Comparison{}, OwnershipResult{})
}
