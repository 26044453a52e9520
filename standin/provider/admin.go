package provider

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/storekeeper"
)

// addAdmin adds the endpoints by which tests set faults, change the list of hosts and read counts.
func (p *Platform) addAdmin(g *echo.Group) {
	g.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Faults()) })
	g.PUT("/faults", p.putFaults)
	g.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Counts()) })
	g.POST("/hosts", p.postHost)
	g.DELETE("/hosts/:id", func(c echo.Context) error {
		p.RemoveHost(identifier.UpstreamID(c.Param("id")))
		return c.NoContent(http.StatusNoContent)
	})
	g.POST("/hosts/:id/leaving", func(c echo.Context) error {
		p.MarkLeaving(identifier.UpstreamID(c.Param("id")))
		return c.NoContent(http.StatusNoContent)
	})
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	// While the store is down, it also ends the waiting watches.
	p.store.SetFaults(storekeeper.Faults{Down: faults.Down})
}

// Faults returns the faults that are set.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the numbers of calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) putFaults(c echo.Context) error {
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	p.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) postHost(c echo.Context) error {
	var host codec.ListedHost
	if err := c.Bind(&host); err != nil {
		return err
	}
	p.AddHost(host)
	return c.NoContent(http.StatusNoContent)
}
