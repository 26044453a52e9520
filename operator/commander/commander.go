package commander

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"celerygap.example/operator/reader"
	"celerygap.example/operator/requester"
)

// The exit statuses of the program.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitInvalid  = 3
	ExitConflict = 4
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// usageError reports a command line that is not accepted.
type usageError struct{ error }

// conflictError reports an edit that was refused because another edit was accepted first.
type conflictError struct{ error }

// ExitStatus returns the exit status for an error of Command, and ExitOK for nil.
func ExitStatus(err error) int {
	var usage usageError
	var conflict conflictError
	var invalid *reader.InvalidError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	default:
		return ExitFailed
	}
}

// Command returns the root command with its flags and subcommands.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "celerygapctl",
		Usage: "edit the catalogue of celerygap and watch its effect",
		Description: "Exit status: 0 done, 1 failed, 2 wrong command line, 3 invalid catalogue, 4 conflict with another edit.\n" +
			"Catalogue files are YAML with the lists pools and entries; see docs/OPERATIONS.md.",
		EnableShellCompletion: true,
		Flags:                 globalFlags(),
		OnUsageError:          onUsageError,
		Before:                checkFlags,
		CommandNotFound: func(_ context.Context, _ *cli.Command, name string) {
			fmt.Fprintf(os.Stderr, "unknown command %q; see celerygapctl --help\n", name)
			os.Exit(ExitUsage)
		},
		Commands: []*cli.Command{
			validateCommand(), diffCommand(), applyCommand(), getCommand(), statusCommand(), historyCommand(), traceCommand(),
		},
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError{err} }

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "server", Value: "http://127.0.0.1:8080", Usage: "base `URL` of a host or of the load balancer", Sources: cli.EnvVars("CELERYGAPCTL_SERVER")},
		&cli.StringFlag{Name: "output", Value: outputText, Usage: "`FORMAT` of results: text or json", Sources: cli.EnvVars("CELERYGAPCTL_OUTPUT")},
		&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second, Usage: "longest wait for one response", Sources: cli.EnvVars("CELERYGAPCTL_TIMEOUT")},
	}
}

func checkFlags(ctx context.Context, cmd *cli.Command) (context.Context, error) {
	if format := cmd.String("output"); format != outputText && format != outputJSON {
		return ctx, usageError{fmt.Errorf("--output: %q is not accepted; want text or json", format)}
	}
	server, err := url.Parse(cmd.String("server"))
	if err != nil || server.Host == "" {
		return ctx, usageError{fmt.Errorf("--server: %q is not accepted; want an http or https URL", cmd.String("server"))}
	}
	return ctx, nil
}

func newClient(cmd *cli.Command) *requester.Client {
	return requester.New(requester.Config{Server: cmd.String("server"), Timeout: cmd.Duration("timeout")})
}

func readFiles(cmd *cli.Command) (reader.File, error) {
	if !cmd.Args().Present() {
		return reader.File{}, usageError{errors.New("name at least one catalogue file or folder")}
	}
	return reader.Read(cmd.Args().Slice())
}

func rejectArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageError{fmt.Errorf("unexpected argument %q", cmd.Args().First())}
	}
	return nil
}
