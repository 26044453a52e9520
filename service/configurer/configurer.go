package configurer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
)

// envPrefix is the prefix of the environment variables of this service.
const envPrefix = "CELERYGAP_"

// The defaults of the settings; DefaultBodyLimit is in bytes.
const (
	DefaultListen       = "127.0.0.1:8080"
	DefaultPeerListen   = "127.0.0.1:8090"
	DefaultDrainWait    = 5 * time.Second
	DefaultDrainTimeout = 10 * time.Minute
	DefaultBodyLimit    = 1 << 20
)

// TLSFiles names the files of one TLS identity; they are reloaded when they change.
type TLSFiles struct {
	Certificate string
	Key         string
	// Authorities is the file of the certificate authorities that verify the other side; it is required between hosts.
	Authorities string
}

// Enabled reports whether TLS is configured.
func (f TLSFiles) Enabled() bool { return f.Certificate != "" }

// Config holds the validated settings of one host; the usage texts of the flags describe them.
type Config struct {
	HostID      identifier.HostID
	Zone        identifier.Zone
	Region      identifier.Region
	Listen      string
	PeerListen  string
	PeerAddress string
	StoreURL    string
	Seeds       []string
	DataFolder  string
	BodyLimit   identifier.Bytes
	// Memory is the memory of the process, and Descriptors the number of descriptors that it may open; zero means that they are not set.
	Memory            identifier.Bytes
	Descriptors       int
	DrainWait         time.Duration
	DrainTimeout      time.Duration
	LockDutyThreads   bool
	LogFormat         logger.Format
	LogLevel          zerolog.Level
	AddressFile       string
	CallerTLS         TLSFiles
	PeerTLS           TLSFiles
	OrderShards       int
	SubsetSize        int
	GenerationLimit   int
	ScreenBuildPeriod time.Duration
}

// Action runs the service with validated settings.
type Action func(context.Context, Config) error

// Command returns the command that reads and checks the settings and then runs the action. A *SettingError means that it
// did not run the action because a setting is invalid.
func Command(action Action) *cli.Command {
	return &cli.Command{
		Name:  "celerygapd",
		Usage: "serve callers, trainers and operators of one celerygap host",
		Description: "Every flag can also be set by the environment variable shown beside it; the flag goes first.\n" +
			"Exit status: 0 after a planned stop, 1 when the service failed, 2 when a setting is invalid.",
		Flags: flags(),
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &SettingError{Err: err}
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return &SettingError{Err: fmt.Errorf("unexpected argument %q: settings are flags or environment variables", cmd.Args().First())}
			}
			if err := checkEnvironment(os.Environ()); err != nil {
				return &SettingError{Err: err}
			}
			config, err := read(cmd)
			if err != nil {
				return &SettingError{Err: err}
			}
			return action(ctx, config)
		},
	}
}

// SettingError means that a flag, an argument or an environment variable is invalid.
type SettingError struct {
	Err error
}

