// Command standin plays the cases of the review that are scripts. It starts the
// project's daemons as processes, among stand-ins for the store, the backends and the
// consumers, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"memory":  playMemory,
	"drain":   playDrain,
	"cold":    playCold,
	"twice":   playTwice,
	"slashes": playSlashes,
}

// timeLimit ends a case that does not end by itself.
const timeLimit = 110 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("daemon", "target/coltsfootd", "the daemon's program")
	flag.Parse()
	os.Exit(play(*name, *path, *program, os.Getenv("TROUBLE") != "0"))
}

func play(name, path, program string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Println("no case", name)
		return 2
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer r.close()
	w, err := newWorld(r, program, trouble)
	if err != nil {
		r.say("case not played: %v", err)
		return 2
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(w)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case res := <-done:
		switch {
		case res.err != nil:
			r.say("case not played: %v", res.err)
			return 2
		case res.broken:
			r.say("rule broken")
			return 1
		}
		r.say("rule held")
		return 0
	case <-time.After(timeLimit):
		r.say("case not played: no end after %v", timeLimit)
	case <-signals:
		r.say("case not played: stopped by a signal")
	}
	return 2
}
