package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/acceptor"
	"celerygap.example/service/connector"
	"celerygap.example/service/reserver"
)

const (
	// headerDeadline is the time (RFC 3339) after which the caller no longer needs the response.
	headerDeadline = "X-Request-Deadline"
	// defaultDeadline applies when neither the caller nor the catalogue entry sets one.
	defaultDeadline = 5 * time.Minute
	// entryKey is the context key under which handlers store the entry's name for the metrics.
	entryKey = "entry"
)

// completionFormat is one of the two formats of completions in the OpenAI API.
type completionFormat struct {
	idPrefix string
	object   string
	chunk    string
	prompt   func(*completionRequest) (string, error)
	delta    func(text string, first bool) choice
	complete func(text string) choice
}

var chatFormat = completionFormat{
	idPrefix: "chatcmpl-", object: "chat.completion", chunk: "chat.completion.chunk",
	prompt: (*completionRequest).chatPrompt,
	delta: func(text string, first bool) choice {
		message := &textMessage{Content: text}
		if first {
			message.Role = "assistant"
		}
		return choice{Delta: message}
	},
	complete: func(text string) choice { return choice{Message: &textMessage{Role: "assistant", Content: text}} },
}

var textFormat = completionFormat{
	idPrefix: "cmpl-", object: "text_completion", chunk: "text_completion",
	prompt:   (*completionRequest).textPrompt,
	delta:    func(text string, _ bool) choice { return choice{Text: &text} },
	complete: func(text string) choice { return choice{Text: &text} },
}

func (s *Server) chatCompletion(c echo.Context) error { return s.complete(c, chatFormat) }

func (s *Server) completion(c echo.Context) error { return s.complete(c, textFormat) }

func (s *Server) complete(c echo.Context, format completionFormat) error {
	var body completionRequest
	if err := s.readJSON(c, &body, s.config.BodyLimit); err != nil {
		return err
	}
	if err := body.check(); err != nil {
		return err
	}
	prompt, err := format.prompt(&body)
	if err != nil {
		return err
	}
	entry, err := s.findEntry(body.Model, codec.EntryKindModel)
	if err != nil {
		return err
	}
	c.Set(entryKey, entry.Name)
	deadline, err := requestDeadline(c, entry)
	if err != nil {
		return err
	}
	request := connector.GenerateRequest{
		Entry: entry.Name, Prompt: prompt, MaxTokens: body.maxTokens(), Temperature: body.temperature(),
		Seed: body.Seed, Class: entry.Class, Deadline: deadline,
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), deadline)
	defer cancel()
	w := &completionWriter{c: c, format: format, body: &body, id: format.idPrefix + uuid.NewString(), created: time.Now().Unix()}
	if body.Stream {
		return s.streamCompletion(ctx, w, request)
	}
	result, err := s.config.Generator.Generate(ctx, request, func(connector.Chunk) error { return nil })
	if err != nil {
		return countedRefusal{err}
	}
	return c.JSON(http.StatusOK, w.completeResponse(result))
}

func (s *Server) streamCompletion(ctx context.Context, w *completionWriter, request connector.GenerateRequest) error {
	result, err := s.config.Generator.Generate(ctx, request, w.writeChunk)
	if err == nil {
		return w.finish(result)
	}
	if w.started {
		// The status line was already sent, so the error is sent as an event, and the end marker is left out.
		w.fail(err)
	}
	return countedRefusal{err}
}

// completionWriter writes one completion to the caller, as a stream of events or as one response.
type completionWriter struct {
	c       echo.Context
	format  completionFormat
	body    *completionRequest
	id      string
	created int64
	// started is set once the header of a stream was written.
	started bool
}

func (w *completionWriter) response(object string, choices ...choice) completionResponse {
	return completionResponse{ID: w.id, Object: object, Created: w.created, Model: w.body.Model, Choices: choices}
}

func (w *completionWriter) completeResponse(result connector.GenerateResult) completionResponse {
	complete := w.format.complete(result.Text)
	reason := string(result.FinishReason)
	complete.FinishReason = &reason
	response := w.response(w.format.object, complete)
	response.Usage = usageOf(result)
	response.Segments = result.Segments
	return response
}

func usageOf(result connector.GenerateResult) *usage {
	return &usage{CompletionTokens: result.Tokens, TotalTokens: result.Tokens}
}

func (w *completionWriter) writeChunk(chunk connector.Chunk) error {
	first := !w.started
	if first {
		w.start()
	}
	return w.writeEvent(w.response(w.format.chunk, w.format.delta(chunk.Text, first)))
}

