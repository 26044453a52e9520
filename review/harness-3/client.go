package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a client saw of one attempt.
type answer struct {
	Status int
	Body   string
	Header http.Header
	Err    error
}

// transport opens a new connection for each attempt, which a client allows one second to be established.
func newTransport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true}
}

// call sends one attempt on a new connection.
func call(h *host, method, path, id string, deadline time.Duration, header map[string]string, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, strings.NewReader(body))
	must(err)
	request.Host = hostName
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := newTransport()
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{Status: response.StatusCode, Body: string(text), Header: response.Header, Err: err}
}

// retryAfter returns the Retry-After of an answer, or a short pause.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 100 * time.Millisecond
	}
	return time.Duration(seconds * float64(time.Second))
}

// streamClient reads one stream over several attempts.
type streamClient struct {
	path string

	mu sync.Mutex
	// first is the id of the attempt that brought the first event; texts holds the data of the events in order.
	first    string
	texts    []string
	complete bool
	gap      bool
	// events is the number of events of the whole stream.
	events int
}

// attempt requests the stream, or takes it up after the events that the client has, and reads until the stream ends or ctx does.
func (s *streamClient) attempt(ctx context.Context, h *host, id string, deadline time.Duration) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front+s.path, strings.NewReader("prompt"))
	must(err)
	request.Host = hostName
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Count", "20,400")
	request.Header.Set("Prompt-Prefix", "a1:20")
	s.mu.Lock()
	if len(s.texts) > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(len(s.texts)))
		request.Header.Set("Resumes", s.first)
	}
	s.mu.Unlock()
	transport := newTransport()
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return answer{Status: response.StatusCode, Header: response.Header, Body: string(text)}
	}
	err = s.read(response.Body, id)
	return answer{Status: response.StatusCode, Header: response.Header, Err: err}
}

func (s *streamClient) read(body io.Reader, id string) error {
	lines := bufio.NewScanner(body)
	number := 0
	for lines.Scan() {
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(text)
		}
		text, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		s.mu.Lock()
		if len(s.texts) == 0 {
			s.first = id
		}
		s.gap = s.gap || number != len(s.texts)+1
		s.texts = append(s.texts, text)
		s.complete = len(s.texts) == s.events
		s.mu.Unlock()
	}
	return lines.Err()
}

func (s *streamClient) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.texts)
}

// softwares returns the software versions whose events the client holds.
func (s *streamClient) softwares() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[string]bool)
	for _, text := range s.texts {
		name, _, _ := strings.Cut(text, " ")
		found[name] = true
	}
	return found
}
