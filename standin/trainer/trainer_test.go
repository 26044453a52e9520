package trainer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/standin/trainer"
)

// pages is a service that returns prepared pages, one per request.
type pages struct {
	mu        sync.Mutex
	list      []codec.SamplePage
	cursors   []string
	declared  []codec.StepDeclaration
	announced []string
	// fail is how many of the next page requests end with a closed connection.
	fail int
}

// ServeHTTP serves the trainer's calls.
func (p *pages) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case strings.HasSuffix(r.URL.Path, "/samples"):
		p.cursors = append(p.cursors, r.URL.Query().Get("cursor"))
		if p.fail > 0 {
			p.fail--
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(p.list[0])
		p.list = p.list[1:]
	case strings.Contains(r.URL.Path, "/steps/"):
		var declaration codec.StepDeclaration
		_ = json.NewDecoder(r.Body).Decode(&declaration)
		p.declared = append(p.declared, declaration)
		w.WriteHeader(http.StatusNoContent)
	default:
		p.announced = append(p.announced, r.URL.Path)
		w.WriteHeader(http.StatusNoContent)
	}
}

func sample(index int, change func(*codec.Sample)) codec.Sample {
	s := codec.Sample{
		Step: 1, Index: index, Attempt: "a", Text: "abcde", Tokens: 1, FinishReason: codec.FinishReasonStop,
		Segments: []codec.Segment{{FirstToken: 0, WeightVersion: 5}},
	}
	if change != nil {
		change(&s)
	}
	return s
}

func page(held int, next string, complete bool, samples ...codec.Sample) codec.SamplePage {
	return codec.SamplePage{Step: 1, Held: held, Total: 2, NextCursor: next, Complete: complete, Samples: samples}
}

func runOnce(t *testing.T, service *pages, addresses ...string) trainer.Result {
	t.Helper()
	server := httptest.NewServer(service)
	defer server.Close()
	subject, err := trainer.New(trainer.Config{
		Name: "t", Address: "127.0.0.1:0", Services: append(addresses, server.URL), Steps: 1, Groups: 1, GroupSize: 2,
		StalenessBound: 1, StartVersion: 6, TrainTime: time.Millisecond, TokenBytes: 5,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, subject.Run(ctx))
	return subject.Result()
}

// Guards against a trainer that does not count a violation in the delivered samples; the tests that run a trainer would
// then pass whatever the service delivers.
func TestCountsDeliveryViolations(t *testing.T) {
	old := func(s *codec.Sample) { s.Segments[0].WeightVersion = 4 }
	cases := []struct {
		name  string
		pages []codec.SamplePage
		want  trainer.Result
	}{
		{"complete", []codec.SamplePage{page(0, "c", true, sample(0, nil), sample(1, nil))}, trainer.Result{Samples: 2}},
		{"duplicate", []codec.SamplePage{page(0, "c", true, sample(0, nil), sample(0, nil), sample(1, nil))}, trainer.Result{Samples: 2, Duplicates: 1}},
		{"missing", []codec.SamplePage{page(0, "c", true, sample(0, nil))}, trainer.Result{Samples: 1, Missing: 1}},
		{"stale", []codec.SamplePage{page(0, "c", true, sample(0, old), sample(1, nil))}, trainer.Result{Samples: 2, Stale: 1}},
		{"cursor", []codec.SamplePage{page(0, "c", false, sample(0, nil)), page(0, "d", true, sample(1, nil))}, trainer.Result{Samples: 2, CursorErrors: 1}},
	}
	for i, broken := range []func(*codec.Sample){
		func(s *codec.Sample) { s.Segments = nil },
		func(s *codec.Sample) { s.Segments[0].FirstToken = 1 },
		func(s *codec.Sample) { s.Segments = append(s.Segments, codec.Segment{FirstToken: 1, WeightVersion: 6}) },
		func(s *codec.Sample) { s.Step = 2 },
		func(s *codec.Sample) { s.Index = 2 },
		func(s *codec.Sample) { s.Text = "abc" },
		func(s *codec.Sample) { s.FinishReason = codec.FinishReasonCancelled },
		func(s *codec.Sample) { s.Attempt = "" },
	} {
		cases = append(cases, struct {
			name  string
			pages []codec.SamplePage
			want  trainer.Result
		}{
			fmt.Sprint("invalid ", i),
			[]codec.SamplePage{page(0, "c", true, sample(0, nil), sample(1, broken))},
			trainer.Result{Samples: 1, Invalid: 1, Missing: 1},
		})
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := runOnce(t, &pages{list: c.pages})
			want := c.want
			want.Steps, want.Version, want.Idle = 1, 7, got.Idle
			want.MaxStaleness, want.StalenessSum, want.MixedVersions = got.MaxStaleness, got.StalenessSum, got.MixedVersions
			require.Equal(t, want, got)
		})
	}
}

// Guards against a trainer that loses its cursor when a page request fails or an address does not respond.
func TestKeepsItsCursorAcrossRetries(t *testing.T) {
	service := &pages{list: []codec.SamplePage{
		page(0, "first", false, sample(0, nil)), page(1, "second", true, sample(1, nil)),
	}, fail: 1}
	result := runOnce(t, service, "http://127.0.0.1:1")
	require.Zero(t, result.Faults(), "%+v", result)
	require.Positive(t, result.Retries)
	require.Equal(t, []string{"", "", "first"}, service.cursors)
	require.Len(t, service.declared, 1)
	require.Equal(t, identifier.WeightVersion(6), service.declared[0].WeightVersion)
	require.Equal(t, []string{"/v1/trainers/t/weights/7"}, service.announced)
}
