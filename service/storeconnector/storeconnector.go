package storeconnector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/meter"
	"celerygap.example/service/connector"
)

const (
	// DefaultTimeout bounds one call; the wait of a watch is added to it.
	DefaultTimeout = 5 * time.Second
	// maxResponse bounds what is read of one response.
	maxResponse identifier.Bytes = 256 << 20
	// maxIdleConnections is enough for the watches and the permit shards of one host.
	maxIdleConnections = 64
	// idleTimeout closes unused connections before a server with the common 60 s limit does.
	idleTimeout = 45 * time.Second
)

// Config configures a client of the store.
type Config struct {
	// BaseURL is the root of the platform's API, such as http://10.0.0.1:7000.
	BaseURL string
	// Timeout bounds one call; the wait of a watch is added to it. Zero means DefaultTimeout.
	Timeout time.Duration
	// Meter counts the calls by operation and result; with nil they are not counted.
	Meter *meter.Meter
}

// Client implements connector.Store over HTTP.
type Client struct {
	base    string
	peer    annotator.Peer
	timeout time.Duration
	meter   *meter.Meter
	http    *http.Client

	mu sync.Mutex
	// hosts is the last list of hosts; hostsTag is its entity tag.
	hosts    codec.HostList
	hostsTag string
}

var _ connector.Store = (*Client)(nil)

// New returns a client, or an error when the base URL has no scheme or host.
func New(config Config) (*Client, error) {
	base, err := url.Parse(config.BaseURL)
	if err != nil {
		return nil, annotator.Wrap("parse store address", "self", err)
	}
	if base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, annotator.Wrap("parse store address", "self", errBaseURL)
	}
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DialContext:         dialCounting,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		base:    strings.TrimSuffix(config.BaseURL, "/"),
		peer:    annotator.Peer(base.Host),
		timeout: config.Timeout,
		meter:   config.Meter,
		http:    &http.Client{Transport: transport},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns one object or connector.ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (codec.Object, error) {
	var object codec.Object
	err := c.do(ctx, call{operation: "get", method: http.MethodGet, path: objectPath(key), result: &object})
	return object, err
}

// List returns the objects whose keys start with prefix, in key order.
func (c *Client) List(ctx context.Context, prefix string) (codec.ObjectList, error) {
	var list codec.ObjectList
	query := url.Values{"prefix": {prefix}}
	err := c.do(ctx, call{operation: "list", method: http.MethodGet, path: "/objects?" + query.Encode(), result: &list})
	return list, err
}

// Put writes an object if its version still equals expected; zero means that it must not exist.
func (c *Client) Put(ctx context.Context, key string, expected int64, value json.RawMessage) (codec.Object, error) {
	var object codec.Object
	err := c.do(ctx, call{
		operation: "put", method: http.MethodPut, path: objectPath(key), key: key,
		expected: expected, body: value, write: true, result: &object,
	})
	return object, err
}

// Delete removes an object if its version still equals expected.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	return c.do(ctx, call{
		operation: "delete", method: http.MethodDelete, path: objectPath(key), key: key,
		expected: expected, write: true,
	})
}

// Watch returns once objects under prefix have changed after the given revision, or when wait has passed.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (codec.ObjectList, error) {
	var list codec.ObjectList
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)}, "wait": {wait.String()}}
	err := c.do(ctx, call{
		operation: "watch", method: http.MethodGet, path: "/watch?" + query.Encode(), wait: wait, result: &list,
	})
	return list, err
}

// Hosts returns the platform's list of hosts, which lags behind their state. An unchanged list is not transferred again.
func (c *Client) Hosts(ctx context.Context) (codec.HostList, error) {
	c.mu.Lock()
	cached, tag := c.hosts, c.hostsTag
	c.mu.Unlock()
	var list codec.HostList
	request := call{operation: "hosts", method: http.MethodGet, path: "/hosts", tag: tag, result: &list}
	err := c.do(ctx, request.withNewTag(&tag))
	if err == errNotModified {
		return cached, nil
	}
	if err != nil {
		return codec.HostList{}, err
	}
	c.mu.Lock()
	c.hosts, c.hostsTag = list, tag
	c.mu.Unlock()
	return list, nil
}

// call describes one request to the store.
type call struct {
	operation string
	method    string
	path      string
	key       string
	expected  int64
	body      []byte
	write     bool
	wait      time.Duration
	result    any
	// tag makes the call conditional on a changed entity tag.
	tag string
	// newTag receives the entity tag of the response.
	newTag *string
}

// withNewTag returns a copy of the call that stores the entity tag of its response in tag.
func (k call) withNewTag(tag *string) call {
	k.newTag = tag
	return k
}

func (c *Client) do(ctx context.Context, k call) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.wait)
	defer cancel()
	err := c.exchange(ctx, k)
	c.count(k, err)
	if err == errNotModified {
		return err
	}
	return annotator.Wrap(annotator.Step("store "+k.operation), c.peer, err)
}

func (c *Client) count(k call, err error) {
	if c.meter != nil {
		c.meter.StoreCalled(k.operation, resultName(err))
	}
}

func (c *Client) exchange(ctx context.Context, k call) error {
	sent := &sentTracker{}
	request, err := http.NewRequestWithContext(sent.trace(ctx), k.method, c.base+k.path, bytes.NewReader(k.body))
	if err != nil {
		return err
	}
	k.setHeaders(request.Header)
	response, err := c.http.Do(request)
	if err != nil {
		return classifyFailure(ctx, k, sent.mayHaveArrived(), err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(maxResponse)))
	return classifyResponse(ctx, k, response, body, err)
}

func (k call) setHeaders(header http.Header) {
	if k.write {
		header.Set("If-Match", strconv.FormatInt(k.expected, 10))
	}
	if k.body != nil {
		header.Set("Content-Type", "application/json")
	}
	if k.tag != "" {
		header.Set("If-None-Match", k.tag)
	}
}

// objectPath escapes each part of a key, so that no character in it changes the structure of the path.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return "/objects/" + strings.Join(parts, "/")
}
