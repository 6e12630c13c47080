package e2e_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestBytesGoOnUnchangedAndAreCounted(t *testing.T) {
	w := begin(t, "token")
	assert.Equal(t, 202, w.hand("a1", "any \x00\r\nbytes").StatusCode)
	w.soon("called", w.called(1))
	assert.Equal(t, got{"/events", "a1", "ka1", "any \x00\r\nbytes"}, w.seen()[0])
	w.soon("counted", func() bool {
		resp, err := http.Get("http://" + w.listen + "/metrics")
		require.NoError(t, err)
		text, _ := io.ReadAll(resp.Body)
		return strings.Contains(string(text), "rowanlink_webhooks_accepted_total 1\n") &&
			strings.Contains(string(text), "rowanlink_attempts_delivered_total 1\n")
	})
}

func TestBrokenConnectionIsNoReasonToRepeatByItself(t *testing.T) {
	w := begin(t, "side_effect")
	w.hand("a0", "x") // leaves a connection idle, on which an HTTP client would dare to repeat
	w.soon("delivered", w.called(1))
	w.answers(func(_ int, rw http.ResponseWriter, _ string) { breakOff(rw) })
	w.hand("a1", "x")
	w.soon("its end is told", w.told(1))
	assert.Len(t, w.seen(), 2)
}

func TestSIGTERMAnswersFinishesCallsAndKeepsTheRest(t *testing.T) {
	w := begin(t, "token")
	w.answers(func(n int, rw http.ResponseWriter, _ string) {
		if time.Sleep(time.Second); n > 1 {
			rw.Header().Set("Retry-After", "4.5")
			rw.WriteHeader(429)
		}
	})
	w.hand("a1", "x")
	w.soon("out", w.called(1))
	w.hand("a2", "x")
	require.NoError(t, w.process.Process.Signal(syscall.SIGTERM))
	time.Sleep(50 * time.Millisecond)
	resp := w.hand("a3", "x")
	assert.Equal(t, 202, resp.StatusCode, "what still comes is taken on")
	assert.True(t, resp.Close, "its client is to go elsewhere")
	time.Sleep(600 * time.Millisecond)
	assert.Equal(t, 503, w.hand("a4", "x").StatusCode)
	began := time.Now()
	assert.NoError(t, w.process.Wait())
	assert.Less(t, time.Since(began), 3*time.Second)
	w.answers(nil)
	before := len(w.seen())
	w.start()
	w.soon("the rest is delivered", w.called(before+1))
	w.soon("each once more", func() bool {
		text := fmt.Sprint(w.seen()[before:])
		return strings.Contains(text, "a2") && strings.Contains(text, "a3")
	})
	assert.NotContains(t, fmt.Sprint(w.seen()[1:]), "{/events a1", "what had come back is over")
}

func TestBundlesFareWebhookByWebhook(t *testing.T) {
	w := begin(t, "side_effect")
	w.answers(func(n int, rw http.ResponseWriter, body string) {
		if n == 1 {
			rw.Header().Set("Retry-After", "0.4") // the others gather behind it
			rw.WriteHeader(503)
			return
		}
		ends := []string{"delivered", "failed", "over", "delivered"}
		for i := range 4 {
			if strings.Contains(body, fmt.Sprint("a", i, " ka")) {
				fmt.Fprintf(rw, "a%d %s\r\n", i, ends[i])
			}
		}
	})
	for i := range 4 {
		w.hand(fmt.Sprint("a", i), "bo\r\ndy")
	}
	w.soon("called", w.called(2))
	w.soon("told", w.told(1))
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, "/events/bundle", w.seen()[1].path)
	assert.Contains(t, w.seen()[1].body, "a1 ka1 6\r\nbo\r\ndy\r\n")
	assert.Equal(t, []string{`{"message":"a1","outcome":"given_up"}`}, w.heard())
	assert.Len(t, w.seen(), 2)
}

func TestFullBufferHandsBackWhatIsWorthLeast(t *testing.T) {
	w := begin(t, "token")
	w.answers(func(_ int, rw http.ResponseWriter, _ string) { hang(rw) })
	taken := 0
	for i := range 60 {
		switch code := w.hand(fmt.Sprint("a", i), "x").StatusCode; code {
		case 202:
			taken++
		default:
			assert.Equal(t, 503, code)
		}
	}
	w.soon("the rest is handed back", func() bool { return taken-len(w.heard()) <= 50 })
	assert.Greater(t, taken, 40)
	assert.NotContains(t, fmt.Sprint(w.heard()), "given_up", "none of them may have run")
}
