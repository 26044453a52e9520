package acceptor_test

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/acceptor"
	"celerygap.example/service/reserver"
)

// serve runs a server whose handler echoes the bodies of requests, except for what answer answers.
func serve(t *testing.T, config acceptor.Config, answer func(w http.ResponseWriter, r *http.Request) bool) (*acceptor.Listener, string) {
	config.Name, config.Address, config.Log = acceptor.Callers, "127.0.0.1:0", logger.Discard()
	if config.Connections == 0 {
		config.Connections = 16
	}
	l, err := acceptor.Listen(config)
	require.NoError(t, err)
	server := acceptor.NewServer(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if answer != nil && answer(w, r) {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	}))
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = server.Serve(l) })
	t.Cleanup(func() {
		_ = server.Close()
		group.Wait()
	})
	return l, l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

// receive returns the status and the body of the next response.
func receive(t *testing.T, reader *bufio.Reader) (int, string) {
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// Guards against requests that are lost, joined or changed because their bytes arrive in other pieces than they were sent in.
func TestRequestsAreServedHoweverTheirBytesArrive(t *testing.T) {
	chunked := "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	long := "GET /l HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 9000) + "\r\n\r\n"
	large := strings.Repeat("y", 100_000)
	requests := get("/a") + post("/b", "one\r\n\r\n") + chunked + long + post("/d", large) + "\r\n\r\n" + get("/e") + get("/f")
	want := []string{"/a ", "/b one\r\n\r\n", "/c abc", "/l ", "/d " + large, "/e ", "/f "}
	for _, piece := range []int{1, 7, 100, 4096, 5000, len(requests)} {
		_, address := serve(t, acceptor.Config{}, nil)
		conn, reader := dial(t, address)
		group := grouper.NewGroup(-1)
		group.Go(func() {
			for rest := requests; rest != ""; {
				n := min(piece, len(rest))
				_, _ = io.WriteString(conn, rest[:n])
				rest = rest[n:]
			}
		})
		for _, body := range want {
			status, got := receive(t, reader)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, body, got, "in pieces of %d", piece)
		}
		group.Wait()
	}
}

// Guards against clients that keep others out by connections on which no request runs, and against closing one on which one does.
func TestConnectionsWithoutARequestYield(t *testing.T) {
	started, finish := make(chan struct{}, 8), make(chan struct{})
	l, address := serve(t, acceptor.Config{Connections: 4}, func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/run" {
			started <- struct{}{}
			<-finish
		}
		return false
	})
	conn, reader := dial(t, address)
	send(t, conn, get("/run"))
	<-started
	silent, silentReader := dial(t, address)
	half, halfReader := dial(t, address)
	send(t, half, "GET /half HT")
	idle, idleReader := dial(t, address)
	send(t, idle, get("/idle"))
	_, _ = receive(t, idleReader)
	require.Eventually(t, func() bool {
		counts := l.Counts()
		return counts["running"] == 1 && counts["silent"] == 1 && counts["partial"] == 1 && counts["idle"] == 1
	}, 5*time.Second, time.Millisecond)
	for _, yielding := range []*bufio.Reader{silentReader, halfReader, idleReader} {
		next, nextReader := dial(t, address)
		send(t, next, get("/run"))
		<-started
		_, err := yielding.ReadByte()
		require.Error(t, err, "the connection was not closed")
		defer func() {
			_, body := receive(t, nextReader)
			require.Equal(t, "/run ", body)
		}()
	}
	_, _ = silent, idle
	refused, refusedReader := dial(t, address)
	send(t, refused, get("/refused"))
	response, err := http.ReadResponse(refusedReader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), `"outcome":"not_run"`)
	close(finish)
	_, body := receive(t, reader)
	require.Equal(t, "/run ", body)
}

