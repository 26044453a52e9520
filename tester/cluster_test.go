package tester_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	modelEntry   identifier.EntryName = "assistant"
	serviceEntry identifier.EntryName = "dispatch"
	scorerEntry  identifier.EntryName = "scores"
	trainerEntry identifier.EntryName = "trainer"
	modelName    identifier.ModelName = "small"

	enginePool identifier.PoolName = "farm"
	plainPool  identifier.PoolName = "app"
	scorerPool identifier.PoolName = "scorers"

	firstVersion   = 1
	stalenessBound = 1
	// requestDeadline ends a request whose outcome stays undecided before its caller's requestTimeout.
	requestDeadline = identifier.Duration(10 * time.Second)
)

// cluster is a stand-in platform, upstreams and hosts of the service, each in its own process.
type cluster struct {
	t        *testing.T
	platform *process
	engines  []*process
	plain    *process
	hosts    []*process
}

func startCluster(t *testing.T, engines, hosts int) *cluster {
	t.Helper()
	c := &cluster{t: t}
	c.platform = start(t, "platform", "standin", "platform", "--host-lag", "50ms")
	for i := range engines {
		c.engines = append(c.engines, c.startEngine(fmt.Sprint("engine-", i), "127.0.0.1:0"))
	}
	c.plain = c.startUpstream("plain", "plain-0", plainPool, "--delay", "100ms")
	c.startUpstream("scorer", "scorer-0", scorerPool)
	c.awaitListed(engines + 2)
	for i := range hosts {
		c.startHost(fmt.Sprint("host-", i))
	}
	c.applyCatalogue()
	return c
}

func (c *cluster) startEngine(id, address string) *process {
	c.t.Helper()
	return c.startUpstream("engine", id, enginePool, "--address", address,
		"--model", fmt.Sprintf("%s:%d", modelName, firstVersion), "--weight-store", c.platform.url(),
		"--checks-fencing", "--load-time", "50ms")
}

// awaitListed waits until the platform's delayed host list has all upstreams, since a host that starts earlier would
// see them only at its next poll.
func (c *cluster) awaitListed(upstreams int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		var list codec.HostList
		call(c.t, http.MethodGet, c.platform.url()+"/hosts", nil, &list)
		return len(list.Hosts) == upstreams
	}, startTimeout, pollInterval, "the platform does not list all upstreams")
}

func (c *cluster) startUpstream(kind, id string, pool identifier.PoolName, args ...string) *process {
	c.t.Helper()
	args = append([]string{kind, "--id", id, "--pool", string(pool), "--platform", c.platform.url()}, args...)
	return start(c.t, id, "standin", args...)
}

func (c *cluster) startHost(id string) {
	c.t.Helper()
	host := c.runHost(id, "127.0.0.1:0", "127.0.0.1:0")
	c.hosts = append(c.hosts, host)
	call(c.t, http.MethodPost, c.platform.url()+"/admin/hosts", codec.ListedHost{
		ID: identifier.UpstreamID(id), Address: host.addresses[1], Zone: "zone-a", Region: "region-a",
		Pool: "celerygap", State: codec.HostStateLive,
	}, nil)
}

// runHost starts a host of the service at the given addresses for callers and for other hosts.
func (c *cluster) runHost(id, listen, peerListen string) *process {
	c.t.Helper()
	args := []string{
		"--host-id", id, "--zone", "zone-a", "--region", "region-a", "--listen", listen,
		"--peer-listen", peerListen, "--store-url", c.platform.url(), "--drain-wait", "0s", "--lock-duty-threads=false",
	}
	for _, host := range c.hosts {
		if host.name != id {
			args = append(args, "--seed", host.addresses[1])
		}
	}
	return start(c.t, id, "celerygapd", args...)
}

// applyCatalogue applies the first revision and waits until every host is ready with it.
func (c *cluster) applyCatalogue() {
	c.t.Helper()
	edit := codec.EditRequest{
		EditID: "first", Author: "tester", Summary: "first revision",
		Pools: []codec.Pool{
			{Name: enginePool, Kind: codec.PoolKindEngine, ChecksFencing: true},
			{Name: plainPool, Kind: codec.PoolKindPlain},
			{Name: scorerPool, Kind: codec.PoolKindPlain},
		},
		Entries: entries(),
	}
	require.Eventually(c.t, func() bool {
		var result codec.EditResult
		status := call(c.t, http.MethodPut, c.hosts[0].url()+"/v1/operator/catalogue", edit, &result)
		if status == http.StatusUnprocessableEntity {
			require.Fail(c.t, "the catalogue was refused as invalid", result.Message)
		}
		return status == http.StatusOK
	}, startTimeout, 100*time.Millisecond, "the catalogue was not accepted")
	for _, host := range c.hosts {
		require.Eventually(c.t, func() bool { return c.inEffect(host) }, startTimeout, 50*time.Millisecond,
			"%s is not ready with the catalogue", host.name)
	}
}

func (c *cluster) inEffect(host *process) bool {
	var catalogue codec.Catalogue
	call(c.t, http.MethodGet, host.url()+"/v1/operator/catalogue", nil, &catalogue)
	return catalogue.Revision >= 1 && call(c.t, http.MethodGet, host.url()+"/readyz", nil, nil) == http.StatusOK
}

func entries() []codec.Entry {
	return []codec.Entry{
		{
			Name: modelEntry, Kind: codec.EntryKindModel, Owner: "tester", Class: codec.EntryClassLive,
			Limits: codec.Limits{Deadline: requestDeadline},
			Model:  &codec.ModelSpec{Pool: enginePool, Model: modelName},
		},
		{
			Name: serviceEntry, Kind: codec.EntryKindService, Owner: "tester", Class: codec.EntryClassLive,
			Limits:  codec.Limits{Deadline: requestDeadline},
			Service: &codec.ServiceSpec{Pool: plainPool, IdempotentMethods: []string{http.MethodGet}},
		},
		{
			Name: scorerEntry, Kind: codec.EntryKindService, Owner: "tester", Class: codec.EntryClassTraining,
			Service: &codec.ServiceSpec{Pool: scorerPool, IdempotentMethods: []string{http.MethodPost}},
		},
		{
			Name: trainerEntry, Kind: codec.EntryKindTrainer, Owner: "tester", Class: codec.EntryClassTraining,
			Trainer: &codec.TrainerSpec{
				ModelEntry: modelEntry, ScorerEntry: scorerEntry, StalenessBound: stalenessBound, MaxTokens: 64,
			},
		},
	}
}

// call sends body as JSON, decodes the response into result unless that is nil, and returns the status, or 0 without a
// response.
func call(t *testing.T, method, url string, body, result any) int {
	t.Helper()
	var content []byte
	if body != nil {
		var err error
		content, err = json.Marshal(body)
		require.NoError(t, err)
	}
	request, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(content))
	require.NoError(t, err)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	if err == nil && result != nil {
		_ = json.Unmarshal(received, result)
	}
	return response.StatusCode
}
