// Command tillerctl operates a merlintiller fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"merlintiller/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := ctl.Run(ctl.Process{
		Context:  ctx,
		Stdout:   os.Stdout,
		Stderr:   os.Stderr,
		Terminal: isTerminal(os.Stderr),
	}, os.Args[1:])
	os.Exit(int(code))
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
