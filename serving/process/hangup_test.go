package process

import (
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// hangupVariable makes the test binary the process that gets the signals.
const hangupVariable = "ROWANLINK_TEST_HANGUP"

// TestHangupEndsNoProgram: SIGHUP at each of three points, before anybody else listens to it, while somebody does, and
// after.
func TestHangupEndsNoProgram(t *testing.T) {
	if os.Getenv(hangupVariable) != "" {
		hangUpThreeTimes(t)
		return
	}
	command := exec.Command(os.Args[0], "-test.run=^TestHangupEndsNoProgram$")
	command.Env = append(os.Environ(), hangupVariable+"=1")
	output, err := command.CombinedOutput()
	assert.NoError(t, err, string(output))
}

func hangUpThreeTimes(t *testing.T) {
	stayOnHangup()
	witness := make(chan os.Signal, 1)
	for range 3 {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		signal.Notify(witness, syscall.SIGHUP)
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		<-witness
		signal.Stop(witness)
	}
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
}
