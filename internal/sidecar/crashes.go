package sidecar

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/quarantiner"
)

// lookTimeout bounds the look whether the target still listens; it stands on the
// same VM.
const lookTimeout = 100 * time.Millisecond

// printBytes is the length of a fingerprint before it is written as hex digits.
const printBytes = 16

// fingerprint identifies what is sent again when a client repeats a request.
func fingerprint(o *carrier.Order) string {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%q %q %q\n", o.Method, o.URI, o.Caller)
	_, _ = digest.Write(o.Body)
	return hex.EncodeToString(digest.Sum(nil)[:printBytes])
}

// screen refuses an order that has crashed targets. A suspect runs alone.
func (d *Daemon) screen(o *carrier.Order) (done func(crashed bool), err error) {
	print := fingerprint(o)
	trial, err := d.crashes.Enter(print)
	if err != nil {
		d.count("order.quarantined")
		d.log.Warn("order refused as one that crashes targets", "request", o.ID, "rule", o.Rule, "print", print, "err", err)
		return nil, err
	}
	d.crashes.Begin(print)
	return func(broke bool) {
		if broke {
			d.broke(o.Service)
		}
		d.crashes.End(print, !broke)
		if trial {
			d.crashes.Leave()
		}
	}, nil
}

// broke looks whether the target has died and, if so, tells the other daemons
// which requests were in flight.
func (d *Daemon) broke(service string) {
	if listens(d.sidecar.Target) {
		return
	}
	d.gate.Doubt()
	prints := d.crashes.Died()
	if len(prints) == 0 {
		return
	}
	report := quarantiner.Report{
		Service: service,
		Death:   uuid.NewString(),
		Prints:  prints,
	}
	d.count("target.deaths")
	d.log.Warn("target died", "service", service, "suspects", len(prints))
	d.learnCrash(report)
	d.callMembers(crashMethod, report)
}

// learnCrash takes in the report of a death.
func (d *Daemon) learnCrash(r quarantiner.Report) {
	for _, print := range d.crashes.Learn(r) {
		d.log.Warn("request quarantined", "service", r.Service, "print", print, "death", r.Death)
	}
}

func (d *Daemon) answerCrash(_ context.Context, r quarantiner.Report) (struct{}, error) {
	if len(r.Prints) > quarantiner.MaxReport || len(r.Death) > quarantiner.MaxPrint {
		return struct{}{}, Class.New("report of a death out of bounds")
	}
	d.learnCrash(r)
	return struct{}{}, nil
}

// listens reports whether the target may still be there: it is gone when the
// connection is refused.
func listens(address string) bool {
	conn, err := net.DialTimeout("tcp", address, lookTimeout)
	if err == nil {
		_ = conn.Close()
		return true
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}
