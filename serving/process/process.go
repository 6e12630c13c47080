// Package process holds what the system's long-running programs have in common: command-line flags, log, memory limit,
// listeners, and shutdown by signals.
package process

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"rowanlink/serving/event"
	"rowanlink/serving/settings"
)

const (
	// memoryLimitFraction of the machine's limit is the soft memory limit of the Go runtime. A process over the
	// machine's limit is killed; stacks, socket buffers and the C library need the rest.
	memoryLimitFraction = 0.7
	// gcPercent is the growth of the heap between two garbage collections. Heaps here are a few megabytes, of which the
	// runtime's default lets the first four fill with garbage; half of that costs next to no CPU time.
	gcPercent = 50
	// gcPercentVariable is the runtime's environment variable by which an operator overrides gcPercent.
	gcPercentVariable = "GOGC"
	megabyte          = 1 << 20
)

// Flags are the flags of every long-running program.
type Flags struct {
	Settings string           `help:"Path of the settings file." env:"ROWANLINK_SETTINGS" required:"" type:"path"`
	LogLevel string           `help:"Minimum level of log lines: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// RunFunc runs a program until its context ends or it fails.
type RunFunc func(ctx context.Context, flags Flags, processSettings *settings.Process, log *zerolog.Logger) error

// Main parses the flags, loads the settings and runs a program. SIGTERM and SIGINT end the program's context. Main exits
// the process, with status 1 if the settings are invalid or run fails. Further options, such as kong.Embed, may add
// flags.
func Main(name, description string, run RunFunc, further ...kong.Option) {
	ignoreHangup()
	var flags Flags
	options := []kong.Option{kong.Name(name), kong.Description(description), kong.Vars{"version": Version()}}
	kong.Parse(&flags, append(options, further...)...)
	log := newLogger(name, flags.LogLevel)
	processSettings, err := settings.Load(flags.Settings)
	if err != nil {
		event.ProgramFailed.Log(&log).Err(err).Send()
		os.Exit(1)
	}
	log = log.With().Str("node", processSettings.NodeName).Logger()
	LimitMemory(processSettings.Limits)
	ctx, stop := signal.NotifyContext(log.WithContext(context.Background()), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	event.ProgramStarted.Log(&log).Str("version", Version()).Send()
	for _, key := range processSettings.SettingsWithoutEffect() {
		event.SettingIgnored.Log(&log).Str("setting", key).Send()
	}
	if err := run(ctx, flags, processSettings, &log); err != nil {
		event.ProgramFailed.Log(&log).Err(err).Send()
		os.Exit(1)
	}
	event.ProgramStopped.Log(&log).Send()
	os.Exit(0)
}

// logTimeFormat is RFC 3339 with milliseconds, so that the steps of an incident can be put into order across processes.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func newLogger(program, levelName string) zerolog.Logger {
	level, err := zerolog.ParseLevel(levelName)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = logTimeFormat
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("program", program).Logger()
}

// ignoreHangup keeps SIGHUP, which announces a change of the settings file, from terminating the process before
// settings.Watch handles it and afterwards.
func ignoreHangup() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// Version returns the version of the module from which the program was built.
func Version() string {
	build, ok := debug.ReadBuildInfo()
	if !ok || build.Main.Version == "" {
		return "unknown"
	}
	return build.Main.Version
}

// LimitMemory sets the garbage collector's growth and, if the settings have a memory limit, the runtime's soft memory
// limit.
func LimitMemory(limits settings.Limits) {
	if os.Getenv(gcPercentVariable) == "" {
		debug.SetGCPercent(gcPercent)
	}
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(limits.MemoryMB) * megabyte))
	}
}
