package discovery

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

func indented(t *testing.T, text string) string {
	var out bytes.Buffer
	require.NoError(t, json.Indent(&out, []byte(text), "", "  "))
	return out.String()
}

func TestListsAreReadInAnyLayout(t *testing.T) {
	for name, parts := range map[string][]string{
		"a line each":                   {list(1) + "\n", list(2) + "\n", list(3) + "\n"},
		"indented":                      {indented(t, list(1)) + "\n", indented(t, list(2)) + "\r\n", indented(t, list(3))},
		"blank lines":                   {"\n", "\r\n\n", list(1), "\n \n", list(2) + "\n\n", "\n", "\t" + list(3)},
		"several in a line":             {list(1) + list(2) + " " + list(3) + "\n"},
		"cut anywhere":                  strings.Split(indented(t, list(1))+list(2)+"\n"+indented(t, list(3)), ""),
		"with the next one's beginning": {list(1) + list(2)[:9], list(2)[9:] + "\n" + list(3)[:1], list(3)[1:]},
	} {
		d := startRegistry(t, func(n int, w http.ResponseWriter, r *http.Request) {
			writeChunks(w, parts...)
			<-r.Context().Done()
		})
		f := follow(d.addr, 20*api.Second)
		f.requireLists(t, 1, 2, 3)
		assert.Len(t, d.recorded(), 1, name)
		assert.Zero(t, f.malformed.Load(), name)
	}
}

// A malformed list is logged in one line, doesn't replace the last one, and is requested again.
func TestMalformedListKeepsTheLastOneInForce(t *testing.T) {
	defaultLogger := slog.Default()
	defer slog.SetDefault(defaultLogger)
	for name, malformed := range map[string]string{
		"not JSON":           `{"generation":2,]` + list(3),
		"not an object":      `[1,2]` + list(3),
		"cut by the end":     list(2)[:40],
		"cut, indented":      indented(t, list(2))[:60] + "\n",
		"too long":           `{"generation":2,"x":"` + strings.Repeat("x", 5000),
		"too long, complete": `{"generation":2,"x":"` + strings.Repeat("x", 5000) + `","instances":[]}` + list(3),
	} {
		logged := &bytes.Buffer{}
		slog.SetDefault(slog.New(slog.NewTextHandler(logged, nil)))
		d := startRegistry(t, func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				writeChunks(w, list(1)+"\n", malformed)
				return
			}
			writeChunks(w, list(4))
			<-r.Context().Done()
		})
		f := follow(d.addr, 2*api.Second)
		f.requireLists(t, 1, 4)
		assert.Equal(t, []string{"0", "1"}, d.recorded(), name)
		assert.EqualValues(t, 1, f.malformed.Load(), name)
		assert.Equal(t, 1, strings.Count(logged.String(), "\n"), "%s: %s", name, logged)
	}
}

// Blank lines are heartbeats, and don't count towards the size of an object.
func TestBlankLinesKeepAWatchAlive(t *testing.T) {
	d := startRegistry(t, func(n int, w http.ResponseWriter, r *http.Request) {
		writeChunks(w, list(n)+"\n", strings.Repeat("\n", 5000))
		for range 12 { // longer than the idle time-out
			time.Sleep(time.Second / 4)
			writeChunks(w, "\n")
		}
		writeChunks(w, list(9))
		<-r.Context().Done()
	})
	f := follow(d.addr, 2*api.Second)
	f.requireLists(t, 1, 9)
	assert.Zero(t, f.malformed.Load())
}
