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

// hangupVariable is the environment variable that makes the test binary run as the subprocess that gets the signals.
const hangupVariable = "ROWANLINK_TEST_HANGUP"

// TestMain_SurvivesHangup sends SIGHUP before another handler is registered for it, while one is registered, and after
// it was removed.
func TestMain_SurvivesHangup(t *testing.T) {
	if os.Getenv(hangupVariable) != "" {
		raiseHangups(t)
		return
	}
	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestMain_SurvivesHangup$")
	command.Env = append(os.Environ(), hangupVariable+"=1")
	output, err := command.CombinedOutput()
	assert.NoError(t, err, string(output))
}

func raiseHangups(t *testing.T) {
	t.Helper()
	ignoreHangup()
	received := make(chan os.Signal, 1)
	for range 3 {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		signal.Notify(received, syscall.SIGHUP)
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		<-received
		signal.Stop(received)
	}
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
}
