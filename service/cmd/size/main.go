package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"celerygap.example/service/sizer"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "size",
		Usage: "measure the costs of the control parts on loopback",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Value: []int{8, 32, 128, 360}, Usage: "sizes of the fleet"},
			&cli.IntSliceFlag{Name: "upstreams", Value: []int{9, 300, 3000}, Usage: "sizes of the platform's list"},
			&cli.DurationFlag{Name: "warm", Value: 10 * time.Second, Usage: "time before the measurement"},
			&cli.DurationFlag{Name: "quiet", Value: 8 * time.Second, Usage: "time of the measurement without changes"},
			&cli.IntFlag{Name: "changes", Value: 5, Usage: "number of catalogue changes"},
			&cli.IntFlag{Name: "entries", Value: 100, Usage: "number of catalogue entries"},
			&cli.DurationFlag{Name: "idle", Value: 10 * time.Second, Usage: "time after which unused connections are closed"},
			&cli.BoolFlag{Name: "tls", Usage: "use mutual TLS between hosts"},
		},
		Action: measure,
	}
}

func measure(ctx context.Context, c *cli.Command) error {
	config := sizer.Config{
		Warm: c.Duration("warm"), Quiet: c.Duration("quiet"), Changes: c.Int("changes"), Entries: c.Int("entries"),
		Idle: c.Duration("idle"),
	}
	if c.Bool("tls") {
		var err error
		if config.TLS, err = sizer.LoopbackTLS(); err != nil {
			return err
		}
	}
	var results []sizer.Result
	for _, n := range c.IntSlice("hosts") {
		result, err := sizer.Measure(ctx, n, config)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	if err := sizer.Report(os.Stdout, results); err != nil {
		return err
	}
	fmt.Println()
	return reportLists(c.IntSlice("upstreams"))
}

// reportLists measures host lists that also have the hosts of the target size (docs/design.md section 1.6).
func reportLists(upstreams []int) error {
	const hosts = 360
	var costs []sizer.ListCost
	for _, n := range upstreams {
		cost, err := sizer.MeasureList(n, hosts)
		if err != nil {
			return err
		}
		costs = append(costs, cost)
	}
	return sizer.ReportLists(os.Stdout, costs)
}
