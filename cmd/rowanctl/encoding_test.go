package main

import (
	"testing"

	"rowanlink/internal/wireschema"
	"rowanlink/serving/operator/client"
	"rowanlink/serving/routing"
	"rowanlink/test/encodedforms"
)

// TestEncodedForms compares the form of the JSON output with a golden file.
func TestEncodedForms(t *testing.T) {
	encodedforms.AssertGolden(t, wireschema.JSON,
		acknowledgement{},
		documentSummary{},
		[]routing.ItemChange{},
		[]memberRow{},
		[]endpointRow{},
		[]replicaRow{},
		[]singletonRow{},
		[]versionRow{},
		client.Rollout{},
	)
}
