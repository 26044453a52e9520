package trainer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/standin/listener"
)

// The defaults of a trainer.
const (
	DefaultGroups      = 8
	DefaultGroupSize   = 4
	DefaultMaxTokens   = 64
	DefaultTrainTime   = 500 * time.Millisecond
	DefaultPageWait    = 5 * time.Second
	DefaultWeightBytes = 64 << 10
)

// Config configures a trainer; zero values mean the defaults.
type Config struct {
	// Name is the trainer's catalogue entry.
	Name        identifier.EntryName
	Address     string
	AddressFile string
	// Services are the base URLs of the service's hosts; the trainer moves to the next one when a call fails.
	Services []string
	// WeightStore is the base URL of the weight store; empty uploads nothing.
	WeightStore string
	Model       identifier.ModelName
	// Steps is how many steps to train; zero means until the context ends.
	Steps int
	// Groups is the number of prompts of a step, GroupSize the number of samples per prompt.
	Groups    int
	GroupSize int
	MaxTokens identifier.Tokens
	// StalenessBound limits the age of samples in weight versions; it is also the number of steps declared ahead.
	StalenessBound int64
	// StartVersion is the weight version that the engines serve at the start.
	StartVersion identifier.WeightVersion
	FirstStep    identifier.StepNumber
	TrainTime    time.Duration
	PageWait     time.Duration
	WeightBytes  identifier.Bytes
	// Prompt returns the prompt of a group; nil means a generated one.
	Prompt func(step identifier.StepNumber, group int) string
	// TokenBytes is the number of bytes that a sample's text must have per token; zero disables the check.
	TokenBytes int
	Logger     *logger.Logger
}

