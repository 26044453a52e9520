package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"celerygap.example/service/measurer"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	const (
		seeds    = 5
		steps    = 20
		parallel = 4
	)
	return &cli.Command{
		Name:  "measure",
		Usage: "compare rollout policies in virtual time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: seeds, Usage: "runs of each scenario"},
			&cli.IntFlag{Name: "steps", Value: steps, Usage: "measured steps of each trainer in a run"},
			&cli.IntFlag{Name: "parallel", Value: parallel, Usage: "runs at once"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			config := measurer.Config{Seeds: c.Int("seeds"), Steps: c.Int("steps"), Parallel: c.Int("parallel")}
			return measurer.Measure(config, os.Stdout)
		},
	}
}
