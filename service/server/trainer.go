package server

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// maxObject bounds the body of a step declaration or a catalogue edit: it is the store's limit for one object.
	maxObject identifier.Bytes = 1 << 20
	// maxPageWait bounds how long a request for a page waits for samples.
	maxPageWait = 30 * time.Second
)

func (s *Server) trainerEntry(c echo.Context) (codec.Entry, error) {
	entry, err := s.findEntry(identifier.EntryName(c.Param("trainer")), codec.EntryKindTrainer)
	if err == nil {
		c.Set(entryKey, entry.Name)
	}
	return entry, err
}

func pathNumber(c echo.Context, name string) (int64, error) {
	value, err := strconv.ParseInt(c.Param(name), 10, 64)
	if err != nil || value < 0 {
		return 0, invalidField(name, "%q is not accepted; want a whole number of at least 0", c.Param(name))
	}
	return value, nil
}

// trainerAndNumber returns the trainer and the step or version in the path of a request of the trainers' API.
func (s *Server) trainerAndNumber(c echo.Context, name string) (codec.Entry, int64, error) {
	entry, err := s.trainerEntry(c)
	if err != nil {
		return entry, 0, err
	}
	number, err := pathNumber(c, name)
	return entry, number, err
}

func (s *Server) declareStep(c echo.Context) error {
	entry, step, err := s.trainerAndNumber(c, "step")
	if err != nil {
		return err
	}
	var declaration codec.StepDeclaration
	if err := s.readJSON(c, &declaration, maxObject); err != nil {
		return err
	}
	if err := checkDeclaration(declaration, identifier.StepNumber(step)); err != nil {
		return err
	}
	if err := s.config.Rollouts.Declare(c.Request().Context(), entry.Name, declaration); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func checkDeclaration(declaration codec.StepDeclaration, step identifier.StepNumber) error {
	if declaration.Step != step {
		return invalidField("step", "the body has %d and the path %d; want the same", declaration.Step, step)
	}
	if declaration.GroupSize < 1 {
		return invalidField("group_size", "%d is not accepted; want at least 1", declaration.GroupSize)
	}
	if len(declaration.Prompts) == 0 {
		return invalidField("prompts", "want at least one prompt")
	}
	for i, prompt := range declaration.Prompts {
		if prompt == "" {
			return invalidField(fmt.Sprintf("prompts[%d]", i), "want a non-empty string")
		}
	}
	return nil
}

func (s *Server) samplePage(c echo.Context) error {
	entry, step, err := s.trainerAndNumber(c, "step")
	if err != nil {
		return err
	}
	version, err := strconv.ParseInt(c.QueryParam("weight_version"), 10, 64)
	if err != nil || version < 0 {
		return invalidField("weight_version", "%q is not accepted; want the version that the trainer holds", c.QueryParam("weight_version"))
	}
	wait, err := pageWait(c)
	if err != nil {
		return err
	}
	page, err := s.config.Rollouts.Page(c.Request().Context(), codec.FetchPage{
		From: s.config.Members.Self().ID, Trainer: entry.Name, Step: identifier.StepNumber(step),
		Cursor: c.QueryParam("cursor"), WeightVersion: identifier.WeightVersion(version),
	}, wait)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, page)
}

func pageWait(c echo.Context) (time.Duration, error) {
	value := c.QueryParam("wait")
	if value == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(value)
	if err != nil || wait < 0 || wait > maxPageWait {
		return 0, invalidField("wait", "%q is not accepted; want a duration from 0s to %v", value, maxPageWait)
	}
	return wait, nil
}

func (s *Server) announceWeights(c echo.Context) error {
	entry, version, err := s.trainerAndNumber(c, "version")
	if err != nil {
		return err
	}
	if err := s.config.Versions.Announce(c.Request().Context(), entry.Name, identifier.WeightVersion(version)); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}
