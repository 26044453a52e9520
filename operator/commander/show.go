package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"celerygap.example/lib/codec"
	"celerygap.example/operator/reader"
	"celerygap.example/operator/requester"
)

func printResult(cmd *cli.Command, text string, value any) error {
	out := cmd.Root().Writer
	if cmd.String("output") == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	_, err := fmt.Fprintln(out, strings.TrimSuffix(text, "\n"))
	return err
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print the catalogue in effect as a catalogue file", OnUsageError: onUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := rejectArguments(cmd); err != nil {
				return err
			}
			catalogue, err := newClient(cmd).Catalogue(ctx)
			if err != nil {
				return err
			}
			text, err := reader.Write(catalogue)
			if err != nil {
				return err
			}
			return printResult(cmd, string(text), catalogue)
		},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show hosts, trainers and where the catalogue is in effect", OnUsageError: onUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := rejectArguments(cmd); err != nil {
				return err
			}
			status, err := newClient(cmd).Status(ctx)
			if err != nil {
				return err
			}
			return printResult(cmd, formatStatus(status), status)
		},
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the last catalogue edits", OnUsageError: onUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := rejectArguments(cmd); err != nil {
				return err
			}
			edits, err := newClient(cmd).History(ctx)
			if err != nil {
				return err
			}
			return printResult(cmd, formatHistory(edits), edits)
		},
	}
}

func formatStatus(status requester.Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "host %s: revision %d, ready %t, draining %t\n", status.Host.ID, status.Revision, status.Ready, status.Draining)
	done, total := inEffect(status, status.Revision)
	fmt.Fprintf(&b, "revision %d in effect on %d of %d hosts\n\n", status.Revision, done, total)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tADDRESS\tZONE\tSTATE\tREVISION")
	revisions := make(map[string]int64)
	for _, host := range status.InEffect {
		revisions[string(host.ID)] = int64(host.Revision)
	}
	revisions[string(status.Host.ID)] = int64(status.Revision)
	for _, m := range status.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", m.ID, m.Address, m.Zone, m.State, revisions[string(m.ID)])
	}
	_ = w.Flush()
	if status.Snapshot != nil {
		formatSnapshot(&b, status)
	}
	return b.String()
}

func formatSnapshot(b *strings.Builder, status requester.Status) {
	s := status.Snapshot
	fmt.Fprintf(b, "\nsnapshot %d.%d by %s, age %.1f s\n", s.Epoch, s.Sequence, s.Builder, float64(status.AgeMS)/1000)
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TRAINER\tSTEP\tSAMPLES\tWEIGHTS\tIDLE\tSTALENESS")
	for _, host := range s.Hosts {
		for _, t := range host.Trainers {
			fmt.Fprintf(w, "%s\t%d\t%d/%d\t%d\t%v\t%.2f\n", t.Name, t.Step, t.Held, t.Total, t.WeightVersion, t.Idle.Std().Round(time.Millisecond), t.Staleness)
		}
	}
	_ = w.Flush()
}

func formatHistory(edits []codec.Edit) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tAT\tAUTHOR\tSUMMARY\tEDIT ID")
	for _, e := range edits {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Revision, e.At.Format(time.RFC3339), e.Author, e.Summary, e.EditID)
	}
	_ = w.Flush()
	return b.String()
}
