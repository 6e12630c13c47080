// Package serving has the stories of whole serving systems: real cores, agents and proxies on loopback addresses, with
// endpoints that the test plays and clients that keep to the protocol. Processes are killed, ended and started again;
// what was acknowledged must stay, and no request may run twice, be mixed up or get lost over planned work.
package serving

import (
	"os"
	"testing"

	"rowanlink/test/integration/subprocess"
)

// programs is the folder of the programs, built for these stories.
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
