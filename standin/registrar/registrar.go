package registrar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
)

const (
	// retryInterval is the pause between attempts to register.
	retryInterval = 200 * time.Millisecond
	// leaveTimeout limits the call that marks the host as leaving.
	leaveTimeout = 2 * time.Second
)

// Config configures a registrar.
type Config struct {
	// Platform is the base URL of the stand-in platform.
	Platform string
	Host     codec.ListedHost
}

// Registrar registers one host with the platform.
type Registrar struct {
	config Config
}

// New returns a registrar; the host is not registered before Run or Register.
func New(config Config) *Registrar {
	config.Platform = strings.TrimSuffix(config.Platform, "/")
	return &Registrar{config: config}
}

// Run registers the host, retrying until that succeeds, and marks it as leaving when the context ends.
func (r *Registrar) Run(ctx context.Context) error {
	for r.Register(ctx) != nil {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(retryInterval):
		}
	}
	<-ctx.Done()
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	_ = r.post(leaveCtx, "/admin/hosts/"+url.PathEscape(string(r.config.Host.ID))+"/leaving", nil)
	return nil
}

// Register makes one attempt to add the host to the platform's list.
func (r *Registrar) Register(ctx context.Context) error {
	return r.post(ctx, "/admin/hosts", r.config.Host)
}

func (r *Registrar) post(ctx context.Context, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.config.Platform+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return annotator.Wrap("register host", annotator.Peer(r.config.Platform), err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return annotator.Wrap("register host", annotator.Peer(r.config.Platform), fmt.Errorf("status %d", response.StatusCode))
	}
	return nil
}
