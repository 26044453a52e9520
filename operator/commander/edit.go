package commander

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/operator/reader"
	"celerygap.example/operator/requester"
	"celerygap.example/service/editor"
)

// pollPeriod is the time between two status queries while apply waits for an edit to be in effect.
const pollPeriod = 500 * time.Millisecond

func validateCommand() *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "check catalogue files without a server", ArgsUsage: "FILE...", OnUsageError: onUsageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			file, err := readFiles(cmd)
			if err != nil {
				return err
			}
			return printResult(cmd, fmt.Sprintf("valid: %d entries, %d pools", len(file.Entries), len(file.Pools)), struct {
				Entries int `json:"entries"`
				Pools   int `json:"pools"`
			}{len(file.Entries), len(file.Pools)})
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what applying the files would change", ArgsUsage: "FILE...", OnUsageError: onUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			file, err := readFiles(cmd)
			if err != nil {
				return err
			}
			current, err := newClient(cmd).Catalogue(ctx)
			if err != nil {
				return err
			}
			changes := editor.Diff(current, file.Catalogue())
			if len(changes) == 0 {
				return printResult(cmd, fmt.Sprintf("no change against revision %d", current.Revision), changes)
			}
			return printResult(cmd, editor.FormatDiff(changes), changes)
		},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "make the files the catalogue in effect", ArgsUsage: "FILE...", OnUsageError: onUsageError,
		Description: "The edit is accepted only if the catalogue still has the revision that the author saw: --base-revision, else the\n" +
			"revision line of the files, else the current revision. Repeating a command whose response was lost is harmless.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "author", Value: os.Getenv("USER"), Usage: "`NAME` shown with the edit", Sources: cli.EnvVars("CELERYGAPCTL_AUTHOR")},
			&cli.StringFlag{Name: "summary", Usage: "`TEXT` shown with the edit; default: the number of changes"},
			&cli.Int64Flag{Name: "base-revision", Value: -1, Usage: "revision `NUMBER` that the author saw"},
			&cli.BoolFlag{Name: "allow-empty", Usage: "accept files without any entry, which removes every workload"},
			&cli.BoolFlag{Name: "update-file", Usage: "write the new revision into the revision line of the files"},
			&cli.DurationFlag{Name: "wait", Usage: "wait until the edit is in effect on all hosts, at most so long"},
		},
		Action: apply,
	}
}

func apply(ctx context.Context, cmd *cli.Command) error {
	if cmd.String("author") == "" {
		return usageError{fmt.Errorf("--author is empty; give the name that is shown with the edit")}
	}
	if err := checkUpdateFile(cmd); err != nil {
		return err
	}
	file, err := readFiles(cmd)
	if err != nil {
		return err
	}
	if len(file.Entries) == 0 && !cmd.Bool("allow-empty") {
		return usageError{fmt.Errorf("the files contain no entry, so applying them would remove every workload; pass --allow-empty if that is intended")}
	}
	c := newClient(cmd)
	current, err := c.Catalogue(ctx)
	if err != nil {
		return err
	}
	changes := editor.Diff(current, file.Catalogue())
	if len(changes) == 0 {
		return printResult(cmd, fmt.Sprintf("no change: revision %d already holds this catalogue", current.Revision),
			codec.EditResult{Status: codec.EditStatusAlreadyAccepted, Revision: current.Revision})
	}
	request := newEdit(cmd, file, current, len(changes))
	result, err := c.Apply(ctx, request)
	if err != nil {
		return fmt.Errorf("apply edit %s (repeating the same command is safe and shows whether the edit was accepted): %w", request.EditID, err)
	}
	return finishApply(ctx, cmd, c, result)
}

// checkUpdateFile refuses --update-file for a folder, in which no file has the revision line of the whole.
func checkUpdateFile(cmd *cli.Command) error {
	if !cmd.Bool("update-file") {
		return nil
	}
	for _, path := range cmd.Args().Slice() {
		if info, err := os.Stat(path); err == nil && info.IsDir() {
			return usageError{fmt.Errorf("--update-file: %s is a folder; name its files", path)}
		}
	}
	return nil
}

