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

// alone keeps no connection over a restart of the guard.
var alone = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// tell tells a guard steps such as "begin m1/3" or "end m1/3 fence" and returns what it was answered.
func tell(t *testing.T, g *leasecheck.Checker, steps string) (codes []int) {
	for s := range strings.SplitSeq(steps, ", ") {
		f := strings.Fields(s)
		member, epoch, _ := strings.Cut(f[1], "/")
		url := fmt.Sprintf("http://%s/%s?task=a&member=%s&epoch=%s", g.Addr, f[0], member, epoch)
		if len(f) > 2 {
			url += "&fence=1"
		}
		resp, err := alone.Post(url, "", nil)
		require.NoError(t, err)
		resp.Body.Close()
		codes = append(codes, resp.StatusCode)
	}
	return codes
}

// Guards against a guard that can't fail: porcupine and the guard's own eyes see the same.
func TestTwoHoldersAtOnceAndEpochsThatGoBackAreCaught(t *testing.T) {
	for _, c := range []struct{ steps, breach string }{
		{"begin m1/3, end m1/3, begin m1/3, end m1/3, begin m2/5, end m2/5", ""},
		{"begin m1/3, begin m2/5, end m2/5", ""}, // the first never took effect
		{"begin m1/3, begin m2/5, end m1/3, end m2/5", "before m1 with 3 ended"},
		{"begin m1/3, begin m2/5, end m2/5, end m1/3", "before m1 with 3 ended"},
		{"begin m2/5, end m2/5, begin m1/3, end m1/3", "goes back"},
		{"begin m2/5, end m2/5, begin m1/3", "goes back"},
		{"begin m1/3, end m1/3, begin m2/3, end m2/3", "have epoch 3"},
		{"begin m1/3, begin m2/5 fence, end m1/3 fence, end m2/5", ""}, // its end was refused
		{"begin m2/5, end m2/5, begin m1/3 fence", ""},
	} {
		g, err := leasecheck.Open(filepath.Join(t.TempDir(), "history"))
		require.NoError(t, err)
		tell(t, g, c.steps)
		broken, err := g.CheckLinearizable(time.Minute)
		require.NoError(t, err)
		said := strings.Join(g.Violations(), "\n")
		if c.breach == "" {
			assert.Empty(t, said, c.steps)
			assert.Empty(t, broken, c.steps)
		} else {
			assert.Contains(t, said, c.breach, c.steps)
			assert.Equal(t, []string{"a"}, broken, c.steps)
		}
		require.NoError(t, g.Close())
	}
}

func TestAFenceHoldsOverTheGuardsOwnRestart(t *testing.T) {
	g, err := leasecheck.Open(filepath.Join(t.TempDir(), "history"))
	require.NoError(t, err)
	defer g.Close()
	assert.Equal(t, []int{204, 204}, tell(t, g, "begin m2/5, end m2/5"))
	require.NoError(t, g.Stop())
	require.NoError(t, g.Start())
	assert.Equal(t, []int{409, 204, 409, 400}, tell(t, g,
		"begin m1/4 fence, begin m3/6 fence, end m2/5 fence, end m2/x"))
	assert.Len(t, g.Operations("a"), 2)
	assert.Empty(t, g.Violations())
}
