package launcher

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// envPrefix is the prefix of the environment variable that sets a flag.
const envPrefix = "STANDIN_"

func envSource(name string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

func stringListFlag(name, usage string) cli.Flag {
	return &cli.StringSliceFlag{Name: name, Usage: usage, Sources: envSource(name)}
}

func intFlag(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

func floatFlag(name string, value float64, usage string) cli.Flag {
	return &cli.FloatFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

func boolFlag(name, usage string) cli.Flag {
	return &cli.BoolFlag{Name: name, Usage: usage, Sources: envSource(name)}
}

// listenFlags returns the flags that every subcommand has.
func listenFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("address", "127.0.0.1:0", "TCP address to listen on; port 0 lets the system choose one"),
		stringFlag("address-file", "", "file that receives the listening address"),
	}
}

// hostFlags returns the flags of the upstreams, which may register with the platform.
func hostFlags() []cli.Flag {
	return append(
		listenFlags(),
		stringFlag("id", "", "id in the platform's list; empty means the address"),
		stringFlag("platform", "", "base URL of the platform at which to register; empty registers nothing"),
		stringFlag("zone", "zone-a", "availability zone"),
		stringFlag("region", "region-a", "region"),
		stringFlag("pool", "", "pool in the platform's list"),
	)
}
