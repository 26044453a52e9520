package provider

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/identifier"
)

const octetStream = "application/octet-stream"

func (p *Platform) download(c echo.Context) error {
	if responded, err := p.admitWeights(c); responded {
		return err
	}
	p.mu.Lock()
	content, ok := p.artifacts[artifactOf(c)]
	p.counts.WeightDownloads++
	p.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, octetStream, content)
}

func (p *Platform) upload(c echo.Context) error {
	if responded, err := p.admitWeights(c); responded {
		return err
	}
	content, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.artifacts[artifactOf(c)] = content
	p.counts.WeightUploads++
	p.mu.Unlock()
	return c.NoContent(http.StatusNoContent)
}

// admitWeights applies the fault and the rate limit of the weight store and reports whether it has written a response.
func (p *Platform) admitWeights(c echo.Context) (responded bool, err error) {
	p.mu.Lock()
	down := p.faults.WeightsDown
	p.mu.Unlock()
	if down {
		return true, c.NoContent(http.StatusServiceUnavailable)
	}
	if !p.weights.Allow() {
		p.count(func(n *Counts) { n.Throttled++ })
		return true, throttle(c)
	}
	return false, nil
}

func artifactOf(c echo.Context) artifact {
	return artifact{model: identifier.ModelName(c.Param("model")), version: c.Param("version")}
}
