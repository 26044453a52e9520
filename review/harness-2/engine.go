package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// engine is a stand-in for a model engine or a plain service. It serves one request at a time on a connection.
type engine struct {
	id, service, model string
	slots              int
	born               int64
	version            atomic.Int64
	orders             atomic.Int64
	listener           net.Listener
	// serve answers a request that is neither a report nor an order. It returns false to end the connection.
	serve func(e *engine, x *exchange) bool
}

// exchange is one request at an engine. kept belongs to its connection.
type exchange struct {
	request *http.Request
	id      string
	body    []byte
	conn    net.Conn
	kept    *connState
}

// connState is the state of one connection to an engine.
type connState struct {
	// extra holds the bytes of an extra answer, which is sent where the next answer is expected.
	extra []byte
}

func newEngine(id, service, model string, serve func(*engine, *exchange) bool) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, model: model, slots: 8, born: time.Now().UnixMilli(), listener: listener, serve: serve}
	e.version.Store(1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serveConn(conn)
		}
	}()
	return e, nil
}

// entry is what the engine writes about itself to the store.
func (e *engine) entry(state string) map[string]any {
	entry := map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": e.slots, "state": state,
		"cold_left_ms": 0, "seq": e.orders.Load(), "born": e.born,
	}
	if e.model != "" {
		entry["stage"] = "both"
		entry["models"] = []any{map[string]any{"name": e.model, "version": e.version.Load(), "adapters": []any{}}}
	}
	return entry
}

func (e *engine) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	kept := &connState{}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		x := &exchange{request: request, id: request.Header.Get("Request-Id"), body: body, conn: conn, kept: kept}
		if kept.extra != nil {
			extra := kept.extra
			kept.extra = nil
			if _, err := conn.Write(extra); err != nil {
				return
			}
		}
		if !e.handle(x) {
			return
		}
	}
}

func (e *engine) handle(x *exchange) bool {
	if expected := x.request.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		return x.write(421, []string{"Instance-Id: " + e.id}, "")
	}
	switch x.request.URL.Path {
	case "/api/report":
		text, _ := json.Marshal(map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": e.model, "version": e.version.Load(), "adapters": []any{}}}, "busy": false,
			"seq": e.orders.Load(), "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 100000, "handles": 0, "born": e.born, "state": "ready", "runs": []any{},
		})
		return x.write(200, []string{"Content-Type: application/json"}, string(text))
	case "/api/order":
		var order struct {
			Version  int64  `json:"version"`
			Expected *int64 `json:"expected"`
		}
		_ = json.Unmarshal(x.body, &order)
		if order.Expected != nil && *order.Expected != e.orders.Load() {
			return x.write(409, nil, "")
		}
		e.orders.Add(1)
		e.version.Store(order.Version)
		return x.write(202, nil, "")
	case "/healthz":
		return x.write(200, []string{"Instance-Id: " + e.id}, "")
	}
	return e.serve(e, x)
}

// answerText returns an answer with a length.
func (x *exchange) answerText(status int, headers []string, body string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if x.id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", x.id)
	}
	for _, header := range headers {
		fmt.Fprintf(&b, "%s\r\n", header)
	}
	b.WriteString("\r\n" + body)
	return []byte(b.String())
}

func (x *exchange) write(status int, headers []string, body string) bool {
	_, err := x.conn.Write(x.answerText(status, headers, body))
	return err == nil
}

// stamp returns the signature of an answer.
func stamp(e *engine, id string) string { return "Server-Stamp: " + e.id + "." + id }

// generate sends the events of a text from the one after Last-Event-Id on, and returns whether the client read all of it.
func (e *engine) generate(x *exchange, events int, interval time.Duration) bool {
	after, _ := strconv.Atoi(x.request.Header.Get("Last-Event-Id"))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: %s\r\n%s\r\nWeight-Versions: %d\r\n\r\n",
		x.id, stamp(e, x.id), e.version.Load())
	if _, err := io.WriteString(x.conn, head); err != nil {
		return false
	}
	for n := after + 1; n <= events; n++ {
		time.Sleep(interval)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventText(x.id, n))
		if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	return err == nil
}

// eventText is the data of an event; it depends only on the request.
func eventText(id string, number int) string { return fmt.Sprintf("%s/%d", id, number) }

// wholeText is the text of an item with that many events.
func wholeText(id string, events int) string {
	lines := make([]string, 0, events)
	for n := 1; n <= events; n++ {
		lines = append(lines, eventText(id, n))
	}
	return strings.Join(lines, "\n")
}
