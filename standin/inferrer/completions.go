package inferrer

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// refusal is the reason why a stream was not started.
type refusal string

const (
	refusalNone         refusal = ""
	refusalLeaving      refusal = "leaving"
	refusalFull         refusal = "full"
	refusalUnknownModel refusal = "model not served"
	refusalDuplicate    refusal = "attempt id in use"
)

// complete runs one completion and streams its chunks to the caller.
func (e *Engine) complete(c echo.Context) error {
	var request codec.EngineRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	if request.AttemptID == "" || request.MaxTokens < 0 {
		return c.String(http.StatusBadRequest, "attempt_id and a non-negative max_tokens are required")
	}
	s, reason := e.admit(request)
	if reason != refusalNone {
		return refuse(c, reason)
	}
	defer e.release(s)
	return e.send(c, s)
}

func refuse(c echo.Context, reason refusal) error {
	c.Response().Header().Set(notStartedHeader, "true")
	if reason == refusalLeaving {
		c.Response().Header().Set(leavingHeader, "true")
	}
	return c.String(http.StatusServiceUnavailable, string(reason))
}

// release ends a stream that is still queued or running when its handler returns, which means that the caller has
// closed the connection.
func (e *Engine) release(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(s, RunDisconnected)
}

// send writes the chunks as they are produced. The response headers are sent when the stream starts, which acknowledges
// the start, or when it ends while still queued.
func (e *Engine) send(c echo.Context, s *stream) error {
	response := c.Response()
	response.Header().Set("Content-Type", "text/event-stream")
	response.Header().Set(attemptHeader, string(s.request.AttemptID))
	for {
		select {
		case <-c.Request().Context().Done():
			return nil
		case <-s.wake:
		}
		if !response.Committed {
			response.WriteHeader(http.StatusOK)
		}
		chunks, state, ended := e.takePending(s)
		for _, chunk := range chunks {
			if err := writeEvent(response, chunk); err != nil {
				return nil
			}
		}
		if ended {
			return finish(response, s, state)
		}
		response.Flush()
	}
}

func (e *Engine) takePending(s *stream) (chunks []codec.EngineChunk, state RunState, ended bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunks, s.pending = s.pending, nil
	return chunks, s.run.State, s.ended
}

// finish writes the end marker of a complete stream. It aborts the connection of a crashed or cut stream and ends the
// response of a truncated one without a marker.
func finish(response *echo.Response, s *stream, state RunState) error {
	switch {
	case state == RunCrashed || s.cut:
		response.Flush()
		panic(http.ErrAbortHandler)
	case state == RunTruncated:
		response.Flush()
		return nil
	}
	_, _ = fmt.Fprint(response, "data: [DONE]\n\n")
	response.Flush()
	return nil
}

func writeEvent(response *echo.Response, chunk codec.EngineChunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(response, "data: %s\n\n", data)
	return err
}

// cancel ends a stream with a last chunk whose finish reason is cancelled.
func (e *Engine) cancel(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[identifier.AttemptID(c.Param("attempt"))]; ok {
		s.push(codec.EngineChunk{
			AttemptID:     s.request.AttemptID,
			Sequence:      s.sequence,
			FirstToken:    s.next,
			WeightVersion: e.version(s.request.Model),
			FinishReason:  codec.FinishReasonCancelled,
			TotalTokens:   s.next,
		})
		e.end(s, RunCancelled)
	}
	return c.NoContent(http.StatusNoContent)
}
