// Command standin-2 runs the cases of the second review that can't be put as days of the
// bench. It starts the project's daemons as processes on loopback addresses, among stand-ins
// for clients, targets and the platform's store.
//
// It is run in the root of the repository. It exits with 1 if the rule of the case was broken,
// with 0 if it held, and with 2 if the case couldn't run. With TROUBLE=0 in the environment
// the disruption is left out.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(r *recorder, trouble bool) (broken bool, err error){
	"queued":  runQueued,
	"unread":  runUnread,
	"leave":   runLeave,
	"trickle": runTrickle,
	"crowd":   runCrowd,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &recorder{
		start: time.Now(),
		file:  file,
	}
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		os.Exit(2)
	case broken:
		r.printf("the rule was broken")
		os.Exit(1)
	}
	r.printf("the rule held")
}
