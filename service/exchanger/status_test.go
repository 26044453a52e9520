package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/service/connector"
	"celerygap.example/service/exchanger"
)

// Guards against an answer whose status is no final one and that is taken for one, and against a further request on its connection.
func TestOddStatusIsNoResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	statuses := []string{"000", "099", "101", "600", "999", "200"}
	requests := make([]int, len(statuses))
	server := grouper.NewGroup(-1)
	server.Go(func() {
		for i, status := range statuses {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				requests[i]++
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\nok", status)
			}
			_ = conn.Close()
		}
	})
	x := exchanger.New(exchanger.Config{})
	for _, status := range statuses {
		request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/", http.NoBody)
		require.NoError(t, err)
		checked := false
		response, err := x.Do(request, nil, exchanger.Options{Check: func(*http.Response) error {
			checked = true
			return nil
		}})
		if status == "200" {
			require.NoError(t, err)
			_ = response.Body.Close()
			continue
		}
		require.Error(t, err, status)
		require.False(t, checked, "status %s was taken for a response", status)
		require.Equal(t, connector.FailureConnectionLost, connector.FailureOf(err), "status %s", status)
	}
	x.Close()
	server.Wait()
	require.Equal(t, []int{1, 1, 1, 1, 1, 1}, requests)
}