// Guards against heads that are parsed although they exceed the limit or there is no memory for them, and against refusals that their
// clients do not get.
func TestHeadsBeyondTheLimitsAreRefused(t *testing.T) {
	limits := func() acceptor.Limits { return acceptor.Limits{HeadBytes: 8 << 10, HeadTime: 5 * time.Second} }
	names := func(size int) string {
		var lines strings.Builder
		for i := 0; lines.Len() < size; i++ {
			_, _ = fmt.Fprintf(&lines, "x%d:\r\n", i)
		}
		return "GET /x HTTP/1.1\r\nHost: h\r\n" + lines.String()
	}
	heads := reserver.New(reserver.Config{Limit: 1 << 20, MaxWait: 10 * time.Millisecond})
	_, address := serve(t, acceptor.Config{Limits: limits, Heads: heads}, nil)
	for _, c := range []struct {
		text string
		want int
	}{
		{names(7000) + "\r\n", http.StatusOK},
		{names(20000), http.StatusRequestHeaderFieldsTooLarge},
		{"GET /" + strings.Repeat("x", 20000), http.StatusRequestHeaderFieldsTooLarge},
		{"GET /x HTTP/1.1\r\nX: " + strings.Repeat("x", 20000) + "\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("x", 50000), http.StatusRequestHeaderFieldsTooLarge},
	} {
		conn, reader := dial(t, address)
		send(t, conn, c.text)
		status, _ := receive(t, reader)
		require.Equal(t, c.want, status)
		_ = conn.Close()
	}
	require.Eventually(t, func() bool { return heads.Used() == 0 }, 5*time.Second, time.Millisecond, "memory of heads is not released")
	taken := heads.Charge(900 << 10)
	conn, reader := dial(t, address)
	send(t, conn, names(7000)+"\r\n")
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	conn, reader = dial(t, address)
	send(t, conn, get("/small"))
	status, _ := receive(t, reader)
	require.Equal(t, http.StatusOK, status, "a small head needs no memory beyond that of its connection")
	taken.Release()
}

// Guards against clients that hold a connection without a limit: with half a head, an unfinished body or an answer that they do not read.
func TestSlowClientsAreEnded(t *testing.T) {
	limits := func() acceptor.Limits {
		return acceptor.Limits{HeadTime: time.Millisecond, IdleTime: 300 * time.Millisecond}
	}
	var failed atomic.Int64
	l, address := serve(t, acceptor.Config{Limits: limits}, func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path != "/large" {
			return false
		}
		part := make([]byte, 1<<20)
		for range 64 {
			if _, err := w.Write(part); err != nil {
				failed.Add(1)
				return true
			}
		}
		return true
	})
	silent, _ := dial(t, address)
	half, _ := dial(t, address)
	send(t, half, "GET /half HTTP/1.1\r\n")
	body, bodyReader := dial(t, address)
	send(t, body, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	unread, _ := dial(t, address)
	send(t, unread, get("/large"))
	status, _ := receive(t, bodyReader)
	require.Equal(t, http.StatusRequestTimeout, status)
	for _, conn := range []net.Conn{silent, half} {
		_, err := conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
	require.Eventually(t, func() bool { return failed.Load() == 1 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		total := int64(0)
		for _, count := range l.Counts() {
			total += count
		}
		return total == 0
	}, 5*time.Second, time.Millisecond, "connections are left over: %v", l.Counts())
}

// Guards against requests with slow bodies that hold the memory that others need.
func TestSlowestBodyIsShed(t *testing.T) {
	memory := reserver.New(reserver.Config{Limit: 64 << 10, MaxWait: 5 * time.Second})
	l, address := serve(t, acceptor.Config{}, func(w http.ResponseWriter, r *http.Request) bool {
		text, held, err := memory.ReadBody(r.Context(), r.Body, r.ContentLength, 64<<10)
		if err != nil {
			return true
		}
		defer held.Release()
		_, _ = w.Write(text)
		return true
	})
	memory.OnFull(l.ShedSlowBody)
	slow, slowReader := dial(t, address)
	send(t, slow, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\nx")
	require.Eventually(t, func() bool { return memory.Used() >= 50000 }, 5*time.Second, time.Millisecond)
	time.Sleep(1100 * time.Millisecond)
	conn, reader := dial(t, address)
	send(t, conn, post("/", strings.Repeat("x", 30000)))
	status, body := receive(t, reader)
	require.Equal(t, http.StatusOK, status)
	require.Len(t, body, 30000)
	_, err := slowReader.ReadByte()
	require.Error(t, err)
}

// Guards against limits of a former configuration that stay in effect for kept connections.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	var limit atomic.Int64
	limit.Store(32 << 10)
	_, address := serve(t, acceptor.Config{Limits: func() acceptor.Limits {
		return acceptor.Limits{HeadBytes: identifier.Bytes(limit.Load())}
	}}, nil)
	head := "GET /x HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n"
	conn, reader := dial(t, address)
	send(t, conn, head)
	status, _ := receive(t, reader)
	require.Equal(t, http.StatusOK, status)
	limit.Store(1 << 10)
	send(t, conn, get("/x"))
	_, _ = receive(t, reader)
	send(t, conn, head)
	status, _ = receive(t, reader)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
}

// Guards against connections between hosts that yield to new ones, and against others that stay.
func TestKeptConnectionsDoNotYield(t *testing.T) {
	l, err := acceptor.Listen(acceptor.Config{Name: acceptor.Peers, Address: "127.0.0.1:0", Connections: 2, Unframed: true})
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accept := func() (client, host net.Conn) {
		client, _ = dial(t, l.Addr().String())
		host, err := l.Accept()
		require.NoError(t, err)
		return client, host
	}
	kept, keptHost := accept()
	keptHost.(*acceptor.Conn).Keep()
	other, _ := accept()
	third, thirdHost := accept()
	_, err = other.Read(make([]byte, 1))
	require.Error(t, err)
	for client, host := range map[net.Conn]net.Conn{kept: keptHost, third: thirdHost} {
		send(t, client, "hello")
		text := make([]byte, 5)
		_, err := io.ReadFull(host, text)
		require.NoError(t, err)
		require.True(t, bytes.Equal(text, []byte("hello")))
	}
}

// Guards against listeners that together leave no descriptors for the connections that a host opens itself.
func TestSharesLeaveDescriptors(t *testing.T) {
	for _, descriptors := range []int{400, 1024, 4100, 8192, 1 << 20} {
		shares := acceptor.Divide(descriptors, 284<<20)
		usable := descriptors - 200
		// Each listener has some more for refusals.
		taken := 17*(shares.Callers+shares.Readiness+shares.Peers+shares.Metrics)/16 + 16
		require.GreaterOrEqual(t, usable-taken, shares.Callers, "%d descriptors: %+v", descriptors, shares)
	}
	require.Less(t, acceptor.Divide(8192, 184<<20).Callers, acceptor.Divide(8192, 0).Callers)
}

// Guards against limits that do not hold for secured connections, or that break them.
func TestLimitsHoldForSecuredConnections(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(certified.Close)
	limits := func() acceptor.Limits { return acceptor.Limits{HeadBytes: 4 << 10, IdleTime: 300 * time.Millisecond} }
	l, address := serve(t, acceptor.Config{TLS: &tls.Config{Certificates: certified.TLS.Certificates}, Limits: limits}, nil)
	client := certified.Client()
	response, err := client.Post("https://"+address+"/echo", "text/plain", strings.NewReader("body"))
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "/echo body", string(text))
	request, err := http.NewRequest(http.MethodGet, "https://"+address+"/", http.NoBody)
	require.NoError(t, err)
	request.Header.Set("X-Long", strings.Repeat("x", 10000))
	response, err = client.Do(request)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	// This client does not begin the handshake.
	silent, _ := dial(t, address)
	_, err = silent.Read(make([]byte, 1))
	require.Error(t, err)
	require.Eventually(t, func() bool { return l.Counts()["silent"] == 0 }, 5*time.Second, time.Millisecond)
}
