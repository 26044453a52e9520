package commander_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/operator/commander"
)

const catalogue = `pools:
  - {name: orders, kind: plain}
entries:
  - {name: order-service, kind: service, owner: shop, class: live, service: {pool: orders}}
`

// operatorAPI is an operator API that responds to every edit with the same result and records the edits.
type operatorAPI struct {
	result codec.EditResult
	status int
	edits  []codec.EditRequest
}

func (a *operatorAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(codec.Catalogue{Revision: 6})
		return
	}
	var edit codec.EditRequest
	_ = json.NewDecoder(r.Body).Decode(&edit)
	a.edits = append(a.edits, edit)
	w.WriteHeader(a.status)
	_ = json.NewEncoder(w).Encode(a.result)
}

func run(t *testing.T, api *operatorAPI, text string, args ...string) (string, error) {
	t.Helper()
	server := httptest.NewServer(api)
	defer server.Close()
	path := filepath.Join(t.TempDir(), "catalogue.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	command := commander.Command()
	var out bytes.Buffer
	command.Writer = &out
	err := command.Run(t.Context(), append([]string{"celerygapctl", "--server", server.URL}, append(args, path)...))
	return out.String(), err
}

// Guards against a conflict message that does not name the author of the accepted edit, and against a conflict that
// scripts cannot tell from other errors by its exit status.
func TestConflictNamesTheWinner(t *testing.T) {
	winner := &codec.Edit{Author: "ana", Revision: 6, Summary: "more engines", At: time.Unix(0, 0)}
	api := &operatorAPI{status: http.StatusConflict, result: codec.EditResult{Status: codec.EditStatusConflict, Revision: 6, ConflictingEdit: winner}}
	_, err := run(t, api, catalogue, "apply", "--author", "bo", "--base-revision", "5")
	require.ErrorContains(t, err, "ana made revision 6")
	require.Equal(t, commander.ExitConflict, commander.ExitStatus(err))
}

// Guards against a repeated command that submits a second edit instead of the same one.
func TestRepeatedCommandIsTheSameEdit(t *testing.T) {
	api := &operatorAPI{status: http.StatusOK, result: codec.EditResult{Status: codec.EditStatusAccepted, Revision: 7}}
	for range 2 {
		out, err := run(t, api, catalogue, "apply", "--author", "bo", "--base-revision", "6")
		require.NoError(t, err)
		require.Contains(t, out, "accepted as revision 7")
	}
	require.Len(t, api.edits, 2)
	require.Equal(t, api.edits[0].EditID, api.edits[1].EditID)
	_, err := run(t, api, catalogue, "apply", "--author", "bo", "--base-revision", "7")
	require.NoError(t, err)
	require.NotEqual(t, api.edits[0].EditID, api.edits[2].EditID)
}

// Guards against an empty file that removes every workload by mistake.
func TestEmptyCatalogueIsRefused(t *testing.T) {
	api := &operatorAPI{}
	_, err := run(t, api, "entries: []\n", "apply", "--author", "bo")
	require.ErrorContains(t, err, "--allow-empty")
	require.Equal(t, commander.ExitUsage, commander.ExitStatus(err))
	require.Empty(t, api.edits)
}

// Guards against an invalid file whose exit status is that of a failed connection.
func TestExitStatusOfAnInvalidFile(t *testing.T) {
	_, err := run(t, &operatorAPI{}, "entries:\n  - {nme: x}\n", "validate")
	require.Equal(t, commander.ExitInvalid, commander.ExitStatus(err))
}
