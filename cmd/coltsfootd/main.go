// Command coltsfootd is the daemon of coltsfootlane, one on each target's VM.
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

const help = `The coltsfootlane daemon, one on each target's VM.

It takes callers' requests, forwards them to targets, and admits requests to
the target on its VM. SIGTERM and SIGINT shut it down gracefully.

Example: coltsfootd --settings /etc/coltsfootd.jsonc`

func main() {
	app := kingpin.New("coltsfootd", help)
	path := app.Flag("settings", "File with the daemon's settings, JSON with comments.").Short('s').Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	settings, err := loader.Load(*path)
	if err != nil {
		log.Error("settings refused", "err", err)
		os.Exit(exitSettings)
	}
	if err := run(*path, settings); err != nil {
		log.Error("daemon failed", "err", err)
		os.Exit(exitFailed)
	}
}

func run(path string, settings loader.Settings) error {
	ctx := untilTold()
	if settings.Sidecar != nil {
		return runSidecar(ctx, path, settings)
	}
	return server.New(server.Options{
		Settings: settings,
		Platform: storer.HTTP(settings.Platform, settings.Patience.Duration),
		Clock:    timekeeper.System{},
		Log:      server.NewLog(os.Stderr, settings.Log),
	}).Run(ctx)
}

// untilTold returns a context that ends when the process is told to stop. Told
// again, it goes on stopping.
func untilTold() context.Context {
	ctx, stop := context.WithCancel(context.Background())
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-told
		stop()
	}()
	return ctx
}

// runSidecar serves on the users' platform.
func runSidecar(ctx context.Context, path string, settings loader.Settings) error {
	clock := timekeeper.System{}
	out := narrator.New(os.Stdout)
	defer out.Close()
	logger := server.NewLog(out, settings.Log)
	stdlog.SetOutput(io.Discard)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Sidecar.Memory<<20)))
	daemon := sidecar.New(sidecar.Options{
		Settings: settings,
		Platform: platform.Adapter(settings.Platform, settings.Patience.Duration),
		Clock:    clock,
		Log:      logger,
	})
	go reload(ctx, path, daemon, logger)
	return daemon.Run(ctx)
}

// reload reads the settings again whenever the process is told to.
func reload(ctx context.Context, path string, daemon *sidecar.Daemon, logger *log.Logger) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGHUP)
	for {
		select {
		case <-told:
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

// memoryShare is the part of the process's memory at which garbage is collected
// more often.
const memoryShare = 0.6
