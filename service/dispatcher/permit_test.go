package dispatcher_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/service/connector"
)

// Guards against a permit that stays open after a request whose outcome is unknown: repeats of its key would wait for a
// response until their deadline.
func TestUnknownOutcomeCompletesThePermit(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(upstream.Close)
	d := newFixture(t, addressOf(upstream))
	_, err := d.Call(context.Background(), connector.PlainRequest{
		Entry: "s", Method: http.MethodPost, Path: "/", IdempotencyKey: "k", Deadline: time.Now().Add(5 * time.Second),
	})
	require.Error(t, err)
	require.Eventually(t, func() bool {
		d.permits.mu.Lock()
		defer d.permits.mu.Unlock()
		return len(d.permits.completions) == 1
	}, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, codec.PermitCompletion{From: "h", Entry: "s", Key: "k", PermitID: "p"}, d.permits.completions[0])
}
