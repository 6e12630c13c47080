package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDrainToldWhileWatchingStopsCallsAndSilentWatchIsRenewed(t *testing.T) {
	w := begin(t, "token")
	w.kill()
	watches := make(chan string, 9)
	watch := func(since string, rw http.ResponseWriter) {
		if watches <- since; since == "1" {
			whole, change := `"generation":1,"reset":true`, `"generation":2,"reset":false`
			fmt.Fprintf(rw, "\n%s\n", strings.Replace(w.listed("DRAINING"), whole, change, 1))
			rw.(http.Flusher).Flush()
		}
	}
	w.set(func() { w.watch = watch })
	w.start()
	assert.Equal(t, "1", <-watches)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, 202, w.hand("a1", "x").StatusCode)
	select {
	case since := <-watches:
		assert.Equal(t, "2", since, "it goes on from what it has")
	case <-time.After(5 * time.Second):
		assert.Fail(t, "a watch without its line is dead")
	}
	assert.Empty(t, w.seen())
}

func TestListThatCantBeReadIsAskedForAgainAndResetDropsWhatIsMissing(t *testing.T) {
	w := begin(t, "token")
	w.kill()
	watches := make(chan string, 9)
	watch := func(since string, rw http.ResponseWriter) {
		if watches <- since; len(watches) == 1 {
			fmt.Fprint(rw, "{\"generation\":2,\n")
		} else {
			fmt.Fprint(rw, "{\"generation\":3,\"reset\":true,\"instances\":[]}\n")
		}
		rw.(http.Flusher).Flush()
	}
	w.set(func() { w.watch = watch })
	w.start()
	w.soon("watched again", func() bool { return len(watches) == 2 })
	assert.Equal(t, []string{"1", "1"}, []string{<-watches, <-watches})
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, 202, w.hand("a1", "x").StatusCode)
	time.Sleep(100 * time.Millisecond)
	assert.Empty(t, w.seen())
}
