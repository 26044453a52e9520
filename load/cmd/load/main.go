package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"celerygap.example/load/loader"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "compare direct calls to an upstream with calls through a host, in turns within one run",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "direct", Required: true, Usage: "`URL` of the upstream", Validator: checkURL},
			&cli.StringFlag{Name: "through", Required: true, Usage: "`URL` of the same call through a host", Validator: checkURL},
			&cli.StringFlag{Name: "method", Value: "GET", Usage: "HTTP `METHOD`"},
			&cli.StringFlag{Name: "body", Usage: "request `BODY` of the call through the host"},
			&cli.StringFlag{Name: "direct-body", Usage: "request `BODY` of the direct call; default: the same"},
			&cli.IntFlag{Name: "pid", Usage: "process `ID` of the host, for its processor time"},
			&cli.IntFlag{Name: "concurrency", Value: 8, Usage: "requests at one time"},
			&cli.DurationFlag{Name: "phase", Value: 2 * time.Second, Usage: "time of one turn"},
			&cli.IntFlag{Name: "rounds", Value: 5, Usage: "turns of each way"},
			&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second, Usage: "longest wait for one response"},
		},
		Action: run,
	}
}

func checkURL(value string) error {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" {
		return fmt.Errorf("%q is not accepted; want an http URL", value)
	}
	return nil
}

func run(ctx context.Context, cmd *cli.Command) error {
	directBody := cmd.String("direct-body")
	if !cmd.IsSet("direct-body") {
		directBody = cmd.String("body")
	}
	results, err := loader.Run(ctx, loader.Config{
		Targets: []loader.Target{
			{Name: "direct", URL: cmd.String("direct"), Method: cmd.String("method"), Body: []byte(directBody)},
			{Name: "through", URL: cmd.String("through"), Method: cmd.String("method"), Body: []byte(cmd.String("body")), ProcessID: cmd.Int("pid")},
		},
		Concurrency: cmd.Int("concurrency"), Phase: cmd.Duration("phase"), Rounds: cmd.Int("rounds"), Timeout: cmd.Duration("timeout"),
	})
	if err != nil {
		return err
	}
	printResults(os.Stdout, results)
	return nil
}

func printResults(out io.Writer, results []*loader.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "way\trequests\tfailed\trequests/s\tmedian\t99th\tprocessor/request")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%v\t%v\t%v\n", r.Target.Name, r.Requests, r.Failed, r.Rate(), r.Latency(50), r.Latency(99), r.CPUPerRequest())
		if r.LastError != "" {
			fmt.Fprintf(w, "\tlast error: %s\n", r.LastError)
		}
	}
	direct, through := results[0], results[1]
	fmt.Fprintf(w, "ratio\t\t\t%.2f\t%.2f\t%.2f\n", through.Rate()/direct.Rate(),
		ratio(through.Latency(50), direct.Latency(50)), ratio(through.Latency(99), direct.Latency(99)))
	fmt.Fprintf(w, "added\t\t\t\t%v\t%v\n", through.Latency(50)-direct.Latency(50), through.Latency(99)-direct.Latency(99))
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }
