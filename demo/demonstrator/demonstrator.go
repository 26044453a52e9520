package demonstrator

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/operator/reader"
	"celerygap.example/operator/requester"
	"celerygap.example/service/supervisor"
	"celerygap.example/standin/provider"
	"celerygap.example/standin/responder"
	"celerygap.example/standin/trainer"
)

//go:embed catalogue.yaml
var catalogueText []byte

const (
	startTimeout = 10 * time.Second
	pollPeriod   = 50 * time.Millisecond
	modelName    = identifier.ModelName("assistant")
	trainerName  = identifier.EntryName("assistant-trainer")
)

// Config configures a demonstration.
type Config struct {
	Hosts   int
	Engines int
	Steps   int
	// Calls is the number of completions that callers request, and of orders that they place with the plain service.
	Calls int
	// Progress receives a line of text for each step of the demonstration.
	Progress io.Writer
}

// Report holds the results of a demonstration.
type Report struct {
	Trainer trainer.Result
	Callers CallerReport
	// Refusals holds for each reason the highest number of refusals that one host counted.
	Refusals          map[string]int64
	InvariantFailures int64
	Duration          time.Duration
}

// Failed reports whether a caller or the trainer got a wrong result, or an invariant failed.
func (r Report) Failed() bool {
	return r.Trainer.Faults() > 0 || r.InvariantFailures > 0 || r.Callers.Doubled > 0 || r.Callers.Failed > 0 || r.Callers.Incomplete > 0
}

type demonstration struct {
	config   Config
	platform *provider.Platform
	orders   *responder.Service
	hosts    []*supervisor.Host
	duties   []grouper.Duty
	failures atomic.Int64
}

// Run starts the hosts and stand-ins, runs the callers and a trainer until they are done, and stops everything.
func Run(ctx context.Context, config Config) (Report, error) {
	d := &demonstration{config: config}
	restore := asserter.SetHandler(func(name asserter.Invariant, detail string) {
		d.failures.Add(1)
		d.printLine("invariant %s failed: %s", name, detail)
	})
	defer restore()
	started := time.Now()
	if err := d.build(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := grouper.NewGroup(-1)
	var superviseErr error
	group.Go(func() {
		defer cancel()
		superviseErr = grouper.Supervise(ctx, grouper.Config{}, d.duties...)
	})
	report, err := d.runWorkload(ctx)
	cancel()
	group.Wait()
	if err == nil {
		err = superviseErr
	}
	report.InvariantFailures = d.failures.Load()
	report.Duration = time.Since(started)
	return report, err
}

func (d *demonstration) printLine(format string, args ...any) {
	fmt.Fprintf(d.config.Progress, format+"\n", args...)
}

func (d *demonstration) url(host int) string { return "http://" + d.hosts[host].Address() }

func (d *demonstration) runWorkload(ctx context.Context) (Report, error) {
	if err := d.apply(ctx); err != nil {
		return Report{}, err
	}
	t, err := d.newTrainer()
	if err != nil {
		return Report{}, err
	}
	var report Report
	var trainErr error
	group := grouper.NewGroup(-1)
	group.Go(func() { report.Callers = d.runCallers(ctx) })
	group.Go(func() { trainErr = d.train(ctx, t) })
	group.Wait()
	report.Trainer = t.Result()
	report.Refusals = d.refusals(ctx)
	if trainErr != nil {
		return report, trainErr
	}
	if ctx.Err() != nil {
		return report, annotator.Wrap("run demonstration", "self", ctx.Err())
	}
	return report, nil
}

func (d *demonstration) newTrainer() (*trainer.Trainer, error) {
	services := make([]string, 0, len(d.hosts))
	for i := range d.hosts {
		services = append(services, d.url(i))
	}
	return trainer.New(trainer.Config{
		Name: trainerName, Address: "127.0.0.1:0", Services: services, WeightStore: "http://" + d.platform.Address(),
		Model: modelName, Steps: d.config.Steps, StalenessBound: 2, StartVersion: 1,
	})
}

func (d *demonstration) train(ctx context.Context, t *trainer.Trainer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := grouper.NewGroup(-1)
	defer group.Wait()
	finished := make(chan struct{})
	defer close(finished)
	group.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-finished:
				return
			case <-ticker.C:
				result := t.Result()
				d.printLine("trainer: %d of %d steps, %d samples, weight version %d", result.Steps, d.config.Steps, result.Samples, result.Version)
			}
		}
	})
	return t.Run(ctx)
}

// apply submits the demo's catalogue as an operator would and waits until it is in effect on all hosts.
func (d *demonstration) apply(ctx context.Context) error {
	file, err := reader.Parse("catalogue.yaml", catalogueText)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := requester.New(requester.Config{Server: d.url(0), Timeout: startTimeout})
	result, err := client.Apply(ctx, codec.EditRequest{
		EditID: identifier.EditID(uuid.NewString()), Author: "demo", Summary: "the demo's catalogue", Entries: file.Entries, Pools: file.Pools,
	})
	if err != nil {
		return err
	}
	if result.Status != codec.EditStatusAccepted {
		return annotator.Wrap("apply catalogue", annotator.Peer(d.url(0)), fmt.Errorf("%s: %s", result.Status, result.Message))
	}
	accepted := time.Now()
	for i := range d.hosts {
		if err := d.awaitRevision(ctx, i, result.Revision); err != nil {
			return err
		}
	}
	d.printLine("catalogue revision %d in effect on %d hosts after %v", result.Revision, len(d.hosts), time.Since(accepted).Round(time.Millisecond))
	return nil
}

func (d *demonstration) awaitRevision(ctx context.Context, host int, revision identifier.Revision) error {
	client := requester.New(requester.Config{Server: d.url(host), Timeout: startTimeout})
	for {
		status, err := client.Status(ctx)
		if err == nil && status.Ready && status.Revision >= revision && len(status.Members) == len(d.hosts) {
			return nil
		}
		select {
		case <-ctx.Done():
			return annotator.Wrap("wait for the catalogue", annotator.Peer(d.url(host)), ctx.Err())
		case <-time.After(pollPeriod):
		}
	}
}

// refusals returns for each reason the highest count that a host has in the snapshots of all hosts.
func (d *demonstration) refusals(ctx context.Context) map[string]int64 {
	counts := make(map[string]int64)
	for i := range d.hosts {
		status, err := requester.New(requester.Config{Server: d.url(i), Timeout: startTimeout}).Status(ctx)
		if err != nil || status.Snapshot == nil {
			continue
		}
		for _, host := range status.Snapshot.Hosts {
			for _, refusal := range host.Refusals {
				counts[refusal.Reason] = max(counts[refusal.Reason], refusal.Count)
			}
		}
	}
	return counts
}
