// Command coltsfootd is the daemon of coltsfootlane. It runs on each target's VM.
package main

import (
	"context"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"

	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/narrator"
	"github.com/coltsfootlane/coltsfootlane/internal/server"
	"github.com/coltsfootlane/coltsfootlane/internal/sidecar"
	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

const help = `The coltsfootlane daemon, which runs on each target's VM.

It forwards callers' requests to targets and controls the admission of requests
to the target on its VM. SIGTERM and SIGINT shut it down gracefully. In sidecar
mode SIGHUP reloads the settings.

Example: coltsfootd --settings /etc/coltsfootd.jsonc`

func main() {
	app := kingpin.New("coltsfootd", help)
	path := app.Flag("settings", "File with the daemon's settings, JSON with comments.").Short('s').Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	// Without a handler, SIGHUP would end a daemon that is reading its settings.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := loader.Load(*path)
	if err != nil {
		log.Error("settings refused", "err", err)
		os.Exit(exitSettings)
	}
	if err := run(*path, settings, hangups); err != nil {
		log.Error("daemon failed", "err", err)
		os.Exit(exitFailed)
	}
}

func run(path string, settings loader.Settings, hangups chan os.Signal) error {
	ctx := shutdownContext()
	if settings.Sidecar != nil {
		return runSidecar(ctx, path, settings, hangups)
	}
	signal.Stop(hangups)
	return server.New(server.Options{
		Settings: settings,
		Platform: storer.NewHTTP(settings.Platform, settings.PlatformTimeout.Duration),
		Clock:    timekeeper.System{},
		Log:      server.NewLog(os.Stderr, settings.Log),
	}).Run(ctx)
}

// shutdownContext returns a context that is cancelled by the first SIGINT or
// SIGTERM. Later signals do not interrupt the graceful shutdown.
func shutdownContext() context.Context {
	ctx, stop := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		stop()
	}()
	return ctx
}

// runSidecar runs the daemon in sidecar mode with the adapter of package platform.
func runSidecar(ctx context.Context, path string, settings loader.Settings, hangups <-chan os.Signal) error {
	clock := timekeeper.System{}
	out := narrator.New(os.Stdout)
	defer out.Close()
	logger := server.NewLog(out, settings.Log)
	stdlog.SetOutput(io.Discard)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Sidecar.MemoryMiB<<20)))
	daemon := sidecar.New(sidecar.Options{
		Settings: settings,
		Platform: platform.NewAdapter(settings.Platform, settings.PlatformTimeout.Duration),
		Clock:    clock,
		Log:      logger,
	})
	go reload(ctx, path, hangups, daemon, logger)
	return daemon.Run(ctx)
}

// reload reloads the settings for each value of hangups until ctx is done. If the file cannot be
// loaded, the current settings stay in force.
func reload(ctx context.Context, path string, hangups <-chan os.Signal, daemon *sidecar.Daemon, logger *log.Logger) {
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		settings, err := loader.Load(path)
		if err != nil {
			logger.Error("settings refused; the former ones hold", "err", err)
			continue
		}
		daemon.Reload(settings)
	}
}

// memoryLimitShare is the fraction of the memory in the settings that becomes Go's
// soft memory limit. Near the limit the garbage collector runs more often.
const memoryLimitShare = 0.7
