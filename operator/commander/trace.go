package commander

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// maxLogLine is the longest line of a log that trace can read, in bytes.
const maxLogLine = 1 << 20

// traceCommand prints the lines about one id from the logs of several hosts, ordered by time.
func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print the log lines of a request, an item or a batch job, from the logs of several hosts, in order",
		ArgsUsage: "ID FILE...",
		Description: "Reads JSON lines as the service writes them; `-` is the standard input. Text before the first brace of a line, such as\n" +
			"the name of a host, is kept.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < 2 {
				return usageError{errors.New("trace needs an id and at least one file")}
			}
			return trace(cmd.Root().Writer, cmd.Args().First(), cmd.Args().Tail())
		},
	}
}

// tracedLine is a log line with the value of its field time.
type tracedLine struct {
	at   time.Time
	text string
}

func trace(out io.Writer, id string, files []string) error {
	var found []tracedLine
	for _, name := range files {
		lines, err := readTraced(name, id)
		if err != nil {
			return fmt.Errorf("read log %s: %w", name, err)
		}
		found = append(found, lines...)
	}
	slices.SortStableFunc(found, func(a, b tracedLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, line := range found {
		if _, err := fmt.Fprintln(out, line.text); err != nil {
			return err
		}
	}
	return nil
}

func readTraced(name, id string) ([]tracedLine, error) {
	file := os.Stdin
	if name != "-" {
		var err error
		if file, err = os.Open(name); err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
	}
	var found []tracedLine
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if line, ok := matchLine(lines.Text(), id); ok {
			found = append(found, line)
		}
	}
	return found, lines.Err()
}

// matchLine reports whether one of the fields of a line has the id as its value, and returns the line if so.
func matchLine(text, id string) (tracedLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, id) {
		return tracedLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return tracedLine{}, false
	}
	for _, value := range fields {
		if value == id {
			written, _ := fields["time"].(string)
			at, err := time.Parse(time.RFC3339Nano, written)
			if err != nil {
				// A line without a readable time is sorted before the others.
				at = time.Unix(0, 0)
			}
			return tracedLine{at: at, text: text}, true
		}
	}
	return tracedLine{}, false
}
