package scorer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"celerygap.example/lib/annotator"
	"celerygap.example/standin/listener"
)

const attemptHeader = "X-Attempt-Id"

// Config configures a scorer.
type Config struct {
	Address     string
	AddressFile string
	// Delay is how long the scoring of one sample takes.
	Delay time.Duration
}

// Request is the body of a scoring request.
type Request struct {
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// Response is the body of the response to a Request.
type Response struct {
	Reward float64 `json:"reward"`
}

// Scorer is a stand-in scoring service.
type Scorer struct {
	config Config
	server *listener.Listener
	scored atomic.Int64
}

// New binds the address of a scorer.
func New(config Config) (*Scorer, error) {
	s := &Scorer{config: config}
	server, err := listener.Open(listener.Config{
		Address: config.Address, AddressFile: config.AddressFile, Handler: s.routes(),
	})
	if err != nil {
		return nil, annotator.Wrap("start scorer", "self", err)
	}
	s.server = server
	return s, nil
}

// Address returns the listening address.
func (s *Scorer) Address() string { return s.server.Address() }

// Run serves until the context ends.
func (s *Scorer) Run(ctx context.Context) error { return s.server.Run(ctx) }

// Scored returns how many texts were scored.
func (s *Scorer) Scored() int64 { return s.scored.Load() }

// Reward returns the reward of a text: a deterministic number of at least 0 and less than 1.
func Reward(text string) float64 {
	return float64(xxhash.Sum64String(text)>>11) / (1 << 53)
}

func (s *Scorer) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/score", s.score)
	return e
}

func (s *Scorer) score(c echo.Context) error {
	var request Request
	if err := c.Bind(&request); err != nil {
		return err
	}
	time.Sleep(s.config.Delay)
	s.scored.Add(1)
	c.Response().Header().Set(attemptHeader, c.Request().Header.Get(attemptHeader))
	return c.JSON(http.StatusOK, Response{Reward: Reward(request.Text)})
}
