package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/balancer"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/router"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// onehopCommand runs a baseline for measurements: a proxy that forwards requests
// directly to the target, without the daemon on the target's VM.
func onehopCommand(app *kingpin.Application) command {
	clause := app.Command("onehop", "Runs a baseline proxy that forwards requests directly to a target, without admission.")
	listen := listenFlag(clause)
	target := clause.Flag("target", "IP:port of the target.").Required().String()
	return command{
		clause: clause,
		run: func(ctx context.Context) error {
			proxy, err := onehopProxy(*target)
			if err != nil {
				return err
			}
			return serve(ctx, *listen, proxy)
		},
	}
}

// onehopConnections is the maximum number of connections to the target.
const onehopConnections = 64

func onehopProxy(target string) (*forwarder.Entry, error) {
	base := new(applier.State)
	entry, err := base.NewEntry("baseline", "", timekeeper.System{}.Now(), applier.Change{Services: []parser.Service{{
		Name:     "any",
		Versions: []parser.Version{{Name: "v1", Share: 100}},
		Routes:   []parser.Route{{Path: "/"}},
	}}})
	if err != nil {
		return nil, err
	}
	state, err := base.Apply(entry)
	if err != nil {
		return nil, err
	}
	view := &forwarder.View{Revision: 1, Table: router.NewTable(state)}
	members := []prober.Member{{
		ID:     "target",
		Admit:  target,
		Target: &prober.Target{Service: "any", Version: "v1", Slots: onehopConnections},
	}}
	return &forwarder.Entry{
		View:      func() *forwarder.View { return view },
		Serving:   func(string, string) []prober.Member { return members },
		Balancer:  balancer.New(timekeeper.System{}),
		Transport: forwarder.NewTransport(onehopConnections),
		MaxBody:   1 << 20,
	}, nil
}