// Error formats the cause.
func (e *SettingError) Error() string { return "invalid settings: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }

// env returns the environment variable of a flag as the source of its value.
func env(flag string) cli.ValueSourceChain {
	return cli.EnvVars(envName(flag))
}

func envName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func intFlag(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func flags() []cli.Flag {
	return []cli.Flag{
		stringFlag("host-id", "", "unique `ID` of this host (required)"),
		stringFlag("zone", "", "availability `ZONE` of this host (required)"),
		stringFlag("region", "", "`REGION` of the availability zone (required)"),
		stringFlag("listen", DefaultListen, "`ADDRESS` (IP:port) for callers, trainers and operators"),
		stringFlag("peer-listen", DefaultPeerListen, "`ADDRESS` (IP:port) for other hosts"),
		stringFlag("peer-address", "", "`ADDRESS` that other hosts use; default: the address listened on"),
		stringFlag("store-url", "", "base `URL` of the platform's object API (required)"),
		&cli.StringSliceFlag{Name: "seed", Usage: "peer `ADDRESS` of another host to join by; may be repeated", Sources: env("seed")},
		stringFlag("data-folder", "", "`FOLDER` for bulk data; empty: this host keeps none"),
		intFlag("body-limit", DefaultBodyLimit, "largest request body in `BYTES` when the catalogue entry sets none"),
		intFlag("memory-mb", 0, "memory of the process in `MB`, which bounds what clients may hold; 0: half of the machine's"),
		intFlag("max-fds", 0, "`DESCRIPTORS` that the process may open, which bounds the connections of clients; 0: the limit of the system"),
		durationFlag("drain-wait", DefaultDrainWait, "how long the load balancer gets to stop sending after readiness is off"),
		durationFlag("drain-timeout", DefaultDrainTimeout, "longest wait for running requests during a planned stop"),
		&cli.BoolFlag{Name: "lock-duty-threads", Value: true, Usage: "give each duty an OS thread of its own", Sources: env("lock-duty-threads")},
		stringFlag("log-format", "auto", "`FORMAT` of log lines: json, console or auto (console on a terminal)"),
		stringFlag("log-level", "info", "lowest `LEVEL` of log lines: debug, info, warn or error"),
		stringFlag("address-file", "", "`FILE` to which the listening addresses are written, one per line"),
		stringFlag("tls-cert", "", "certificate `FILE` (PEM) towards callers"),
		stringFlag("tls-key", "", "key `FILE` (PEM) towards callers"),
		stringFlag("peer-tls-cert", "", "certificate `FILE` (PEM) between hosts"),
		stringFlag("peer-tls-key", "", "key `FILE` (PEM) between hosts"),
		stringFlag("peer-tls-ca", "", "authorities `FILE` (PEM) that sign the certificates of other hosts"),
		intFlag("order-shards", 4, "number of order leases; the same on all hosts"),
		intFlag("subset-size", 64, "most upstreams of one pool that this host uses"),
		intFlag("generation-limit", 256, "most rollouts that this host runs at once"),
		durationFlag("screen-period", time.Second, "time between snapshots of the shared screens"),
	}
}

func read(cmd *cli.Command) (Config, error) {
	config := Config{
		HostID:            identifier.HostID(cmd.String("host-id")),
		Zone:              identifier.Zone(cmd.String("zone")),
		Region:            identifier.Region(cmd.String("region")),
		Listen:            cmd.String("listen"),
		PeerListen:        cmd.String("peer-listen"),
		PeerAddress:       cmd.String("peer-address"),
		StoreURL:          cmd.String("store-url"),
		Seeds:             cmd.StringSlice("seed"),
		DataFolder:        cmd.String("data-folder"),
		BodyLimit:         identifier.Bytes(cmd.Int("body-limit")),
		Memory:            identifier.Bytes(cmd.Int("memory-mb")) << 20,
		Descriptors:       cmd.Int("max-fds"),
		DrainWait:         cmd.Duration("drain-wait"),
		DrainTimeout:      cmd.Duration("drain-timeout"),
		LockDutyThreads:   cmd.Bool("lock-duty-threads"),
		AddressFile:       cmd.String("address-file"),
		CallerTLS:         TLSFiles{Certificate: cmd.String("tls-cert"), Key: cmd.String("tls-key")},
		PeerTLS:           TLSFiles{Certificate: cmd.String("peer-tls-cert"), Key: cmd.String("peer-tls-key"), Authorities: cmd.String("peer-tls-ca")},
		OrderShards:       cmd.Int("order-shards"),
		SubsetSize:        cmd.Int("subset-size"),
		GenerationLimit:   cmd.Int("generation-limit"),
		ScreenBuildPeriod: cmd.Duration("screen-period"),
	}
	var problems []error
	config.LogFormat, problems = readFormat(cmd.String("log-format"), problems)
	config.LogLevel, problems = readLevel(cmd.String("log-level"), problems)
	problems = append(problems, config.check()...)
	return config, errors.Join(problems...)
}

func readFormat(value string, problems []error) (logger.Format, []error) {
	switch value {
	case "json":
		return logger.FormatJSON, problems
	case "console":
		return logger.FormatConsole, problems
	case "auto":
		return automaticFormat(), problems
	default:
		return "", append(problems, invalid("log-format", value, "json, console or auto"))
	}
}

// automaticFormat returns the console format if standard error is a terminal, and JSON otherwise.
func automaticFormat() logger.Format {
	info, err := os.Stderr.Stat()
	if err == nil && info.Mode()&os.ModeCharDevice != 0 {
		return logger.FormatConsole
	}
	return logger.FormatJSON
}

func readLevel(value string, problems []error) (zerolog.Level, []error) {
	level, err := logger.ParseLevel(value)
	if err != nil {
		problems = append(problems, invalid("log-level", value, logger.Levels))
	}
	return level, problems
}

func invalid(flag, value, accepted string) error {
	return fmt.Errorf("--%s (%s): %q is not accepted; want %s", flag, envName(flag), value, accepted)
}

func (c *Config) check() []error {
	var problems []error
	required := []struct{ flag, value, accepted string }{
		{"host-id", string(c.HostID), "a name that no other host has"},
		{"zone", string(c.Zone), "the availability zone's name"},
		{"region", string(c.Region), "the region's name"},
	}
	for _, r := range required {
		if strings.TrimSpace(r.value) == "" {
			problems = append(problems, invalid(r.flag, r.value, r.accepted))
		}
	}
	problems = append(problems, c.checkAddresses()...)
	problems = append(problems, c.checkNumbers()...)
	problems = append(problems, checkTLS("tls", c.CallerTLS, false)...)
	problems = append(problems, checkTLS("peer-tls", c.PeerTLS, true)...)
	return problems
}

func (c *Config) checkAddresses() []error {
	var problems []error
	addresses := []struct{ flag, value string }{{"listen", c.Listen}, {"peer-listen", c.PeerListen}}
	if c.PeerAddress != "" {
		addresses = append(addresses, struct{ flag, value string }{"peer-address", c.PeerAddress})
	}
	for _, seed := range c.Seeds {
		addresses = append(addresses, struct{ flag, value string }{"seed", seed})
	}
	for _, a := range addresses {
		if !isAddress(a.value) {
			problems = append(problems, invalid(a.flag, a.value, "IP:port"))
		}
	}
	parsed, err := url.Parse(c.StoreURL)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		problems = append(problems, invalid("store-url", c.StoreURL, "an http or https URL"))
	}
	return problems
}

// isAddress reports whether value is an IP address with a port.
func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return false
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		return false
	}
	return net.ParseIP(host) != nil
}

