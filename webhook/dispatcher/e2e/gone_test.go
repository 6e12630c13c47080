package e2e_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// types writes the configuration with further event types behind the two that always stand there.
func (w *world) types(further ...string) {
	w.configure("token", 3)
	config := filepath.Join(w.dir, "config.json")
	text, err := os.ReadFile(config)
	require.NoError(w.t, err)
	const last = `"repeat":"pure"}`
	all := last
	for _, is := range further {
		all += fmt.Sprintf(`,{"name":%s,"aim":2500000000,"deadline":9000000000}`, is)
	}
	now := strings.Replace(string(text), last, all, 1)
	require.NoError(w.t, os.WriteFile(config, []byte(now), 0o600))
}

// hangUp has the process read its configuration again, and waits until it goes by so many event types.
func (w *world) hangUp(types int) {
	read := func() int { return strings.Count(w.out.String(), "configuration reloaded") }
	before := read()
	require.NoError(w.t, w.process.Process.Signal(syscall.SIGHUP))
	w.soon("read again", func() bool { return read() > before })
	assert.Contains(w.t, w.out.String(), fmt.Sprint("event_types=", types))
}

// Guards against a call lost, repeated or ended by other terms because all that it goes by - its endpoint,
// its destination, its event type - leaves the list and the settings while it is out.
func TestCallsOutToWhatNewSettingsLackAreAccountedFor(t *testing.T) {
	w := begin(t, "token")
	w.kill()
	line := w.list[strings.Index(w.list, "[")+1 : strings.Index(w.list, "]")]
	for _, dest := range []string{"4", "5", "6"} {
		w.list = strings.Replace(w.list, "]", ","+
			strings.NewReplacer("s-1", "s-1"+dest, `"cell":3`, `"cell":`+dest).Replace(line)+"]", 1)
	}
	w.types(`"later","repeat":"pure"`, `"once","repeat":"side_effect"`)
	w.start()
	back := make(chan bool)
	w.answers(func(_ int, rw http.ResponseWriter, body string) {
		if <-back; body != "ends" {
			breakOff(rw)
		}
	})
	for id, of := range map[string][2]string{"moves": {"later", "3"}, "gone": {"status", "4"},
		"breaks": {"once", "5"}, "ends": {"once", "6"}} {
		assert.Equal(t, 202, w.hand(id, id, "Request-Class", of[0], "X-Route-To", "dest="+of[1],
			"Request-Timeout-Ms", "4000").StatusCode)
	}
	w.soon("all are out", w.called(4))
	old, elsewhere := w.endpoint, make(chan string, 9)
	w.endpoint = w.serve(func(_ http.ResponseWriter, r *http.Request) {
		elsewhere <- r.Header.Get("Request-Id")
	})
	w.list = strings.NewReplacer("s-1", "s-2", `"generation":1`, `"generation":2`).Replace(w.listed("SERVING"))
	w.set(func() {
		w.watch = func(_ string, rw http.ResponseWriter) {
			fmt.Fprintln(rw, w.list)
			rw.(http.Flusher).Flush()
		}
	})
	w.platform = w.serve(w.agent)
	w.types()
	w.hangUp(2)
	w.soon("the new list is there", func() bool {
		return strings.Contains(w.metrics(), "rowanlink_lists_total 2\n")
	})
	close(back)
	w.soon("repeated elsewhere by its own terms", func() bool { return len(elsewhere) == 1 })
	w.soon("the others' ends are told", w.told(2))
	w.soon("delivered", func() bool {
		return strings.Contains(w.metrics(), "rowanlink_attempts_delivered_total 2\n")
	})
	assert.ElementsMatch(t, []string{`{"message":"gone","outcome":"given_up"}`,
		`{"message":"breaks","outcome":"given_up"}`}, w.heard())
	assert.Len(t, w.seen(), 4, "nobody calls "+old+" again")
	assert.Equal(t, "moves", <-elsewhere)
	assert.Empty(t, elsewhere)
}

// Guards against an effect twice, and against a webhook lost, by an event type that goes while it is owed:
// over the reload it keeps its terms, over the restart it is not repeated.
func TestEventTypeThatGoesWhileOwedIsNotRepeatedByTheNextLife(t *testing.T) {
	for next, now := range map[string][]string{"gone": nil,
		"its place is another's":           {`"other","repeat":"pure"`},
		"it asks for a token that was not": {`"later","repeat":"token","window":8000000000`}} {
		t.Run(next, func(t *testing.T) {
			w := begin(t, "token")
			w.kill()
			w.list = strings.Replace(w.list, `}]}`, `},{"instanceId":"s-2","hostPort":"`+w.endpoint+
				`","zone":"a","machineType":"bulk","cell":4,"lifecycle":"DRAINING","weight":500}]}`, 1)
			w.types(`"later","repeat":"pure"`)
			w.start()
			w.answers(func(n int, rw http.ResponseWriter, _ string) {
				if n == 1 {
					breakOff(rw)
				} else {
					hang(rw)
				}
			})
			assert.Equal(t, 202, w.hand("ran", "x", "Request-Class", "later", "Idempotency-Key", "").StatusCode)
			assert.Equal(t, 202, w.hand("waits", "x", "Request-Class", "later", "X-Route-To", "dest=4").StatusCode)
			w.types()
			w.hangUp(2)
			w.types(`"third","repeat":"pure"`)
			require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
			w.soon("refused", func() bool {
				return strings.Contains(w.out.String(), `\"third\" replaces \"later\"`)
			})
			assert.Equal(t, 400, w.hand("new", "x", "Request-Class", "later").StatusCode)
			w.soon("once more by its own terms", w.called(2))
			w.kill()
			w.answers(nil)
			w.list = strings.Replace(w.list, "DRAINING", "SERVING", 1)
			w.types(now...)
			w.start()
			w.soon("its end is told", w.told(1))
			w.soon("what never ran is called", w.called(3))
			assert.Equal(t, "waits", w.seen()[2].id)
			w.soon("and delivered", func() bool {
				return strings.Contains(w.metrics(), "rowanlink_attempts_delivered_total 1\n")
			})
			assert.Equal(t, []string{`{"message":"ran","outcome":"given_up"}`}, w.heard())
			assert.Len(t, w.seen(), 3)
		})
	}
}
