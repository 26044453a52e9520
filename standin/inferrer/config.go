package inferrer

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"celerygap.example/lib/identifier"
	"celerygap.example/lib/timer"
)

// The defaults and limits of an engine.
const (
	DefaultSlots                 = 16
	DefaultQueue                 = 64
	DefaultTokenInterval         = 2 * time.Millisecond
	DefaultPrefillInterval       = 50 * time.Microsecond
	DefaultCacheEntries          = 64
	DefaultLoadTime              = 200 * time.Millisecond
	DefaultReportLag             = 500 * time.Millisecond
	DefaultRestartDelay          = time.Second
	DefaultCrashMarker           = "[[crash-engine]]"
	DefaultKeptVersions          = 4
	DefaultCacheEventGap         = 7
	loadAttempts                 = 20
	loadRetryInterval            = 100 * time.Millisecond
	maxRecorded                  = 100_000
	keptKVCaches                 = 1024
	cacheHitPrefillShare         = 0.1
	bytesPerPromptToken          = 4
	cachedPrefixBytes            = 256
	attemptHeader                = "X-Attempt-Id"
	notStartedHeader             = "X-Not-Started"
	leavingHeader                = "X-Leaving"
	maxWeightBytes         int64 = 1 << 30
)

// Model is a model and the weight version that an engine has when it starts.
type Model struct {
	Name    identifier.ModelName
	Version identifier.WeightVersion
}

// ParseModel reads the text form of a model: name:version, or a name alone for version 0.
func ParseModel(text string) (Model, error) {
	name, version, found := strings.Cut(text, ":")
	if !found {
		return Model{Name: identifier.ModelName(name)}, nil
	}
	number, err := strconv.ParseInt(version, 10, 64)
	if err != nil {
		return Model{}, fmt.Errorf("parse model %q: want name:version: %w", text, err)
	}
	return Model{Name: identifier.ModelName(name), Version: identifier.WeightVersion(number)}, nil
}

// Config configures an engine; zero values mean the defaults.
type Config struct {
	ID          identifier.UpstreamID
	Address     string
	AddressFile string
	// Models are loaded when the engine starts or restarts.
	Models []Model
	// Slots limits the streams that run at the same time, Queue those that wait.
	Slots int
	Queue int
	// TokenInterval is the time per token of a stream that runs alone; BatchInterval is added for each other running
	// stream.
	TokenInterval time.Duration
	BatchInterval time.Duration
	// PrefillInterval is the time per prompt token before the first output token.
	PrefillInterval time.Duration
	// MeanTokens is the mean natural length of completions; zero lets each completion run to its max_tokens.
	MeanTokens identifier.Tokens
	// CacheEntries limits the cached prompt prefixes.
	CacheEntries int
	// CacheEventLag is the delay of cache events. Each CacheEventGap-th event is never published; a negative value
	// publishes all.
	CacheEventLag time.Duration
	CacheEventGap int64
	// LoadTime is the time of a load in addition to the transfer of the weights.
	LoadTime time.Duration
	// KeptVersions limits the loaded versions of a model; above it, the oldest one that is not served is unloaded.
	KeptVersions int
	// ReportLag is the interval between load reports; a report is published one interval after it was taken.
	ReportLag time.Duration
	// ChecksFencing refuses orders with a lower fencing token than an earlier order of the same model.
	ChecksFencing bool
	// IgnoresExpiry makes the engine execute expired orders.
	IgnoresExpiry bool
	// WeightStore is the base URL of the weight store; empty makes loads need no transfer.
	WeightStore string
	// CrashMarker is the text in a prompt that crashes the engine.
	CrashMarker string
	// Record, if set, receives a JSON line with the state of a run at each of its changes.
	Record io.Writer
	// RestartDelay is the time from a crash to the restart.
	RestartDelay time.Duration
	// OnCrash, if set, is called at a crash before the connections are closed. A program that exits in it does not
	// restart the engine.
	OnCrash func()
	// Timer is shared by the engines of one process; nil makes the engine run its own.
	Timer *timer.Service
}

func (c Config) withDefaults() Config {
	c.Slots = orDefault(c.Slots, DefaultSlots)
	c.Queue = orDefault(c.Queue, DefaultQueue)
	c.TokenInterval = orDefault(c.TokenInterval, DefaultTokenInterval)
	c.PrefillInterval = orDefault(c.PrefillInterval, DefaultPrefillInterval)
	c.CacheEntries = orDefault(c.CacheEntries, DefaultCacheEntries)
	c.CacheEventLag = orDefault(c.CacheEventLag, DefaultReportLag)
	c.CacheEventGap = orDefault(c.CacheEventGap, DefaultCacheEventGap)
	c.LoadTime = orDefault(c.LoadTime, DefaultLoadTime)
	c.KeptVersions = orDefault(c.KeptVersions, DefaultKeptVersions)
	c.ReportLag = orDefault(c.ReportLag, DefaultReportLag)
	c.CrashMarker = orDefault(c.CrashMarker, DefaultCrashMarker)
	c.RestartDelay = orDefault(c.RestartDelay, DefaultRestartDelay)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
