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

// WatchInterval is the interval at which programs check whether their settings file has changed.
const WatchInterval = 2 * time.Second

// Watch calls apply with the settings at its start and after each change of the file, until the context ends. It reads
// the file on SIGHUP and, as the file may change without a signal, also at every interval. A file that is invalid or
// can't be read is logged to the context's zerolog logger and otherwise ignored.
func Watch(ctx context.Context, path string, interval time.Duration, apply func(*Process)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	w := watcher{path: path, apply: apply, log: zerolog.Ctx(ctx)}
	for {
		w.reload()
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
	}
}

// watcher holds the last content of a settings file. It compares contents rather than modification times, since the
// wall clock may jump.
type watcher struct {
	path       string
	apply      func(*Process)
	log        *zerolog.Logger
	content    []byte
	unreadable bool // the last read of the file failed
}

// reload reads the file and applies it if its content has changed.
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
	isFirst := w.content == nil
	w.content = content
	process, err := Parse(content)
	if err != nil {
		event.SettingsRejected.Log(w.log).Err(err).Send()
		return
	}
	if !isFirst {
		event.SettingsChanged.Log(w.log).Strs("seeds", process.Seeds).Send()
	}
	w.apply(process)
}
