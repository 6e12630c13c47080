// Package process holds what the system's long-running programs have in common: their flags, log and limits, how
// they listen, and how they are told to end.
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
	// memoryShare of the machine's limit is where the garbage collector begins to work harder. A process over the
	// limit is killed; stacks, socket buffers and the C library need the rest.
	memoryShare = 0.7
	// collectPercent is by how much the heap may grow between two collections. Heaps here are a few megabytes, of which
	// the runtime's default lets the first four fill with garbage; half of that costs next to no processor time.
	collectPercent = 50
	collectSetting = "GOGC" // an operator's own choice, in the environment, goes first
	megabyte       = 1 << 20
)

// Flags are the flags of every long-running program.
type Flags struct {
	Settings string           `help:"Path of the settings file." env:"ROWANLINK_SETTINGS" required:"" type:"path"`
	LogLevel string           `help:"Least level of log lines: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	Version  kong.VersionFlag `help:"Print the version and end."`
}

// Main reads flags and settings and runs a program until it ends by itself or, after SIGTERM or SIGINT has ended its
// context, by plan. Further options, such as kong.Embed, may add flags. It doesn't return.
func Main(name, description string, run func(context.Context, Flags, *settings.Process, *zerolog.Logger) error,
	further ...kong.Option) {
	stayOnHangup()
	var flags Flags
	options := []kong.Option{kong.Name(name), kong.Description(description), kong.Vars{"version": Version()}}
	kong.Parse(&flags, append(options, further...)...)
	level, err := zerolog.ParseLevel(flags.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("program", name).Logger()
	process, err := settings.Load(flags.Settings)
	if err != nil {
		event.ProgramFailed.Log(&log).Err(err).Send()
		os.Exit(1)
	}
	log = log.With().Str("node", process.NodeName).Logger()
	LimitMemory(process.Limits)
	ctx, stop := signal.NotifyContext(log.WithContext(context.Background()), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	event.ProgramStarted.Log(&log).Str("version", Version()).Send()
	if err := run(ctx, flags, process, &log); err != nil {
		event.ProgramFailed.Log(&log).Err(err).Send()
		os.Exit(1)
	}
	event.ProgramStopped.Log(&log).Send()
	os.Exit(0)
}

// stayOnHangup keeps SIGHUP, which tells that the settings file has changed, from ending the process: before
// settings.Watch listens to it, and after.
func stayOnHangup() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// Version is the version of the module from which the program was built.
func Version() string {
	build, ok := debug.ReadBuildInfo()
	if !ok || build.Main.Version == "" {
		return "unknown"
	}
	return build.Main.Version
}

// LimitMemory makes the garbage collector keep the process small, and below its limit.
func LimitMemory(limits settings.Limits) {
	if os.Getenv(collectSetting) == "" {
		debug.SetGCPercent(collectPercent)
	}
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limits.MemoryMB) * megabyte))
	}
}
