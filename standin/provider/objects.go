package provider

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/codec"
	"celerygap.example/service/connector"
	"celerygap.example/service/storekeeper"
)

const (
	// defaultWait is how long a watch waits if its request sets no wait.
	defaultWait = 10 * time.Second
	// maxWait limits the wait that a watch may request.
	maxWait = time.Minute
)

func (p *Platform) get(c echo.Context) error {
	object, err := p.store.Get(c.Request().Context(), objectKey(c))
	if err != nil {
		return respondError(c, err)
	}
	return c.JSON(http.StatusOK, object)
}

func (p *Platform) list(c echo.Context) error {
	list, err := p.store.List(c.Request().Context(), c.QueryParam("prefix"))
	if err != nil {
		return respondError(c, err)
	}
	return c.JSON(http.StatusOK, list)
}

func (p *Platform) put(c echo.Context) error {
	expected, err := expectedVersion(c)
	if err != nil {
		return c.String(http.StatusBadRequest, "If-Match must be a version number")
	}
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, int64(storekeeper.MaxValueBytes)+1))
	if err != nil {
		return err
	}
	if len(body) > int(storekeeper.MaxValueBytes) {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	if !json.Valid(body) {
		return c.String(http.StatusBadRequest, "the value must be JSON")
	}
	object, err := p.store.Put(c.Request().Context(), objectKey(c), expected, body)
	if err != nil {
		return respondError(c, err)
	}
	p.loseResponse()
	return c.JSON(http.StatusOK, object)
}

func (p *Platform) remove(c echo.Context) error {
	expected, err := expectedVersion(c)
	if err != nil {
		return c.String(http.StatusBadRequest, "If-Match must be a version number")
	}
	if _, err := p.store.Get(c.Request().Context(), objectKey(c)); err != nil {
		return respondError(c, err)
	}
	if err := p.store.Delete(c.Request().Context(), objectKey(c), expected); err != nil {
		return respondError(c, err)
	}
	p.loseResponse()
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) watch(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "after must be a revision")
	}
	wait := defaultWait
	if text := c.QueryParam("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return c.String(http.StatusBadRequest, "wait must be a duration such as 10s")
		}
	}
	list, err := p.store.Watch(c.Request().Context(), c.QueryParam("prefix"), after, min(wait, maxWait))
	if err != nil {
		return respondError(c, err)
	}
	return c.JSON(http.StatusOK, list)
}

// loseResponse closes the connection of a write that took effect if the fault LoseResponses is set.
func (p *Platform) loseResponse() {
	p.mu.Lock()
	lose := p.faults.LoseResponses > 0
	if lose {
		p.faults.LoseResponses--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

// respondError responds with the status of a store error; a conflict carries the current object.
func respondError(c echo.Context, err error) error {
	if conflict, ok := connector.AsConflict(err); ok {
		return c.JSON(http.StatusConflict, withValue(conflict.Current))
	}
	if errors.Is(err, connector.ErrNotFound) {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusServiceUnavailable)
}

// withValue sets a value in an absent object, because the wire type requires one.
func withValue(object codec.Object) codec.Object {
	if object.Value == nil {
		object.Value = []byte("null")
	}
	return object
}

func expectedVersion(c echo.Context) (int64, error) {
	return strconv.ParseInt(c.Request().Header.Get("If-Match"), 10, 64)
}

// objectKey returns the key from the decoded path, because the router's parameter may still be escaped.
func objectKey(c echo.Context) string {
	return strings.TrimPrefix(c.Request().URL.Path, "/objects/")
}
