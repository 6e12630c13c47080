package leasecheck_test

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/leasecheck"
)

// client keeps no connection, which would not survive a restart of the checker.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// post sends steps such as "begin m1/3" or "end m1/3 fence" to a checker and returns the status codes.
func post(t *testing.T, c *leasecheck.Checker, steps string) (codes []int) {
	t.Helper()
	for step := range strings.SplitSeq(steps, ", ") {
		fields := strings.Fields(step)
		member, epoch, _ := strings.Cut(fields[1], "/")
		url := fmt.Sprintf("http://%s/%s?task=a&member=%s&epoch=%s", c.Addr, fields[0], member, epoch)
		if len(fields) > 2 {
			url += "&fence=1"
		}
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, nil)
		require.NoError(t, err)
		response, err := client.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		codes = append(codes, response.StatusCode)
	}
	return codes
}

// Each violation is found by Violations and by porcupine alike.
func TestChecker_FindsOverlapsAndDecreasingEpochs(t *testing.T) {
	for _, c := range []struct{ steps, violation string }{
		{"begin m1/3, end m1/3, begin m1/3, end m1/3, begin m2/5, end m2/5", ""},
		{"begin m1/3, begin m2/5, end m2/5", ""}, // the first never took effect
		{"begin m1/3, begin m2/5, end m1/3, end m2/5", "before m1 with 3 ended"},
		{"begin m1/3, begin m2/5, end m2/5, end m1/3", "before m1 with 3 ended"},
		{"begin m2/5, end m2/5, begin m1/3, end m1/3", "m1 after epoch 5 of m2"},
		{"begin m2/5, end m2/5, begin m1/3", "m1 after epoch 5 of m2"},
		{"begin m1/3, end m1/3, begin m2/3, end m2/3", "have epoch 3"},
		{"begin m1/3, begin m2/5 fence, end m1/3 fence, end m2/5", ""}, // its end was rejected
		{"begin m2/5, end m2/5, begin m1/3 fence", ""},
	} {
		t.Run(c.steps, func(t *testing.T) {
			checker, err := leasecheck.Open(filepath.Join(t.TempDir(), "history"))
			require.NoError(t, err)
			post(t, checker, c.steps)
			violated, err := checker.CheckLinearizable(time.Minute)
			require.NoError(t, err)
			violations := strings.Join(checker.Violations(), "\n")
			if c.violation == "" {
				assert.Empty(t, violations)
				assert.Empty(t, violated)
			} else {
				assert.Contains(t, violations, c.violation)
				assert.Equal(t, []string{"a"}, violated)
			}
			require.NoError(t, checker.Close())
		})
	}
}

func TestChecker_FenceSurvivesRestart(t *testing.T) {
	checker, err := leasecheck.Open(filepath.Join(t.TempDir(), "history"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = checker.Close() })
	assert.Equal(t, []int{204, 204}, post(t, checker, "begin m2/5, end m2/5"))
	require.NoError(t, checker.Stop())
	require.NoError(t, checker.Start())
	assert.Equal(t, []int{409, 204, 409, 400}, post(t, checker,
		"begin m1/4 fence, begin m3/6 fence, end m2/5 fence, end m2/x"))
	assert.Len(t, checker.Operations("a"), 2)
	assert.Empty(t, checker.Violations())
}
