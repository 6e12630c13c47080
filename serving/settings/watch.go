package settings

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"rowanlink/serving/event"
)

// WatchInterval is how often programs look whether their settings file has changed.
const WatchInterval = 2 * time.Second

// Watch calls apply with the settings once at its start and after each change of the file, until the context ends.
// It looks at the file every interval and on SIGHUP: a file may change with no signal. A file that can't be used is
// logged to the context's zerolog logger and ignored.
func Watch(ctx context.Context, path string, interval time.Duration, apply func(*Process)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticks := time.NewTicker(interval)
	defer ticks.Stop()
	w := watcher{path: path, apply: apply, log: zerolog.Ctx(ctx)}
	for {
		w.reload()
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticks.C:
		}
	}
}

// watcher knows the last content of a settings file. It compares contents, not times: the time of day jumps.
type watcher struct {
	path       string
	apply      func(*Process)
	log        *zerolog.Logger
	content    []byte
	unreadable bool // the file couldn't be read at the last look
}

// reload reads the file and applies what is new in it.
func (w *watcher) reload() {
	content, err := os.ReadFile(w.path)
	if err != nil {
		if !w.unreadable {
			event.SettingsRejected.Log(w.log).Err(err).Send()
		}
		w.unreadable = true
		return
	}
	w.unreadable = false
	if w.content != nil && bytes.Equal(content, w.content) {
		return
	}
	first := w.content == nil
	w.content = content
	process, err := Parse(content)
	if err != nil {
		event.SettingsRejected.Log(w.log).Err(err).Send()
		return
	}
	if !first {
		event.SettingsChanged.Log(w.log).Strs("seeds", process.Seeds).Send()
	}
	w.apply(process)
}
