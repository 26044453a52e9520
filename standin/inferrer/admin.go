package inferrer

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/codec"
)

// Faults selects the faults that the engine injects; each count is decremented when its fault occurs.
type Faults struct {
	// Freeze stops the output of all streams without ending them.
	Freeze bool `json:"freeze"`
	// Truncate is how many of the next streams end halfway, without an end marker but with an orderly end of the
	// response.
	Truncate int `json:"truncate"`
	// Cut is how many of the next streams end halfway with an aborted connection.
	Cut int `json:"cut"`
	// Cross is how many times a chunk of one stream is swapped with a chunk of another.
	Cross int `json:"cross"`
	// FailSwaps and FailLoads are how many of the next serve and load orders fail.
	FailSwaps int `json:"fail_swaps"`
	FailLoads int `json:"fail_loads"`
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Faults returns the faults that have not occurred yet.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// addAdmin adds the endpoints by which tests read the record, set faults, and make the engine crash, leave or return.
func (e *Engine) addAdmin(g *echo.Group) {
	g.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Record()) })
	g.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Faults()) })
	g.PUT("/faults", func(c echo.Context) error {
		var faults Faults
		if err := c.Bind(&faults); err != nil {
			return err
		}
		e.SetFaults(faults)
		return c.NoContent(http.StatusNoContent)
	})
	g.POST("/crash", func(echo.Context) error {
		e.Crash()
		return nil
	})
	g.POST("/leave", func(c echo.Context) error {
		e.Leave()
		return c.NoContent(http.StatusNoContent)
	})
	g.POST("/return", func(c echo.Context) error {
		e.Return()
		return c.NoContent(http.StatusNoContent)
	})
}

func (e *Engine) load(c echo.Context) error {
	e.mu.Lock()
	report := e.report
	e.mu.Unlock()
	return c.JSON(http.StatusOK, report)
}

// publishReports publishes each report one interval after it was taken.
func (e *Engine) publishReports(ctx context.Context) error {
	ticks, cancel := e.timer.Subscribe(e.config.ReportLag)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticks:
			e.mu.Lock()
			e.report, e.nextReport = e.nextReport, e.snapshot(now)
			e.mu.Unlock()
		}
	}
}

func (e *Engine) snapshot(now time.Time) codec.LoadReport {
	report := codec.LoadReport{
		ID:         e.config.ID,
		Running:    len(e.running),
		Queued:     len(e.queued),
		Slots:      e.config.Slots,
		Role:       e.role,
		Models:     []codec.ModelState{},
		ReportedAt: now,
	}
	for name, m := range e.models {
		report.Models = append(report.Models, codec.ModelState{Model: name, Serving: m.serving, Loaded: m.versions()})
	}
	slices.SortFunc(report.Models, func(a, b codec.ModelState) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return report
}
