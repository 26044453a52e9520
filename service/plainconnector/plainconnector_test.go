package plainconnector_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/service/connector"
	"celerygap.example/service/plainconnector"
)

// call runs one attempt and also returns how often OnSent ran.
func call(t *testing.T, client *plainconnector.Client, address string, change func(*connector.PlainCall)) (connector.PlainResponse, int32, error) {
	t.Helper()
	var sent atomic.Int32
	c := connector.PlainCall{
		Upstream: connector.Upstream{ID: "u", Address: address}, Attempt: "a", Method: http.MethodGet, Path: "/x",
		OnSent: func() { sent.Add(1) },
	}
	if change != nil {
		change(&c)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := client.Do(ctx, c)
	return response, sent.Load(), err
}

func serve(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newClient(t *testing.T) *plainconnector.Client {
	client := plainconnector.New(plainconnector.Config{MaxBody: 1000})
	t.Cleanup(client.Close)
	return client
}

// rawServer writes the same bytes to each connection and closes it.
func rawServer(t *testing.T, response string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	group := grouper.NewGroup(1)
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write([]byte(response))
			_ = conn.Close()
		}
	})
	return listener.Addr().String()
}

// Guards against misclassified failures. Only a refused connection and the two refusals with X-Not-Started show that
// nothing ran; if another failure were classified as one of them, a request that has run could be sent again.
func TestFailuresAreClassified(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_ = closed.Close()
	cases := []struct {
		name    string
		address string
		failure connector.Failure
		sent    int32
	}{
		{"refused connection", closed.Addr().String(), connector.FailureConnectFailed, 0},
		{"not started", rawServer(t, "HTTP/1.1 503 x\r\nX-Not-Started: true\r\nContent-Length: 0\r\n\r\n"), connector.FailureNotStarted, 1},
		{"leaving", rawServer(t, "HTTP/1.1 503 x\r\nX-Not-Started: true\r\nX-Leaving: true\r\nContent-Length: 0\r\n\r\n"), connector.FailureLeaving, 1},
		{"no response", rawServer(t, ""), connector.FailureConnectionLost, 1},
		{"other attempt", rawServer(t, "HTTP/1.1 200 x\r\nX-Attempt-Id: b\r\nContent-Length: 0\r\n\r\n"), connector.FailureBindingMismatch, 1},
		{"truncated body", rawServer(t, "HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nabc"), connector.FailureConnectionLost, 1},
		{"body without length", rawServer(t, "HTTP/1.1 200 x\r\n\r\nabc"), connector.FailureTruncated, 1},
		{"large body", rawServer(t, "HTTP/1.1 200 x\r\nContent-Length: 1001\r\n\r\n"+strings.Repeat("a", 1001)), connector.FailureTooLarge, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, sent, err := call(t, newClient(t), c.address, nil)
			require.Error(t, err)
			require.Equal(t, c.failure, connector.FailureOf(err))
			require.Equal(t, c.sent, sent)
		})
	}
}

// Guards against requests that http.Transport repeats on its own after a reused connection was lost.
func TestTransportNeverRepeats(t *testing.T) {
	var requests atomic.Int32
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, r.Header.Get("Idempotency-Key"))
	})
	client := newClient(t)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		for _, body := range []string{"", "body"} {
			change := func(c *connector.PlainCall) {
				c.Method, c.Body = method, []byte(body)
				c.Header = http.Header{"Idempotency-Key": {"k"}}
			}
			requests.Store(0)
			response, _, err := call(t, client, address, change)
			require.NoError(t, err)
			require.Equal(t, "k", string(response.Body))
			_, _, err = call(t, client, address, change)
			require.Equal(t, connector.FailureConnectionLost, connector.FailureOf(err), "%s %q", method, body)
			require.Equal(t, int32(2), requests.Load(), "%s %q", method, body)
		}
	}
}

// Guards against forwarding headers that apply to one connection only, and against a missing attempt id or deadline.
func TestHeaders(t *testing.T) {
	deadline := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Keep-Alive", "x")
		_, _ = fmt.Fprint(w, r.Header.Get("X-Request-Deadline"), r.Header.Get("X-Hop"), r.Header.Get("Traceparent"), r.URL.String())
	})
	response, sent, err := call(t, newClient(t), address, func(c *connector.PlainCall) {
		c.Deadline, c.Query = deadline, "q=1"
		c.Header = http.Header{"Connection": {"x-hop"}, "X-Hop": {"hop"}, "Traceparent": {"trace"}}
	})
	require.NoError(t, err)
	require.Equal(t, "2030-01-02T03:04:05Ztrace/x?q=1", string(response.Body))
	require.Empty(t, response.Header.Get("Keep-Alive"))
	require.Equal(t, int32(1), sent)
}

// Guards against reusing the connection of a cancelled attempt, whose late response would reach another attempt.
func TestConnectionOfCancelledAttemptIsNotReused(t *testing.T) {
	var mu sync.Mutex
	var remotes []string
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		remotes = append(remotes, r.RemoteAddr)
		first := len(remotes) == 1
		mu.Unlock()
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		if first {
			<-r.Context().Done()
		}
	})
	client := newClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, connector.PlainCall{Upstream: connector.Upstream{Address: address}, Method: http.MethodGet})
	require.Equal(t, connector.FailureCancelled, connector.FailureOf(err))
	_, _, err = call(t, client, address, nil)
	require.NoError(t, err)
	mu.Lock()
	defer mu.Unlock()
	require.Len(t, remotes, 2)
	require.NotEqual(t, remotes[0], remotes[1])
}