func (w *completionWriter) start() {
	w.started = true
	header := w.c.Response().Header()
	header.Set(echo.HeaderContentType, "text/event-stream")
	header.Set(echo.HeaderCacheControl, "no-cache")
	w.c.Response().WriteHeader(http.StatusOK)
}

func (w *completionWriter) finish(result connector.GenerateResult) error {
	if !w.started {
		w.start()
	}
	last := w.format.delta("", false)
	reason := string(result.FinishReason)
	last.FinishReason = &reason
	response := w.response(w.format.chunk, last)
	response.Segments = result.Segments
	if err := w.writeEvent(response); err != nil {
		return err
	}
	if w.body.StreamOptions != nil && w.body.StreamOptions.IncludeUsage {
		response := w.response(w.format.chunk)
		response.Choices = []choice{}
		response.Usage = usageOf(result)
		if err := w.writeEvent(response); err != nil {
			return err
		}
	}
	return w.writeLine("[DONE]")
}

func (w *completionWriter) fail(err error) {
	refusal, ok := refuser.As(err)
	if !ok {
		refusal = refuser.Unknown(refuser.ResponseIncomplete, 0, "%v", err)
	}
	_ = w.writeEvent(struct {
		Error openAIError `json:"error"`
	}{newOpenAIError(refusal)})
}

func (w *completionWriter) writeEvent(event any) error {
	encoded, err := json.Marshal(event)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	return w.writeLine(string(encoded))
}

func (w *completionWriter) writeLine(data string) error {
	if _, err := fmt.Fprintf(w.c.Response(), "data: %s\n\n", data); err != nil {
		return fmt.Errorf("write event to caller: %w", err)
	}
	w.c.Response().Flush()
	return nil
}

func (s *Server) listModels(c echo.Context) error {
	type model struct {
		ID      identifier.EntryName `json:"id"`
		Object  string               `json:"object"`
		Created int64                `json:"created"`
		OwnedBy string               `json:"owned_by"`
	}
	models := []model{}
	for _, entry := range s.config.Catalogue.Current().Entries {
		if entry.Kind == codec.EntryKindModel {
			models = append(models, model{ID: entry.Name, Object: "model", OwnedBy: entry.Owner})
		}
	}
	return c.JSON(http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", models})
}

func (s *Server) findEntry(name identifier.EntryName, kind codec.EntryKind) (codec.Entry, error) {
	for _, entry := range s.config.Catalogue.Current().Entries {
		if entry.Name == name && entry.Kind == kind {
			return entry, nil
		}
	}
	return codec.Entry{}, refuser.NotRun(refuser.UnknownEntry, 0, "the catalogue has no entry %q of kind %s", name, kind)
}

func requestDeadline(c echo.Context, entry codec.Entry) (time.Time, error) {
	if value := c.Request().Header.Get(headerDeadline); value != "" {
		deadline, err := time.Parse(time.RFC3339Nano, value)
		if err != nil {
			return time.Time{}, invalidField(headerDeadline, "%q is not accepted; want a time in RFC 3339", value)
		}
		return deadline, nil
	}
	limit := entry.Limits.Deadline.Std()
	if limit <= 0 {
		limit = defaultDeadline
	}
	return time.Now().Add(limit), nil
}

func (s *Server) readBody(c echo.Context, limit identifier.Bytes) ([]byte, error) {
	request := c.Request()
	source := http.MaxBytesReader(c.Response(), request.Body, int64(limit))
	body, held, err := s.config.Memory.ReadBody(request.Context(), source, request.ContentLength, limit)
	var full *reserver.FullError
	switch {
	case errors.Is(err, reserver.ErrTooLarge):
		return nil, refuser.NotRun(refuser.BodyTooLarge, 0, "the body exceeds the limit of %d bytes", limit)
	case errors.As(err, &full):
		return nil, refuser.NotRun(refuser.MemoryFull, full.RetryAfter, "%v", full)
	case errors.Is(err, acceptor.ErrBodyTooSlow):
		return nil, refuser.NotRun(refuser.BodyTooSlow, 0, "%v", err)
	case err != nil:
		return nil, fmt.Errorf("read request body: %w", err)
	}
	reserver.HolderOf(request.Context()).Keep(held.Release)
	return body, nil
}

func (s *Server) readJSON(c echo.Context, into any, limit identifier.Bytes) error {
	body, err := s.readBody(c, limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return refuser.NotRun(refuser.InvalidRequest, 0, "the body is not valid JSON for this path: %v", err)
	}
	return nil
}
