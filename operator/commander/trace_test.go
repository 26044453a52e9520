package commander_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/operator/commander"
)

// Guards against a trace that misses a host, mixes up the order of the hosts' lines or shows those of other ids.
func TestTraceOrdersTheLinesOfSeveralHosts(t *testing.T) {
	folder := t.TempDir()
	first, second := filepath.Join(folder, "a.log"), filepath.Join(folder, "b.log")
	require.NoError(t, os.WriteFile(first, []byte(
		`a {"event":4001,"request":"r1","time":"2026-01-01T00:00:03.5Z"}`+"\n"+
			`a {"event":4002,"request":"r12","time":"2026-01-01T00:00:01Z"}`+"\nnoise r1\n"), 0o600))
	require.NoError(t, os.WriteFile(second, []byte(
		`{"event":6110,"job":"r1","time":"2026-01-01T00:00:02Z"}`+"\n"+`{"event":1,"request":"r1","time":"?"}`+"\n"), 0o600))
	var out bytes.Buffer
	command := commander.Command()
	command.Writer = &out
	require.NoError(t, command.Run(t.Context(), []string{"celerygapctl", "trace", "r1", first, second}))
	require.Equal(t, `{"event":1,"request":"r1","time":"?"}`+"\n"+`{"event":6110,"job":"r1","time":"2026-01-01T00:00:02Z"}`+"\n"+
		`a {"event":4001,"request":"r1","time":"2026-01-01T00:00:03.5Z"}`+"\n", out.String())
	require.Equal(t, commander.ExitUsage, commander.ExitStatus(commander.Command().Run(t.Context(), []string{"celerygapctl", "trace", "r1"})))
	require.Error(t, commander.Command().Run(t.Context(), []string{"celerygapctl", "trace", "r1", filepath.Join(folder, "none")}))
}
