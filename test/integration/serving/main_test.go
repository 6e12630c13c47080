// Package serving holds the integration tests of complete serving systems: real cores, agents and proxies on loopback
// addresses, with fake endpoints and clients that keep to the protocol. Processes are killed, shut down and restarted;
// what was acknowledged must stay, and no request may run twice, get another one's response or be lost during planned
// work.
package serving

import (
	"os"
	"testing"

	"rowanlink/test/integration/subprocess"
)

// programs is the folder of the programs built for these tests.
var programs string

func TestMain(m *testing.M) {
	folder, remove, err := subprocess.Build("../../..", programCore, programAgent, programProxy)
	if err != nil {
		panic(err)
	}
	programs = folder
	code := m.Run()
	remove()
	os.Exit(code)
}
