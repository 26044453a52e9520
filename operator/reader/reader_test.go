package reader_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/operator/reader"
)

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "catalogue.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const valid = `revision: 3
pools:
  - {name: orders, kind: plain}
entries:
  - name: order-service
    kind: service
    owner: shop
    class: live
    limits:
      deadline: 30s
    service: {pool: orders}
`

// Guards against a malformed catalogue file whose error does not name the file, the field and what is accepted.
func TestMalformedFilesAreNamed(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown field", "entries:\n  - nme: x\n", `unknown field "nme"`},
		{"unknown pool", "entries:\n  - {name: e, kind: service, owner: o, class: live, service: {pool: p}}\n", "pool"},
		{"wrong kind", "pools:\n  - {name: p, kind: gpu}\n", "engine"},
		{"not a list", "entries: 3\n", "entries"},
		{"bad duration", "entries:\n  - name: e\n    limits:\n      deadline: 30\n", "deadline"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := write(t, c.text)
			_, err := reader.Read([]string{path})
			var invalid *reader.InvalidError
			require.ErrorAs(t, err, &invalid)
			require.ErrorContains(t, err, path)
			require.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against a catalogue that changes when it is written and read again, and against a revision line that SetRevision
// does not replace.
func TestWriteAndReadAgain(t *testing.T) {
	path := write(t, valid)
	file, err := reader.Read([]string{path})
	require.NoError(t, err)
	text, err := reader.Write(file.Catalogue())
	require.NoError(t, err)
	again, err := reader.Read([]string{write(t, string(text))})
	require.NoError(t, err)
	require.Equal(t, file, again)

	changed, err := reader.SetRevision(path, 9)
	require.NoError(t, err)
	require.True(t, changed)
	file, err = reader.Read([]string{path})
	require.NoError(t, err)
	require.EqualValues(t, 9, file.Revision)
}
