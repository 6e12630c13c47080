package e2e_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestKilledItStillOwesWhatItTookOn(t *testing.T) {
	w := begin(t, "token")
	w.answers(func(n int, rw http.ResponseWriter, _ string) {
		if n == 1 {
			hang(rw)
		}
	})
	for i := range 3 {
		assert.Equal(t, 202, w.hand(fmt.Sprint("a", i), "x").StatusCode)
	}
	w.soon("a call is out", w.called(1))
	w.kill()
	w.start()
	seen := map[string]bool{}
	w.soon("all delivered", func() bool {
		for _, c := range w.seen()[1:] {
			for i := range 3 {
				if id := fmt.Sprint("a", i); c.id == id || strings.Contains(c.body, id+" ka") {
					seen[id] = true
				}
			}
		}
		return len(seen) == 3
	})
}

func TestAtMostOnceIsNotSentAgainAfterAKill(t *testing.T) {
	w := begin(t, "side_effect")
	w.answers(func(_ int, rw http.ResponseWriter, _ string) { hang(rw) })
	w.hand("a1", "x")
	w.soon("the call is out", w.called(1))
	w.kill()
	w.start()
	w.soon("its end is told", w.told(1))
	assert.JSONEq(t, `{"message":"a1","outcome":"given_up"}`, w.heard()[0])
	assert.Len(t, w.seen(), 1)
}

func TestNoticesAreOwedUntilHeardAlsoByTheNextLife(t *testing.T) {
	w := begin(t, "side_effect")
	w.set(func() { w.deaf = true })
	w.answers(func(_ int, rw http.ResponseWriter, _ string) { rw.WriteHeader(500) })
	w.hand("a1", "x")
	w.soon("called", w.called(1))
	time.Sleep(100 * time.Millisecond)
	w.kill()
	w.set(func() { w.deaf = false })
	w.start()
	w.soon("told", w.told(1))
	time.Sleep(100 * time.Millisecond)
	w.kill()
	w.start()
	time.Sleep(200 * time.Millisecond)
	assert.Len(t, w.heard(), 1, "once heard it is owed no more")
}

func TestNoticeThatCantBeReadHoldsBackNoOther(t *testing.T) {
	w := begin(t, "side_effect")
	w.set(func() { w.deaf, w.odd = true, "a1" })
	w.answers(func(_ int, rw http.ResponseWriter, _ string) { rw.WriteHeader(500) })
	for i := range 3 {
		w.hand(fmt.Sprint("a", i), "x")
	}
	w.soon("called", w.called(2))
	w.set(func() { w.deaf = false })
	w.soon("told", w.told(2))
	assert.NotContains(t, fmt.Sprint(w.heard()), "a1")
}

func TestFullDiskRejectsAndIsNeverOverfilled(t *testing.T) {
	w := begin(t, "token")
	w.kill()
	w.configure("token", 0.5)
	w.start()
	w.answers(func(_ int, rw http.ResponseWriter, _ string) { hang(rw) })
	codes := map[int]int{}
	for i := range 12 {
		codes[w.hand(fmt.Sprint("a", i), strings.Repeat("x", 64<<10)).StatusCode]++
	}
	assert.Equal(t, 12, codes[202]+codes[503])
	assert.Positive(t, codes[202])
	assert.Positive(t, codes[503])
	files, err := filepath.Glob(filepath.Join(w.dir, "webhooks.*"))
	require.NoError(t, err)
	sum := int64(0)
	for _, f := range files {
		info, err := os.Stat(f)
		require.NoError(t, err)
		sum += info.Size()
	}
	assert.Less(t, sum, int64(500_000))
}

func TestSecondStartBesideARunningOneHarmsNothing(t *testing.T) {
	w := begin(t, "token")
	w.answers(func(n int, rw http.ResponseWriter, _ string) {
		if n == 1 {
			hang(rw)
		}
	})
	second := exec.Command(binary)
	second.Env = w.process.Env
	assert.Error(t, second.Run())
	assert.Equal(t, 202, w.hand("a1", "x").StatusCode)
	w.soon("out", w.called(1))
	w.kill()
	w.start()
	w.soon("still owed", w.called(2))
}
