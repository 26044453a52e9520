package launcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/standin/inferrer"
	"celerygap.example/standin/provider"
	"celerygap.example/standin/registrar"
	"celerygap.example/standin/responder"
	"celerygap.example/standin/scorer"
	"celerygap.example/standin/trainer"
)

// crashStatus is the exit status of a process that crashed because of a crash marker or a call of /admin/crash.
const crashStatus = 70

// hostSeparator separates the values of the flag host, because commas separate the fields of one host.
const hostSeparator = ";"

// Command returns the command line of the program; results are written to out, logs to standard error.
func Command(out io.Writer) *cli.Command {
	l := &launcher{out: out, log: logger.New(logger.Config{Output: os.Stderr, Format: logger.FormatJSON, Level: zerolog.InfoLevel})}
	return &cli.Command{
		Name:  "standin",
		Usage: "stand-ins of the platform, the upstreams and the trainers of celerygap",
		Commands: []*cli.Command{
			{Name: "platform", Usage: "object store, weight store and list of hosts", Flags: platformFlags(), Action: l.platform, SliceFlagSeparator: hostSeparator},
			{Name: "engine", Usage: "model engine", Flags: engineFlags(), Action: l.engine},
			{Name: "plain", Usage: "plain service that counts its runs", Flags: plainFlags(), Action: l.plain},
			{Name: "scorer", Usage: "service that scores samples", Flags: scorerFlags(), Action: l.scorer},
			{Name: "trainer", Usage: "trainer that checks every sample", Flags: trainerFlags(), Action: l.trainer},
		},
	}
}

type launcher struct {
	out io.Writer
	log *logger.Logger
}

// server is implemented by every stand-in.
type server interface {
	Address() string
	Run(ctx context.Context) error
}

// run runs a stand-in and, if the flag platform is set, a registrar that registers it there.
func (l *launcher) run(ctx context.Context, c *cli.Command, s server) error {
	l.log.Info(logger.Started).Str("standin", c.Name).Str("address", s.Address()).Send()
	duties := []grouper.Duty{{Name: c.Name, Run: s.Run}}
	if c.String("platform") != "" {
		r := registrar.New(registrar.Config{Platform: c.String("platform"), Host: listedHost(c, s.Address())})
		duties = append(duties, grouper.Duty{Name: "register", Run: r.Run})
	}
	err := grouper.Supervise(ctx, grouper.Config{}, duties...)
	l.log.Info(logger.Stopped).Str("standin", c.Name).Send()
	return err
}

func listedHost(c *cli.Command, address string) codec.ListedHost {
	id := c.String("id")
	if id == "" {
		id = address
	}
	return codec.ListedHost{
		ID:      identifier.UpstreamID(id),
		Address: address,
		Zone:    identifier.Zone(c.String("zone")),
		Region:  identifier.Region(c.String("region")),
		Pool:    identifier.PoolName(c.String("pool")),
		State:   codec.HostStateLive,
		// StartedAt distinguishes a restarted process with the same id and address. Without it, hosts that had seen the
		// earlier process leave would keep treating the upstream as leaving.
		StartedAt: time.Now(),
	}
}

func (l *launcher) platform(ctx context.Context, c *cli.Command) error {
	config := provider.Config{
		Address:          c.String("address"),
		AddressFile:      c.String("address-file"),
		WritesPerSecond:  c.Float("writes-per-second"),
		ReadsPerSecond:   c.Float("reads-per-second"),
		WeightsPerSecond: c.Float("weights-per-second"),
		HostLag:          c.Duration("host-lag"),
	}
	for _, entry := range c.StringSlice("host") {
		host, err := provider.ParseHost(entry)
		if err != nil {
			return err
		}
		config.Hosts = append(config.Hosts, host)
	}
	p, err := provider.New(config)
	if err != nil {
		return err
	}
	return l.run(ctx, c, p)
}

func (l *launcher) engine(ctx context.Context, c *cli.Command) (err error) {
	config := inferrer.Config{
		ID:              identifier.UpstreamID(c.String("id")),
		Address:         c.String("address"),
		AddressFile:     c.String("address-file"),
		Slots:           c.Int("slots"),
		Queue:           c.Int("queue"),
		TokenInterval:   c.Duration("token-interval"),
		BatchInterval:   c.Duration("batch-interval"),
		PrefillInterval: c.Duration("prefill-interval"),
		MeanTokens:      identifier.Tokens(c.Int("mean-tokens")),
		CacheEntries:    c.Int("cache-entries"),
		CacheEventLag:   c.Duration("cache-event-lag"),
		CacheEventGap:   int64(c.Int("cache-event-gap")),
		LoadTime:        c.Duration("load-time"),
		KeptVersions:    c.Int("kept-versions"),
		ReportLag:       c.Duration("report-lag"),
		ChecksFencing:   c.Bool("checks-fencing"),
		IgnoresExpiry:   c.Bool("ignores-expiry"),
		WeightStore:     c.String("weight-store"),
		CrashMarker:     c.String("poison-marker"),
		OnCrash:         func() { os.Exit(crashStatus) },
	}
	for _, entry := range c.StringSlice("model") {
		model, err := inferrer.ParseModel(entry)
		if err != nil {
			return err
		}
		config.Models = append(config.Models, model)
	}
	if path := c.String("record-file"); path != "" {
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("open the record file of engine %s: %w", config.ID, err)
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		config.Record = file
	}
	e, err := inferrer.New(config)
	if err != nil {
		return err
	}
	return l.run(ctx, c, e)
}

func (l *launcher) plain(ctx context.Context, c *cli.Command) error {
	s, err := responder.New(responder.Config{
		ID:          identifier.UpstreamID(c.String("id")),
		Address:     c.String("address"),
		AddressFile: c.String("address-file"),
		Delay:       c.Duration("delay"),
		CrashMarker: c.String("poison-marker"),
		OnCrash:     func() { os.Exit(crashStatus) },
	})
	if err != nil {
		return err
	}
	return l.run(ctx, c, s)
}

func (l *launcher) scorer(ctx context.Context, c *cli.Command) error {
	s, err := scorer.New(scorer.Config{
		Address:     c.String("address"),
		AddressFile: c.String("address-file"),
		Delay:       c.Duration("delay"),
	})
	if err != nil {
		return err
	}
	return l.run(ctx, c, s)
}

func (l *launcher) trainer(ctx context.Context, c *cli.Command) error {
	t, err := trainer.New(trainer.Config{
		Name:           identifier.EntryName(c.String("name")),
		Address:        c.String("address"),
		AddressFile:    c.String("address-file"),
		Services:       c.StringSlice("service"),
		WeightStore:    c.String("weight-store"),
		Model:          identifier.ModelName(c.String("model")),
		Steps:          c.Int("steps"),
		Groups:         c.Int("groups"),
		GroupSize:      c.Int("group-size"),
		MaxTokens:      identifier.Tokens(c.Int("max-tokens")),
		StalenessBound: int64(c.Int("staleness-bound")),
		StartVersion:   identifier.WeightVersion(c.Int("start-version")),
		FirstStep:      identifier.StepNumber(c.Int("first-step")),
		TrainTime:      c.Duration("train-time"),
		PageWait:       c.Duration("page-wait"),
		WeightBytes:    identifier.Bytes(c.Int("weight-bytes")),
		TokenBytes:     c.Int("token-bytes"),
		Logger:         l.log,
	})
	if err != nil {
		return err
	}
	err = l.run(ctx, c, t)
	if encodeErr := json.NewEncoder(l.out).Encode(t.Result()); err == nil {
		err = encodeErr
	}
	return err
}
