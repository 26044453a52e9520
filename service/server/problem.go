package server

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/refuser"
)

// readyRetry is the Retry-After of a refusal by a host that does not hold a current catalogue yet.
const readyRetry = 2 * time.Second

// requireCatalogue refuses requests while this host's catalogue may be outdated; a draining host still serves them.
func (s *Server) requireCatalogue(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !s.config.Ready() {
			return refuser.NotRun(refuser.NotReady, readyRetry, "this host does not hold a current catalogue yet")
		}
		return next(c)
	}
}

// writeError logs and counts the error of a handler and responds with problem details.
func (s *Server) writeError(err error, c echo.Context) {
	refusal := s.refusalOf(err)
	entry := c.Param("entry")
	if name, ok := c.Get(entryKey).(identifier.EntryName); ok {
		entry = string(name)
	}
	s.config.Log.Info(logger.RequestRefused).Str("path", c.Request().URL.Path).Str("reason", string(refusal.Reason)).
		Str("outcome", string(refusal.Outcome)).Str("detail", refusal.Detail).Send()
	if !isCounted(err) {
		s.config.Meter.Refused(entry, refusal)
	}
	if c.Response().Committed {
		return
	}
	if refusal.RetryAfter > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(refusal.RetryAfterSeconds()))
	}
	c.Response().Header().Set(echo.HeaderContentType, refuser.ContentType)
	status := refusal.Status()
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	}
	if writeErr := c.JSON(status, problemBody(refusal, status)); writeErr != nil {
		s.config.Log.Warn(logger.RequestRefused).Err(writeErr).Send()
	}
}

// problem consists of problem details and the error member that OpenAI client libraries read.
type problem struct {
	codec.Problem
	Error openAIError `json:"error"`
}

func problemBody(refusal *refuser.Refusal, status int) problem {
	details := refusal.Problem()
	details.Status = status
	return problem{Problem: details, Error: newOpenAIError(refusal)}
}

func (s *Server) refusalOf(err error) *refuser.Refusal {
	if refusal, ok := refuser.As(err); ok {
		return refusal
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuser.NotRun(refuser.BodyTooLarge, 0, "the body exceeds the limit of %d bytes", tooLarge.Limit)
	}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		return refuser.NotRun(refuser.InvalidRequest, 0, "%v", httpError.Message)
	}
	return refuser.Unknown(refuser.OutcomeUnknown, 0, "%v", err)
}

// countedRefusal marks a refusal that the dispatcher has already counted.
type countedRefusal struct{ error }

// Unwrap returns the refusal.
func (e countedRefusal) Unwrap() error { return e.error }

func isCounted(err error) bool {
	var counted countedRefusal
	return errors.As(err, &counted)
}

func invalidField(field, format string, args ...any) error {
	return refuser.NotRun(refuser.InvalidRequest, 0, "field "+field+": "+format, args...)
}
