package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/server"
)

// exitCrashed is the exit code of a target that was crashed by a request.
const exitCrashed = 70

func targetCommand(app *kingpin.Application) command {
	clause := app.Command("target", "Runs a target that registers with its VM's daemon.")
	listen := listenFlag(clause)
	service := clause.Flag("service", "Service that the target serves.").Required().String()
	// kingpin does not apply defaults if a flag is named "version".
	version := clause.Flag("target-version", "Version of the target.").Required().String()
	daemon := clause.Flag("daemon", "Operator address of the VM's daemon.").Required().String()
	slots := clause.Flag("slots", "Maximum number of concurrent requests.").Default("10").Int()
	work := clause.Flag("work", "Time to process a request.").Default("1ms").Duration()
	fail := clause.Flag("fail", "Percent of requests that fail.").Default("0").Int()
	warmup := clause.Flag("warmup", "Time until a cold target reaches full speed.").Default("0s").Duration()
	shed := clause.Flag("shed", "Reject requests that exceed the slots.").Bool()
	crash := clause.Flag("crash", "Value of the Crash-Mark header of requests that crash the target.").String()
	journal := clause.Flag("journal", "File to which each request's ID is appended before the request runs.").String()
	return command{
		clause: clause,
		run: func(ctx context.Context) error {
			recordRun, err := openJournal(*journal)
			if err != nil {
				return err
			}
			t := &emulator.Target{
				Service:   *service,
				Version:   *version,
				Address:   *listen,
				Slots:     *slots,
				Crash:     func() { os.Exit(exitCrashed) },
				BeforeRun: recordRun,
				Warn:      func(err error) { log.Warn(err) },
			}
			t.SetBehaviour(emulator.Behaviour{
				Work:        *work,
				FailPercent: *fail,
				Warmup:      *warmup,
				Shed:        *shed,
				CrashMark:   *crash,
			})
			return runTarget(ctx, t, *daemon)
		},
	}
}

// runTarget serves requests until ctx is done. It deregisters from the daemon
// before it stops serving.
func runTarget(ctx context.Context, t *emulator.Target, daemon string) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		t.Announce(ctx, daemon, server.HeartbeatPeriod)
		stop()
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /-/behaviour", func(w http.ResponseWriter, r *http.Request) {
		var b emulator.Behaviour
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetBehaviour(b)
		log.Info("behaviour changed", "behaviour", b)
	})
	mux.Handle("/", t)
	return serve(serving, t.Address, mux)
}

// openJournal returns a function that appends a request ID to the file. Each ID
// is written without buffering, so it is kept if the process crashes. The function
// is nil if the path is empty.
func openJournal(path string) (func(id string), error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return func(id string) {
		if _, err := file.WriteString(id + "\n"); err != nil {
			log.Fatal("cannot write journal", "err", err)
		}
	}, nil
}
