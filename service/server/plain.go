package server

import (
	"context"
	"strings"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// headerReplayed marks the stored response of an earlier request with the same idempotency key.
	headerReplayed = "Idempotency-Replayed"
)

func (s *Server) plainCall(c echo.Context) error {
	entry, err := s.findEntry(identifier.EntryName(c.Param("entry")), codec.EntryKindService)
	if err != nil {
		return err
	}
	limit := entry.Limits.BodyBytes
	if limit <= 0 {
		limit = s.config.BodyLimit
	}
	body, err := s.readBody(c, limit)
	if err != nil {
		return err
	}
	deadline, err := requestDeadline(c, entry)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), deadline)
	defer cancel()
	request := c.Request()
	response, err := s.config.Plain.Call(ctx, connector.PlainRequest{
		Entry: entry.Name, Method: request.Method, Path: "/" + strings.TrimPrefix(c.Param("*"), "/"),
		Query: request.URL.RawQuery, Header: request.Header, Body: body,
		IdempotencyKey: request.Header.Get(headerIdempotencyKey), Deadline: deadline,
	})
	if err != nil {
		return countedRefusal{err}
	}
	return writePlain(c, response)
}

func writePlain(c echo.Context, response connector.PlainResponse) error {
	header := c.Response().Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if response.Replayed {
		header.Set(headerReplayed, "true")
	}
	c.Response().WriteHeader(response.Status)
	_, err := c.Response().Write(response.Body)
	return err
}
