package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"celerygap.example/lib/logger"
	"celerygap.example/service/configurer"
	"celerygap.example/service/supervisor"
)

// The exit statuses: exitSetting for an invalid setting, exitFailed for any other error.
const (
	exitFailed  = 1
	exitSetting = 2
)

// runtimeShare is the percentage of the memory above which the runtime collects garbage without regard to its cost.
const runtimeShare = 80

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := configurer.Command(serve).Run(ctx, os.Args)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "celerygapd:", err)
	var setting *configurer.SettingError
	if errors.As(err, &setting) {
		os.Exit(exitSetting)
	}
	os.Exit(exitFailed)
}

func serve(ctx context.Context, config configurer.Config) error {
	if config.Memory > 0 {
		debug.SetMemoryLimit(int64(config.Memory) * runtimeShare / 100)
	}
	log := logger.New(logger.Config{Output: os.Stderr, Format: config.LogFormat, Level: config.LogLevel})
	host, err := supervisor.New(supervisor.Config{Settings: config, Log: log})
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
