package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/meter"
	"celerygap.example/service/connector"
	"celerygap.example/service/drainer"
	"celerygap.example/service/reserver"
)

// Rollouts accepts the declarations of steps and serves pages of their samples.
type Rollouts interface {
	Declare(ctx context.Context, trainer identifier.EntryName, declaration codec.StepDeclaration) error
	Page(ctx context.Context, request codec.FetchPage, wait time.Duration) (codec.SamplePage, error)
}

// Edits applies catalogue edits.
type Edits interface {
	Apply(ctx context.Context, request codec.EditRequest) (codec.EditResult, error)
}

// Screens provides the snapshots that this host's screens show.
type Screens interface {
	View(now time.Time) View
}

// View is what a screen shows at one time.
type View struct {
	Now   time.Time       `json:"now"`
	Shown *codec.Snapshot `json:"shown,omitempty"`
	// Pending is the next snapshot, which is not shown before its ShowAt.
	Pending *codec.Snapshot `json:"pending,omitempty"`
	// AgeMS is the age of the shown snapshot in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Fleet reports the catalogue revision that each known host has in effect.
type Fleet interface {
	InEffect() []codec.HostInForce
}

// Config configures a server.
type Config struct {
	Generator connector.Generator
	Plain     connector.PlainCaller
	Rollouts  Rollouts
	Versions  connector.WeightVersions
	Catalogue connector.Catalogue
	Members   connector.Members
	Edits     Edits
	Screens   Screens
	Fleet     Fleet
	// Ready reports whether this host holds a current catalogue.
	Ready     func() bool
	Meter     *meter.Meter
	Log       *logger.Logger
	BodyLimit identifier.Bytes
	// Memory bounds the bodies of requests together; nil means no limit.
	Memory *reserver.Account
}

// Server is the HTTP interface of one host.
type Server struct {
	config   Config
	echo     *echo.Echo
	drain    *drainer.Drainer
	inFlight atomic.Int64
}

// New returns a server.
func New(config Config) *Server {
	s := &Server{config: config, echo: echo.New(), drain: drainer.New()}
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.HTTPErrorHandler = s.writeError
	s.routes()
	return s
}

// Handler returns the HTTP handler of all routes.
func (s *Server) Handler() http.Handler { return s.echo }

// Drain turns readiness off, so that the load balancer stops sending requests. All requests must be answered by the given time.
func (s *Server) Drain(until time.Time) { s.drain.Drain(until) }

// Refuse refuses the requests that arrive from now on.
func (s *Server) Refuse() { s.drain.Refuse() }

// End ends the requests that are still being served with refusals that say whether they may have run.
func (s *Server) End() { s.drain.End() }

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// WaitIdle returns nil once no request is being served, which it checks at each tick, or the context's error.
func (s *Server) WaitIdle(ctx context.Context, ticks <-chan time.Time) error {
	for s.InFlight() > 0 {
		select {
		case <-ctx.Done():
			asserter.Check(asserter.ShutdownCutsNoRequest, false, "%d requests were still running at the drain timeout", s.InFlight())
			return ctx.Err()
		case <-ticks:
		}
	}
	asserter.Check(asserter.ShutdownCutsNoRequest, true, "drained")
	return nil
}

func (s *Server) routes() {
	e := s.echo
	e.GET("/healthz", s.health)
	e.GET("/readyz", s.ready)
	e.GET("/metrics", echo.WrapHandler(s.config.Meter.Handler()))

	work := e.Group("", s.count, s.requireCatalogue)
	work.GET("/v1/models", s.listModels)
	work.POST("/v1/chat/completions", s.chatCompletion)
	work.POST("/v1/completions", s.completion)
	work.Any("/services/:entry", s.plainCall)
	work.Any("/services/:entry/*", s.plainCall)
	work.PUT("/v1/trainers/:trainer/steps/:step", s.declareStep)
	work.GET("/v1/trainers/:trainer/steps/:step/samples", s.samplePage)
	work.PUT("/v1/trainers/:trainer/weights/:version", s.announceWeights)

	operator := e.Group("/v1/operator")
	operator.GET("/catalogue", s.getCatalogue)
	operator.PUT("/catalogue", s.putCatalogue)
	operator.GET("/status", s.getStatus)
	operator.GET("/history", s.getHistory)

	e.GET("/screens", s.screenPage)
	e.GET("/v1/screens/view", s.screenView)
}

// count counts the requests in flight and makes callers of a draining host close their connections.
func (s *Server) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		if s.drain.Draining() {
			// A connection that stays open would bring further requests to a host that is stopping.
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		if err := s.drain.CheckLate(); err != nil {
			return err
		}
		ctx, release := s.drain.Context(c.Request().Context())
		defer release()
		ctx, memory := reserver.WithHolder(ctx)
		defer memory.Release()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}

func (s *Server) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

func (s *Server) ready(c echo.Context) error {
	if s.drain.Draining() {
		return c.String(http.StatusServiceUnavailable, "draining\n")
	}
	if !s.config.Ready() {
		return c.String(http.StatusServiceUnavailable, "no current catalogue\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
