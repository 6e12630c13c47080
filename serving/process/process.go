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
	// memoryLimitFraction is the fraction of the machine's memory limit (Limits.MemoryMB) that is set as the soft
	// memory limit of the Go runtime. The rest is for stacks, socket buffers and the C library: the process is killed
	// if it exceeds the machine's limit.
	memoryLimitFraction = 0.7
	// gcPercent is the growth of the heap, in percent, between two garbage collections. Heaps here are a few megabytes.
	// With the runtime's default of 100, the first collection starts only at four megabytes; half of that costs almost
	// no CPU time.
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

// RunFunc runs a program until the context ends or the program fails.
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

// logTimeFormat is RFC 3339 with milliseconds, so that the log lines of several processes can be put in order when an
// incident is analysed.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func newLogger(program, levelName string) zerolog.Logger {
	level, err := zerolog.ParseLevel(levelName)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = logTimeFormat
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("program", program).Logger()
}

// ignoreHangup keeps SIGHUP from terminating the process before settings.Watch handles the signal and after it has
// stopped doing so. Operators send SIGHUP when they have changed the settings file.
func ignoreHangup() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// Version returns the version of the module from which the program was built.
func Version() string {
	build, ok := debug.ReadBuildInfo()
	if !ok || build.Main.Version == "" {
		return "unknown"
	}
	return build.Main.Version
}

// LimitMemory sets the runtime's GC percentage, unless the operator has set GOGC, and its soft memory limit, if the
// settings have a memory limit.
func LimitMemory(limits settings.Limits) {
	if os.Getenv(gcPercentVariable) == "" {
		debug.SetGCPercent(gcPercent)
	}
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(limits.MemoryMB) * megabyte))
	}
}
