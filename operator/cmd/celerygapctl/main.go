package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"celerygap.example/operator/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := commander.Command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "celerygapctl:", err)
	}
	os.Exit(commander.ExitStatus(err))
}
