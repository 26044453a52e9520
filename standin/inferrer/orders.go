package inferrer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

var (
	errInjected         = errors.New("injected fault")
	errVersionNotLoaded = errors.New("version is not loaded")
	errVersionServed    = errors.New("version is being served and cannot be unloaded")
	errUnknownModel     = errors.New("unknown model")
)

// order executes one order and records its result.
func (e *Engine) order(c echo.Context) error {
	var order codec.Order
	if err := c.Bind(&order); err != nil {
		return err
	}
	result := e.execute(c.Request().Context(), order)
	e.mu.Lock()
	e.record.addOrder(order, result)
	e.mu.Unlock()
	return c.JSON(http.StatusOK, result)
}

func (e *Engine) execute(ctx context.Context, order codec.Order) codec.OrderResult {
	result := codec.OrderResult{OrderID: order.OrderID, Status: codec.OrderStatusDone}
	if status, refused := e.checkOrder(order); refused {
		result.Status = status
		return result
	}
	if err := e.apply(ctx, order); err != nil {
		result.Status = codec.OrderStatusFailed
		result.Message = err.Error()
	}
	return result
}

// checkOrder returns the status of an expired or fenced order and whether the order is refused. It records the highest
// fencing token of each model.
func (e *Engine) checkOrder(order codec.Order) (codec.OrderStatus, bool) {
	if !e.config.IgnoresExpiry && time.Now().After(order.ExpiresAt) {
		return codec.OrderStatusExpired, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && order.Fencing < e.fencing[order.Model] {
		return codec.OrderStatusFenced, true
	}
	e.fencing[order.Model] = max(order.Fencing, e.fencing[order.Model])
	return "", false
}

func (e *Engine) apply(ctx context.Context, order codec.Order) error {
	switch order.Kind {
	case codec.OrderKindLoad:
		return e.loadVersion(ctx, order)
	case codec.OrderKindServe:
		return e.serveVersion(order)
	case codec.OrderKindUnload:
		return e.unloadVersion(order)
	case codec.OrderKindLoadAdapter:
		return e.loadAdapter(ctx, order)
	case codec.OrderKindSetRole:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.role = order.Role
		return nil
	default:
		return fmt.Errorf("unknown kind %q", order.Kind)
	}
}

func (e *Engine) loadVersion(ctx context.Context, order codec.Order) error {
	e.mu.Lock()
	failed := takeFault(&e.faults.FailLoads)
	loaded := e.hasVersion(order.Model, order.Version)
	e.mu.Unlock()
	if failed {
		return errInjected
	}
	if loaded {
		return nil
	}
	content, err := e.fetch(ctx, order)
	if err != nil {
		return err
	}
	if err := pause(ctx, e.config.LoadTime); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addVersion(order.Model, order.Version, content)
	return nil
}

// takeFault decrements the count of a fault and reports whether the fault applies.
func takeFault(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

func (e *Engine) hasVersion(name identifier.ModelName, version identifier.WeightVersion) bool {
	m, ok := e.models[name]
	if !ok {
		return false
	}
	_, ok = m.loaded[version]
	return ok
}

// addVersion adds a loaded version. While there are more than KeptVersions, it unloads the oldest one that is neither
// served nor the added one.
func (e *Engine) addVersion(name identifier.ModelName, version identifier.WeightVersion, content []byte) {
	m, ok := e.models[name]
	if !ok {
		m = &model{serving: version, loaded: make(map[identifier.WeightVersion][]byte)}
		e.models[name] = m
	}
	m.loaded[version] = content
	for len(m.loaded) > e.config.KeptVersions {
		for _, old := range m.versions() {
			if old != m.serving && old != version {
				delete(m.loaded, old)
				break
			}
		}
	}
}

func (m *model) versions() []identifier.WeightVersion {
	versions := make([]identifier.WeightVersion, 0, len(m.loaded))
	for version := range m.loaded {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return versions
}

// serveVersion switches the served version immediately; running streams produce their remaining tokens with it.
func (e *Engine) serveVersion(order codec.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if takeFault(&e.faults.FailSwaps) {
		return errInjected
	}
	if !e.hasVersion(order.Model, order.Version) {
		return errVersionNotLoaded
	}
	m := e.models[order.Model]
	if m.serving != order.Version {
		m.serving = order.Version
		e.prefixes.clear(time.Now())
	}
	return nil
}

func (e *Engine) unloadVersion(order codec.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.models[order.Model]
	if !ok {
		return errUnknownModel
	}
	if m.serving == order.Version {
		return errVersionServed
	}
	delete(m.loaded, order.Version)
	return nil
}

func (e *Engine) loadAdapter(ctx context.Context, order codec.Order) error {
	if err := pause(ctx, e.config.LoadTime); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adapters[order.Adapter] = order.Version
	return nil
}

// fetch downloads weights from the order's source or, without one, from the weight store, and retries while the server
// is rate-limiting. Without a source and a weight store it returns no content.
func (e *Engine) fetch(ctx context.Context, order codec.Order) ([]byte, error) {
	path := "/weights/" + url.PathEscape(string(order.Model)) + "/" + strconv.FormatInt(int64(order.Version), 10)
	address := strings.TrimSuffix(e.config.WeightStore, "/") + path
	if order.Source != "" {
		address = "http://" + order.Source + "/v1" + path
	} else if e.config.WeightStore == "" {
		return nil, nil
	}
	for range loadAttempts {
		content, retry, err := e.download(ctx, address)
		if !retry {
			return content, annotator.Wrap("load weights", annotator.Peer(address), err)
		}
		if err := pause(ctx, loadRetryInterval); err != nil {
			return nil, err
		}
	}
	return nil, annotator.Wrap("load weights", annotator.Peer(address), errors.New("still rate-limited after the last attempt"))
}

func (e *Engine) download(ctx context.Context, address string) (content []byte, retry bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, false, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		content, err = io.ReadAll(io.LimitReader(response.Body, maxWeightBytes))
		return content, false, err
	case http.StatusTooManyRequests:
		return nil, true, nil
	default:
		return nil, false, fmt.Errorf("status %d", response.StatusCode)
	}
}

func pause(ctx context.Context, d time.Duration) error {
	timeout := time.NewTimer(d)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout.C:
		return nil
	}
}

// weights serves the bytes of a loaded version to other engines.
func (e *Engine) weights(c echo.Context) error {
	version, err := strconv.ParseInt(c.Param("version"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "version must be a number")
	}
	e.mu.Lock()
	name := identifier.ModelName(c.Param("model"))
	loaded := e.hasVersion(name, identifier.WeightVersion(version))
	var content []byte
	if loaded {
		content = e.models[name].loaded[identifier.WeightVersion(version)]
	}
	e.mu.Unlock()
	if !loaded {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, content)
}
