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
	for what, parts := range map[string][]string{
		"a line each":          {list(1) + "\n", list(2) + "\n", list(3) + "\n"},
		"indented":             {indented(t, list(1)) + "\n", indented(t, list(2)) + "\r\n", indented(t, list(3))},
		"blank lines":          {"\n", "\r\n\n", list(1), "\n \n", list(2) + "\n\n", "\n", "\t" + list(3)},
		"several in a line":    {list(1) + list(2) + " " + list(3) + "\n"},
		"cut anywhere":         strings.Split(indented(t, list(1))+list(2)+"\n"+indented(t, list(3)), ""),
		"with the next's head": {list(1) + list(2)[:9], list(2)[9:] + "\n" + list(3)[:1], list(3)[1:]},
	} {
		d := startRegistry(t, func(n int, w http.ResponseWriter, r *http.Request) {
			writeChunks(w, parts...)
			<-r.Context().Done()
		})
		f := follow(d.addr, 20*api.Second)
		f.requireLists(t, 1, 2, 3)
		assert.Len(t, d.recorded(), 1, what)
		assert.Zero(t, f.malformed.Load(), what)
	}
}

// What can't be read is told in one line, is missed by nobody, and takes nothing away.
func TestMalformedListKeepsTheLastOneInForce(t *testing.T) {
	log := slog.Default()
	defer slog.SetDefault(log)
	for what, bad := range map[string]string{
		"no JSON":            `{"generation":2,]` + list(3),
		"another thing":      `[1,2]` + list(3),
		"cut by the end":     list(2)[:40],
		"cut, indented":      indented(t, list(2))[:60] + "\n",
		"over the bound":     `{"generation":2,"x":"` + strings.Repeat("x", 5000),
		"over it, yet whole": `{"generation":2,"x":"` + strings.Repeat("x", 5000) + `","instances":[]}` + list(3),
	} {
		said := &bytes.Buffer{}
		slog.SetDefault(slog.New(slog.NewTextHandler(said, nil)))
		d := startRegistry(t, func(n int, w http.ResponseWriter, r *http.Request) {
			if n == 1 {
				writeChunks(w, list(1)+"\n", bad)
				return
			}
			writeChunks(w, list(4))
			<-r.Context().Done()
		})
		f := follow(d.addr, 2*api.Second)
		f.requireLists(t, 1, 4)
		assert.Equal(t, []string{"0", "1"}, d.recorded(), what)
		assert.EqualValues(t, 1, f.malformed.Load(), what)
		assert.Equal(t, 1, strings.Count(said.String(), "\n"), "%s: %s", what, said)
	}
}

// Blank lines come all day: they are life, and no part of an object that could grow over the bound.
func TestBlankLinesKeepAWatchAlive(t *testing.T) {
	d := startRegistry(t, func(n int, w http.ResponseWriter, r *http.Request) {
		writeChunks(w, list(n)+"\n", strings.Repeat("\n", 5000))
		for range 12 { // longer than the watch may be silent
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
