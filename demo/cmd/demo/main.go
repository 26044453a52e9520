package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"celerygap.example/demo/demonstrator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run three hosts, stand-ins, callers and a trainer in one process",
		Description: "Exit status: 0 when every promise held, 1 otherwise.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Value: 3, Usage: "hosts of the service", Validator: positive},
			&cli.IntFlag{Name: "engines", Value: 3, Usage: "model engines", Validator: positive},
			&cli.IntFlag{Name: "steps", Value: 4, Usage: "training steps, each with new weights", Validator: positive},
			&cli.IntFlag{Name: "calls", Value: 40, Usage: "completions and orders that callers send", Validator: positive},
			&cli.DurationFlag{Name: "timeout", Value: 35 * time.Second, Usage: "longest run"},
		},
		Action: run,
	}
}

func positive(value int) error {
	if value < 1 {
		return fmt.Errorf("%d is not accepted; want a whole number of at least 1", value)
	}
	return nil
}

func run(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	report, err := demonstrator.Run(ctx, demonstrator.Config{
		Hosts: cmd.Int("hosts"), Engines: cmd.Int("engines"), Steps: cmd.Int("steps"), Calls: cmd.Int("calls"), Progress: os.Stdout,
	})
	if err != nil {
		return err
	}
	printReport(os.Stdout, report)
	if report.Failed() {
		return fmt.Errorf("a guarantee was broken (see the report); last error of a caller: %q", report.Callers.LastError)
	}
	return nil
}

func printReport(out io.Writer, report demonstrator.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	rows := []struct {
		name  string
		value any
	}{
		{"steps", report.Trainer.Steps},
		{"samples", report.Trainer.Samples},
		{"duplicate samples", report.Trainer.Duplicates},
		{"missing samples", report.Trainer.Missing},
		{"stale samples", report.Trainer.Stale},
		{"invalid samples", report.Trainer.Invalid},
		{"highest staleness (versions)", report.Trainer.MaxStaleness},
		{"trainer idle (s)", fmt.Sprintf("%.2f", report.Trainer.Idle.Std().Seconds())},
		{"callers' requests", report.Callers.Requests},
		{"callers' incomplete streams", report.Callers.Incomplete},
		{"callers' failed requests", report.Callers.Failed},
		{"orders that ran twice", report.Callers.Doubled},
		{"failed invariants", report.InvariantFailures},
		{"duration (s)", fmt.Sprintf("%.1f", report.Duration.Seconds())},
	}
	fmt.Fprintln(w)
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%v\n", row.name, row.value)
	}
	reasons := make([]string, 0, len(report.Refusals))
	for reason := range report.Refusals {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		fmt.Fprintf(w, "refused: %s\t%d\n", reason, report.Refusals[reason])
	}
}
