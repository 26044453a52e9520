package responder

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/identifier"
	"celerygap.example/standin/listener"
)

const (
	// DefaultCrashMarker is the default text in a body that crashes the service.
	DefaultCrashMarker = "[[crash-service]]"
	// DefaultRestartDelay is the default time from a crash to the restart.
	DefaultRestartDelay = time.Second
	// maxBody limits the body of a request.
	maxBody identifier.Bytes = 16 << 20

	attemptHeader = "X-Attempt-Id"
	keyHeader     = "Idempotency-Key"
)

// Config configures a plain service; zero values mean the defaults.
type Config struct {
	ID          identifier.UpstreamID
	Address     string
	AddressFile string
	// Delay is how long one run takes.
	Delay        time.Duration
	CrashMarker  string
	RestartDelay time.Duration
	// OnCrash, if set, is called at a crash before the connections are closed. A program that exits in it does not
	// restart the service.
	OnCrash func()
}

// Faults selects the faults that the service injects; each count is decremented when its fault occurs.
type Faults struct {
	// CloseBefore is how many of the next requests have their connections closed without being run.
	CloseBefore int `json:"close_before"`
	// CloseAfter is how many of the next requests have their connections closed after they ran.
	CloseAfter int `json:"close_after"`
	// Truncate is how many of the next requests have their connections closed in the middle of the response.
	Truncate int `json:"truncate"`
	// Refuse is how many of the next requests are refused before they run.
	Refuse int `json:"refuse"`
	// Cross is how many of the next responses echo a wrong attempt id.
	Cross int `json:"cross"`
}

// Record counts the runs in total, by body, by idempotency key and by attempt id, and lists the attempts refused.
type Record struct {
	Runs     int64            `json:"runs"`
	Bodies   map[string]int64 `json:"bodies"`
	Keys     map[string]int64 `json:"keys"`
	Attempts map[string]int64 `json:"attempts"`
	Refused  []string         `json:"refused"`
	Restarts int              `json:"restarts"`
}

// Response is the body of a response to a request that ran.
type Response struct {
	Service identifier.UpstreamID `json:"service"`
	Run     int64                 `json:"run"`
	Method  string                `json:"method"`
	Path    string                `json:"path"`
	Query   string                `json:"query"`
	// Digest is the digest of the request's body, by which a caller checks that the response belongs to its request.
	Digest string `json:"digest"`
}

// Service is one stand-in plain service.
type Service struct {
	config Config
	server *listener.Listener

	mu      sync.Mutex
	leaving bool
	faults  Faults
	record  Record
}

// New binds the address of a plain service.
func New(config Config) (*Service, error) {
	if config.CrashMarker == "" {
		config.CrashMarker = DefaultCrashMarker
	}
	if config.RestartDelay <= 0 {
		config.RestartDelay = DefaultRestartDelay
	}
	s := &Service{config: config, record: Record{
		Bodies: make(map[string]int64), Keys: make(map[string]int64), Attempts: make(map[string]int64),
	}}
	server, err := listener.Open(listener.Config{
		Address: config.Address, AddressFile: config.AddressFile, Handler: s.routes(),
	})
	if err != nil {
		return nil, annotator.Wrap("start plain service", "self", err)
	}
	s.server = server
	if config.ID == "" {
		s.config.ID = identifier.UpstreamID(server.Address())
	}
	return s, nil
}

// Address returns the listening address.
func (s *Service) Address() string { return s.server.Address() }

// Run serves until the context ends, then finishes the running requests; it starts again after each crash.
func (s *Service) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.Leave)
	defer stop()
	for {
		if err := s.server.Run(ctx); err != nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.config.RestartDelay):
		}
		if err := s.server.Reopen(ctx); err != nil {
			return err
		}
	}
}

// Leave makes the service refuse new requests; running ones finish.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Crash calls OnCrash and closes all connections without draining; Run restarts the service after RestartDelay.
func (s *Service) Crash() {
	if s.config.OnCrash != nil {
		s.config.OnCrash()
	}
	s.mu.Lock()
	s.record.Restarts++
	s.mu.Unlock()
	s.server.Abort()
}

// Record returns a copy of the counts.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.record
	out.Bodies = maps.Clone(out.Bodies)
	out.Keys = maps.Clone(out.Keys)
	out.Attempts = maps.Clone(out.Attempts)
	out.Refused = append([]string{}, out.Refused...)
	return out
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Service) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/admin/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Record()) })
	e.PUT("/admin/faults", func(c echo.Context) error {
		var faults Faults
		if err := c.Bind(&faults); err != nil {
			return err
		}
		s.SetFaults(faults)
		return c.NoContent(http.StatusNoContent)
	})
	e.POST("/admin/crash", func(echo.Context) error {
		s.Crash()
		return nil
	})
	e.POST("/admin/leave", func(c echo.Context) error {
		s.Leave()
		return c.NoContent(http.StatusNoContent)
	})
	e.Any("/*", s.serve)
	return e
}

// serve runs one request and injects the faults that are set.
func (s *Service) serve(c echo.Context) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, int64(maxBody)))
	if err != nil {
		return err
	}
	attempt := c.Request().Header.Get(attemptHeader)
	if s.shouldRefuse(attempt) {
		return s.refuse(c)
	}
	if s.takeFault(func(f *Faults) *int { return &f.CloseBefore }) {
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(string(body), s.config.CrashMarker) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	run := s.countRun(body, c.Request().Header.Get(keyHeader), attempt)
	// A run continues after its caller has disconnected, so the delay ignores the request's context.
	time.Sleep(s.config.Delay)
	if s.takeFault(func(f *Faults) *int { return &f.CloseAfter }) {
		panic(http.ErrAbortHandler)
	}
	return s.respond(c, body, attempt, run)
}

func (s *Service) respond(c echo.Context, body []byte, attempt string, run int64) error {
	if s.takeFault(func(f *Faults) *int { return &f.Cross }) {
		attempt += "-crossed"
	}
	c.Response().Header().Set(attemptHeader, attempt)
	response := Response{
		Service: s.config.ID, Run: run, Method: c.Request().Method, Path: c.Request().URL.Path,
		Query: c.Request().URL.RawQuery, Digest: Digest(body),
	}
	if s.takeFault(func(f *Faults) *int { return &f.Truncate }) {
		c.Response().Header().Set("Content-Length", strconv.Itoa(len(response.Digest)*2))
		_ = c.String(http.StatusOK, response.Digest)
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	return c.JSON(http.StatusOK, response)
}

// Digest returns the digest of a request body as Response carries it, in hexadecimal.
func Digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// shouldRefuse reports whether a request is refused, and if so records its attempt id.
func (s *Service) shouldRefuse(attempt string) bool {
	refused := s.takeFault(func(f *Faults) *int { return &f.Refuse })
	s.mu.Lock()
	defer s.mu.Unlock()
	refused = refused || s.leaving
	if refused {
		s.record.Refused = append(s.record.Refused, attempt)
	}
	return refused
}

func (s *Service) refuse(c echo.Context) error {
	c.Response().Header().Set("X-Not-Started", "true")
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		c.Response().Header().Set("X-Leaving", "true")
	}
	return c.NoContent(http.StatusServiceUnavailable)
}

// takeFault decrements the count of a fault and reports whether the fault applies.
func (s *Service) takeFault(fault func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := fault(&s.faults)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

func (s *Service) countRun(body []byte, key, attempt string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Runs++
	s.record.Bodies[string(body)]++
	s.record.Attempts[attempt]++
	if key != "" {
		s.record.Keys[key]++
	}
	return s.record.Runs
}
