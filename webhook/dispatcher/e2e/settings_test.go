package e2e_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against SIGHUP ending the process, and against a watch and notices that stay with the old address.
func TestSIGHUPMovesWatchAndNoticesAndABrokenFileChangesNothing(t *testing.T) {
	w := begin(t, "side_effect")
	w.answers(func(_ int, rw http.ResponseWriter, _ string) { rw.WriteHeader(500) })
	hangUp := func() { require.NoError(t, w.process.Process.Signal(syscall.SIGHUP)) }
	config := filepath.Join(w.dir, "config.json")
	require.NoError(t, os.WriteFile(config, []byte("{"), 0o600))
	hangUp()
	w.hand("a1", "x")
	w.soon("told where it was told before", w.told(1))
	watches, finals := make(chan string, 9), make(chan string, 9)
	w.platform = w.serve(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v2/finals" {
			body, _ := io.ReadAll(r.Body)
			finals <- string(body)
			rw.WriteHeader(http.StatusNoContent)
			return
		}
		watches <- r.URL.Query().Get("since")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	w.configure("side_effect", 3)
	hangUp()
	assert.Equal(t, "1", <-watches, "it goes on from what it has")
	w.hand("a2", "x")
	assert.Contains(t, <-finals, "a2")
	assert.Len(t, w.heard(), 1)
	w.kill()
	assert.Equal(t, 1, strings.Count(w.out.String(), "the old one stays"))
}

func TestBrokenConfigurationEndsTheStartWithOneLine(t *testing.T) {
	w := &world{t: t, dir: t.TempDir()}
	for _, text := range []string{"", "{", "[]", `{"seed":"1"}`,
		`{"seed":"1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{}}`} {
		require.NoError(t, os.WriteFile(filepath.Join(w.dir, "config.json"), []byte(text), 0o600))
		c := exec.Command(binary)
		c.Env = []string{"LB_CONFIG=" + filepath.Join(w.dir, "config.json"), "LB_STATE=" + w.dir}
		out, err := c.CombinedOutput()
		assert.Error(t, err, text)
		assert.Equal(t, 1, strings.Count(string(out), "\n"), text)
	}
}

// Guards against a reload, there or back, that loses or doubles what was taken on; a kill lies between.
func TestNewSettingsThereAndBackUnderLoadLoseAndDoubleNothing(t *testing.T) {
	w := begin(t, "token")
	ran, lastRan := map[string]int{}, map[string]time.Time{}
	w.answers(func(n int, rw http.ResponseWriter, id string) {
		if time.Sleep(50 * time.Millisecond); n%5 == 0 {
			rw.WriteHeader(503) // turned away unseen
			return
		}
		w.set(func() { ran[id]++; lastRan[id] = time.Now() })
	})
	config := filepath.Join(w.dir, "config.json")
	text, err := os.ReadFile(config)
	require.NoError(t, err)
	old := strings.Replace(string(text), `"batchByKind":[4]`, `"batchByKind":[1]`, 1)
	next := strings.NewReplacer(`"slots":6`, `"slots":2`, `"openCap":50`, `"openCap":10`, `"kinds":["bulk"]`,
		`"kinds":["bulk","small"]`, `"repeat":"pure"}]`, `"repeat":"pure"},
		{"name":"later","aim":2500000000,"deadline":9000000000,"repeat":"pure"}]`).Replace(old)
	load := func(text, line string) {
		require.NoError(t, os.WriteFile(config, []byte(text), 0o600))
		require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
		w.soon(line, func() bool { return strings.Contains(w.out.String(), line) })
	}
	var taken []string
	burst := func(name string) {
		for i := range 20 {
			id := fmt.Sprintf("%s-%d.", name, i)
			if w.hand(id, id).StatusCode < 300 {
				taken = append(taken, id)
			}
		}
	}
	load(old, "slots=6")
	burst("a")
	load(next, "slots=2")
	burst("b")
	assert.Less(t, len(taken), 40, "what is held drains, and little is taken on beside it")
	load(strings.Replace(old, `"status"`, `"renamed"`, 1), "the old one stays")
	load(strings.Replace(old, w.listen, "127.0.0.1:1", 1), "listen can't change")
	require.NoError(t, os.WriteFile(config, []byte(next), 0o600))
	killed, atKill, lastAt := time.Now(), map[string]int{}, map[string]time.Time{}
	w.set(func() { atKill, lastAt = maps.Clone(ran), maps.Clone(lastRan) })
	w.kill()
	assert.Less(t, len(atKill), len(taken), "some are held, out or waiting")
	w.start()
	w.soon("known from the new file", func() bool {
		return w.hand("x", "x", "Request-Class", "later", "Idempotency-Key", "").StatusCode < 300
	})
	load(old, "slots=6")
	assert.Equal(t, 400, w.hand("y", "y", "Request-Class", "later").StatusCode, "the way back is the same step")
	burst("c")
	require.Greater(t, len(taken), 30)
	for _, id := range taken {
		w.soon(id+" has its end", func() bool {
			done := strings.Contains(fmt.Sprint(w.heard()), id)
			w.set(func() { done = done || ran[id] > 0 })
			return done
		})
	}
	time.Sleep(time.Second / 2) // a second copy would come by the schedule's next wait, or a second end
	w.set(func() {
		for _, id := range taken {
			out := atKill[id] == 0 || killed.Sub(lastAt[id]) < time.Second/10 // its answer may not have been heard
			most := 1
			if out && !strings.HasPrefix(id, "c") {
				most = 2 // tokened: may be asked again by the next life, with its token
			}
			assert.LessOrEqual(t, ran[id], most, id)
			assert.LessOrEqual(t, strings.Count(fmt.Sprint(w.finals), id), 1, id)
		}
	})
	for _, c := range w.seen() {
		assert.Contains(t, []string{"k" + c.id, ""}, c.token, "a repeat carries its token")
	}
}
