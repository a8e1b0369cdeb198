//go:build review

// Command stand plays the cases of the review that are scripts: `stand CASE RECORD`. It starts
// entry instances as processes of their own, and plays the store, the runners and the clients
// itself. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by their names. trouble is false for a play without the disruption.
var cases = map[string]func(w *world, trouble bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(run func(*world, bool), path string) (code int) {
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	w := &world{began: time.Now(), ctx: ctx, dir: dir, record: record, taken: map[string]bool{}}
	defer func() {
		if cause := recover(); cause != nil {
			w.note("the case could not run: %v", cause)
			code = 2
		}
		w.end()
		if keep := os.Getenv("KEEP"); keep != "" {
			w.note("logs are kept")
			fmt.Println(dir)
			return
		}
		_ = os.RemoveAll(dir)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("the case is played with the disruption: %v", trouble)
	run(w, trouble)
	if len(w.broken) > 0 {
		w.note("the rule was broken %d times", len(w.broken))
		return 1
	}
	w.note("the rule held")
	return 0
}