func (c *Config) checkNumbers() []error {
	var problems []error
	numbers := []struct {
		flag  string
		value int
	}{
		{"body-limit", int(c.BodyLimit)},
		{"order-shards", c.OrderShards},
		{"subset-size", c.SubsetSize},
		{"generation-limit", c.GenerationLimit},
	}
	for _, n := range numbers {
		if n.value < 1 {
			problems = append(problems, invalid(n.flag, fmt.Sprint(n.value), "a whole number of at least 1"))
		}
	}
	for flag, value := range map[string]int{"memory-mb": int(c.Memory >> 20), "max-fds": c.Descriptors} {
		if value < 0 {
			problems = append(problems, invalid(flag, fmt.Sprint(value), "a whole number of at least 0"))
		}
	}
	if c.DrainWait < 0 {
		problems = append(problems, invalid("drain-wait", c.DrainWait.String(), "a duration of at least 0s"))
	}
	if c.DrainTimeout <= 0 {
		problems = append(problems, invalid("drain-timeout", c.DrainTimeout.String(), "a duration above 0s"))
	}
	if c.ScreenBuildPeriod < 100*time.Millisecond {
		problems = append(problems, invalid("screen-period", c.ScreenBuildPeriod.String(), "a duration of at least 100ms"))
	}
	return problems
}

// checkTLS checks the files of one identity; with mutual, they must include the authorities.
func checkTLS(prefix string, files TLSFiles, mutual bool) []error {
	var problems []error
	if (files.Certificate == "") != (files.Key == "") {
		problems = append(problems, invalid(prefix+"-key", files.Key, "a file when --"+prefix+"-cert is set, and none otherwise"))
	}
	if mutual && files.Enabled() && files.Authorities == "" {
		problems = append(problems, invalid(prefix+"-ca", files.Authorities, "a file when --"+prefix+"-cert is set"))
	}
	return problems
}

// checkEnvironment rejects variables with the service's prefix that no flag reads, because a misspelt one would be ignored
// silently.
func checkEnvironment(environment []string) error {
	known := make(map[string]bool)
	for _, flag := range flags() {
		known[envName(flag.Names()[0])] = true
	}
	for _, pair := range environment {
		name, value, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, envPrefix) && !known[name] {
			return fmt.Errorf("environment variable %s=%q is not a setting; see celerygapd --help", name, value)
		}
	}
	return nil
}
