package server

import (
	_ "embed"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/codec"
)

//go:embed screens.html
var screensHTML []byte

// status is the body of GET /v1/operator/status.
type status struct {
	Host     codec.Member        `json:"host"`
	Ready    bool                `json:"ready"`
	Draining bool                `json:"draining"`
	Revision int64               `json:"revision"`
	Members  []codec.Member      `json:"members"`
	InEffect []codec.HostInForce `json:"in_force"`
	Snapshot *codec.Snapshot     `json:"snapshot,omitempty"`
	AgeMS    int64               `json:"snapshot_age_ms"`
}

func (s *Server) getCatalogue(c echo.Context) error {
	return c.JSON(http.StatusOK, s.config.Catalogue.Current())
}

func (s *Server) putCatalogue(c echo.Context) error {
	var request codec.EditRequest
	if err := s.readJSON(c, &request, maxObject); err != nil {
		return err
	}
	result, err := s.config.Edits.Apply(c.Request().Context(), request)
	if err != nil {
		return err
	}
	return c.JSON(editStatus(result.Status), result)
}

func editStatus(status codec.EditStatus) int {
	switch status {
	case codec.EditStatusConflict:
		return http.StatusConflict
	case codec.EditStatusInvalid:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusOK
	}
}

func (s *Server) getStatus(c echo.Context) error {
	view := s.config.Screens.View(time.Now())
	return c.JSON(http.StatusOK, status{
		Host: s.config.Members.Self(), Ready: s.config.Ready(), Draining: s.drain.Draining(),
		Revision: int64(s.config.Catalogue.Current().Revision), Members: s.config.Members.Live(),
		InEffect: s.config.Fleet.InEffect(), Snapshot: view.Shown, AgeMS: view.AgeMS,
	})
}

func (s *Server) getHistory(c echo.Context) error {
	edits := s.config.Catalogue.Current().Edits
	if edits == nil {
		edits = []codec.Edit{}
	}
	return c.JSON(http.StatusOK, edits)
}

func (s *Server) screenPage(c echo.Context) error {
	return c.HTMLBlob(http.StatusOK, screensHTML)
}

func (s *Server) screenView(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderCacheControl, "no-store")
	return c.JSON(http.StatusOK, s.config.Screens.View(time.Now()))
}