func newEdit(cmd *cli.Command, file reader.File, current *codec.Catalogue, changes int) codec.EditRequest {
	base := current.Revision
	if file.Revision != 0 {
		base = file.Revision
	}
	if named := cmd.Int64("base-revision"); named >= 0 {
		base = identifier.Revision(named)
	}
	summary := cmd.String("summary")
	if summary == "" {
		summary = fmt.Sprintf("%d changes", changes)
		if changes == 1 {
			summary = "1 change"
		}
	}
	request := codec.EditRequest{
		Author: cmd.String("author"), BaseRevision: base, Summary: summary, Entries: file.Entries, Pools: file.Pools,
	}
	if request.Entries == nil {
		request.Entries = []codec.Entry{}
	}
	if request.Pools == nil {
		request.Pools = []codec.Pool{}
	}
	request.EditID = editID(request)
	return request
}

// editID derives the id from the content and the base revision, so that a repeated command submits the same edit again.
func editID(request codec.EditRequest) identifier.EditID {
	encoded, err := json.Marshal(request)
	if err != nil {
		return ""
	}
	digest := sha256.Sum256(encoded)
	return identifier.EditID(hex.EncodeToString(digest[:16]))
}

func finishApply(ctx context.Context, cmd *cli.Command, c *requester.Client, result codec.EditResult) error {
	switch result.Status {
	case codec.EditStatusConflict:
		return conflictError{describeConflict(result)}
	case codec.EditStatusInvalid:
		return &reader.InvalidError{Path: "catalogue", Message: result.Message}
	case codec.EditStatusAccepted, codec.EditStatusAlreadyAccepted:
	default:
		return fmt.Errorf("the host returned an unknown status %q for the edit", result.Status)
	}
	if cmd.Bool("update-file") {
		if err := updateFiles(cmd, result.Revision); err != nil {
			return err
		}
	}
	text := fmt.Sprintf("accepted as revision %d", result.Revision)
	if result.Status == codec.EditStatusAlreadyAccepted {
		text = fmt.Sprintf("already accepted as revision %d", result.Revision)
	}
	if err := printResult(cmd, text, result); err != nil {
		return err
	}
	if wait := cmd.Duration("wait"); wait > 0 {
		return waitInEffect(ctx, cmd, c, result.Revision, wait)
	}
	return nil
}

func describeConflict(result codec.EditResult) error {
	if edit := result.ConflictingEdit; edit != nil {
		return fmt.Errorf("conflict: %s made revision %d at %s (%s); the current revision is %d: run diff, merge and apply again",
			edit.Author, edit.Revision, edit.At.Format(time.RFC3339), edit.Summary, result.Revision)
	}
	return fmt.Errorf("conflict: the current revision is %d: %s", result.Revision, result.Message)
}

func updateFiles(cmd *cli.Command, revision identifier.Revision) error {
	for _, path := range cmd.Args().Slice() {
		if _, err := reader.SetRevision(path, revision); err != nil {
			return err
		}
	}
	return nil
}

func waitInEffect(ctx context.Context, cmd *cli.Command, c *requester.Client, revision identifier.Revision, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		status, err := c.Status(ctx)
		done, total := inEffect(status, revision)
		if err == nil && total > 0 && done == total {
			return printResult(cmd, fmt.Sprintf("in effect on all %d hosts", total), struct {
				Hosts int `json:"hosts"`
			}{total})
		}
		select {
		case <-ctx.Done():
			if err != nil {
				return fmt.Errorf("revision %d was accepted; whether it is in effect is not known after %v: %w", revision, wait, err)
			}
			return fmt.Errorf("revision %d is in effect on %d of %d hosts after %v", revision, done, total, wait)
		case <-time.After(pollPeriod):
		}
	}
}

func inEffect(status requester.Status, revision identifier.Revision) (done, total int) {
	known := make(map[identifier.HostID]identifier.Revision)
	for _, host := range status.InEffect {
		known[host.ID] = host.Revision
	}
	known[status.Host.ID] = status.Revision
	for _, member := range status.Members {
		total++
		if known[member.ID] >= revision {
			done++
		}
	}
	return done, total
}