func (c Config) withDefaults() Config {
	c.Groups = orDefault(c.Groups, DefaultGroups)
	c.GroupSize = orDefault(c.GroupSize, DefaultGroupSize)
	c.MaxTokens = orDefault(c.MaxTokens, DefaultMaxTokens)
	c.TrainTime = orDefault(c.TrainTime, DefaultTrainTime)
	c.PageWait = orDefault(c.PageWait, DefaultPageWait)
	c.WeightBytes = orDefault(c.WeightBytes, DefaultWeightBytes)
	c.FirstStep = orDefault(c.FirstStep, 1)
	if c.Logger == nil {
		c.Logger = logger.Discard()
	}
	if c.Prompt == nil {
		name := c.Name
		c.Prompt = func(step identifier.StepNumber, group int) string {
			return fmt.Sprintf("%s: plan for step %d, group %d", name, step, group)
		}
	}
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Trainer is one stand-in trainer.
type Trainer struct {
	config  Config
	server  *listener.Listener
	client  *client
	weights *client
	// version is the trainer's current weight version.
	version identifier.WeightVersion
	// declared is the number of the last declared step.
	declared identifier.StepNumber
	// declarations holds the declarations of incomplete steps, so that a repeated declaration is identical.
	declarations map[identifier.StepNumber]codec.StepDeclaration

	mu     sync.Mutex
	result Result
}

// New binds the address at which the trainer serves its result.
func New(config Config) (*Trainer, error) {
	config = config.withDefaults()
	if len(config.Services) == 0 {
		return nil, annotator.Wrap("start trainer", "self", errors.New("no service address"))
	}
	t := &Trainer{
		config:       config,
		version:      config.StartVersion,
		declared:     config.FirstStep - 1,
		declarations: make(map[identifier.StepNumber]codec.StepDeclaration),
	}
	t.client = &client{http: &http.Client{}, services: config.Services, onRetry: t.recordRetry}
	t.weights = &client{http: &http.Client{}, services: []string{config.WeightStore}, onRetry: t.recordRetry}
	router := echo.New()
	router.HideBanner = true
	router.GET("/admin/result", func(c echo.Context) error { return c.JSON(http.StatusOK, t.Result()) })
	server, err := listener.Open(listener.Config{
		Address: config.Address, AddressFile: config.AddressFile, Handler: router,
	})
	if err != nil {
		return nil, annotator.Wrap("start trainer", "self", err)
	}
	t.server = server
	return t, nil
}

// Address returns the listening address.
func (t *Trainer) Address() string { return t.server.Address() }

// Run trains until all steps are done or the context ends.
func (t *Trainer) Run(ctx context.Context) error {
	return grouper.Supervise(ctx, grouper.Config{},
		grouper.Duty{Name: "serve", Run: t.server.Run},
		grouper.Duty{Name: "train", Run: t.train})
}

func (t *Trainer) train(ctx context.Context) error {
	for n := 0; t.config.Steps == 0 || n < t.config.Steps; n++ {
		err := t.trainStep(ctx, t.config.FirstStep+identifier.StepNumber(n))
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// trainStep waits for the samples of a step, trains on them and announces the new weights.
func (t *Trainer) trainStep(ctx context.Context, step identifier.StepNumber) error {
	if err := t.declareAhead(ctx, step); err != nil {
		return err
	}
	if err := t.readStep(ctx, step); err != nil {
		return err
	}
	if err := pause(ctx, t.config.TrainTime); err != nil {
		return err
	}
	next := t.version + 1
	if err := t.announce(ctx, next); err != nil {
		return err
	}
	t.version = next
	t.mu.Lock()
	t.result.Version = next
	t.mu.Unlock()
	t.config.Logger.Info(logger.WeightsAnnounced).Int64("version", int64(next)).Send()
	return nil
}

// declareAhead declares the step and as many later ones as the staleness bound allows.
func (t *Trainer) declareAhead(ctx context.Context, step identifier.StepNumber) error {
	last := step + identifier.StepNumber(t.config.StalenessBound)
	if t.config.Steps > 0 {
		last = min(last, t.config.FirstStep+identifier.StepNumber(t.config.Steps)-1)
	}
	for t.declared < last {
		declaration := t.declaration(t.declared + 1)
		if err := t.declare(ctx, declaration); err != nil {
			return err
		}
		t.declared++
		t.declarations[t.declared] = declaration
		t.config.Logger.Info(logger.StepDeclared).Int64("step", int64(t.declared)).Send()
	}
	return nil
}

func (t *Trainer) declaration(step identifier.StepNumber) codec.StepDeclaration {
	prompts := make([]string, t.config.Groups)
	for group := range prompts {
		prompts[group] = t.config.Prompt(step, group)
	}
	return codec.StepDeclaration{
		Step:          step,
		GroupSize:     t.config.GroupSize,
		MaxTokens:     t.config.MaxTokens,
		Prompts:       prompts,
		WeightVersion: t.version,
	}
}

// readStep reads pages until the step is complete; the time that this takes counts as idle.
func (t *Trainer) readStep(ctx context.Context, step identifier.StepNumber) error {
	start := time.Now()
	received := newReceivedStep(step, t.config)
	cursor := ""
	for {
		page, err := t.readPage(ctx, step, cursor)
		if hasStatus(err, http.StatusNotFound) {
			// The service has lost the declaration. A declaration is idempotent, so it can be repeated.
			if err := t.repeatDeclaration(ctx, step); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		t.mu.Lock()
		received.accept(page, t.version, &t.result)
		t.mu.Unlock()
		cursor = page.NextCursor
		if page.Complete {
			break
		}
	}
	t.finishStep(step, received, time.Since(start))
	return nil
}

func (t *Trainer) repeatDeclaration(ctx context.Context, step identifier.StepNumber) error {
	if err := t.declare(ctx, t.declarations[step]); err != nil {
		return err
	}
	return pause(ctx, retryInterval)
}

func (t *Trainer) finishStep(step identifier.StepNumber, received *receivedStep, idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	received.countMissing(&t.result)
	delete(t.declarations, step)
	t.result.Steps++
	t.result.Idle += identifier.Duration(idle)
	t.config.Logger.Info(logger.StepEnded).Int64("step", int64(step)).Dur("idle", idle).Send()
}

func (t *Trainer) recordRetry(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Retries++
	t.result.LastRetry = err.Error()
}
