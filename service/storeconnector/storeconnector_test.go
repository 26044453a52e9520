package storeconnector_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/service/connector"
	"celerygap.example/service/storeconnector"
)

func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func truncateBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"key":"a"`))
	panic(http.ErrAbortHandler)
}

// hang sends no response. It reads the body first, because the server notices a closed connection only after that.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func newClient(t *testing.T, base string) *storeconnector.Client {
	t.Helper()
	client, err := storeconnector.New(storeconnector.Config{BaseURL: base, Timeout: 200 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

// Guards against misreported writes. A write of unknown outcome reported as without effect would let a second permit be
// issued; a write without effect reported as of unknown outcome would refuse requests for no reason.
func TestErrorsOfCalls(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		put     error
		get     error
	}{
		{"no final status", respond(700, ""), connector.ErrOutcomeUnknown, connector.ErrUnavailable},
		{"throttled", respond(http.StatusTooManyRequests, ""), connector.ErrThrottled, connector.ErrThrottled},
		{"unavailable", respond(http.StatusServiceUnavailable, ""), connector.ErrUnavailable, connector.ErrUnavailable},
		{"internal error", respond(http.StatusInternalServerError, ""), connector.ErrOutcomeUnknown, connector.ErrUnavailable},
		{"bad gateway", respond(http.StatusBadGateway, ""), connector.ErrOutcomeUnknown, connector.ErrUnavailable},
		{"response lost", dropConnection, connector.ErrOutcomeUnknown, connector.ErrUnavailable},
		{"response truncated", truncateBody, connector.ErrOutcomeUnknown, connector.ErrUnavailable},
		{"response unreadable", respond(http.StatusOK, "<html>"), connector.ErrOutcomeUnknown, connector.ErrUnavailable},
		{"timeout", hang, connector.ErrOutcomeUnknown, connector.ErrUnavailable},
		{"absent", respond(http.StatusNotFound, ""), connector.ErrNotFound, connector.ErrNotFound},
		{"conflict unreadable", respond(http.StatusConflict, "<html>"), connector.ErrUnavailable, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			client := newClient(t, server.URL)
			_, err := client.Put(t.Context(), "a", 1, json.RawMessage(`{}`))
			require.ErrorIs(t, err, c.put)
			requireOnly(t, err, c.put)
			if c.get != nil {
				_, err = client.Get(t.Context(), "a")
				require.ErrorIs(t, err, c.get)
				requireOnly(t, err, c.get)
			}
		})
	}
}

// requireOnly checks that an error matches no other error of the store, and that it names step and peer.
func requireOnly(t *testing.T, err, want error) {
	t.Helper()
	for _, other := range []error{
		connector.ErrThrottled, connector.ErrUnavailable, connector.ErrOutcomeUnknown, connector.ErrNotFound,
	} {
		if other != want {
			require.NotErrorIs(t, err, other)
		}
	}
	var annotated *annotator.Error
	require.ErrorAs(t, err, &annotated)
	require.NotEmpty(t, annotated.Step)
	require.NotEmpty(t, annotated.Peer)
}

// Guards against reporting an unknown outcome after a refused connection, on which nothing was sent.
func TestRefusedConnectionHasNoEffect(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := socket.Addr().String()
	require.NoError(t, socket.Close())
	client := newClient(t, "http://"+address)
	_, err = client.Put(t.Context(), "a", 0, json.RawMessage(`{}`))
	require.ErrorIs(t, err, connector.ErrUnavailable)
	requireOnly(t, err, connector.ErrUnavailable)
	require.ErrorIs(t, client.Delete(t.Context(), "a", 1), connector.ErrUnavailable)
}

// Guards against reporting a write as without effect when its caller cancels it after it was sent.
func TestCancelledWriteHasUnknownOutcome(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		hang(w, r)
	}))
	defer server.Close()
	client, err := storeconnector.New(storeconnector.Config{BaseURL: server.URL})
	require.NoError(t, err)
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	calls := grouper.NewGroup(1)
	var result error
	calls.Go(func() { _, result = client.Put(ctx, "a", 0, json.RawMessage(`{}`)) })
	<-arrived
	cancel()
	calls.Wait()
	err = result
	require.ErrorIs(t, err, connector.ErrOutcomeUnknown)
	require.ErrorIs(t, err, context.Canceled)
	_, err = client.Put(ctx, "a", 0, json.RawMessage(`{}`))
	require.NotErrorIs(t, err, connector.ErrOutcomeUnknown, "a call whose context has ended sends nothing")
}

// Guards against a conflict without the current object, from which edits and leases learn which write succeeded.
func TestConflictCarriesCurrentObject(t *testing.T) {
	body := `{"key":"x y/z","version":7,"revision":9,"value":{"holder":"h"}}`
	var path, match string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path, match = r.URL.EscapedPath(), r.Header.Get("If-Match")
		respond(http.StatusConflict, body)(w, r)
	}))
	defer server.Close()
	_, err := newClient(t, server.URL).Put(t.Context(), "x y/z", 3, json.RawMessage(`{}`))
	conflict, ok := connector.AsConflict(err)
	require.True(t, ok)
	require.Equal(t, int64(7), conflict.Current.Version)
	require.JSONEq(t, `{"holder":"h"}`, string(conflict.Current.Value))
	require.Equal(t, "/objects/x%20y/z", path)
	require.Equal(t, "3", match)
}

// Guards against transferring an unchanged list of hosts again, and against losing the list after a response of 304.
func TestUnchangedHostsAreNotTransferred(t *testing.T) {
	transfers := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-None-Match") == `"4"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		transfers++
		w.Header().Set("ETag", `"4"`)
		_ = json.NewEncoder(w).Encode(codec.HostList{Revision: 4, Hosts: []codec.ListedHost{{ID: "u"}}})
	}))
	defer server.Close()
	client := newClient(t, server.URL)
	for range 3 {
		list, err := client.Hosts(t.Context())
		require.NoError(t, err)
		require.Len(t, list.Hosts, 1)
	}
	require.Equal(t, 1, transfers)
}
