package crlfake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// ServiceFaults selects the faults that a Service injects; the zero value selects none.
type ServiceFaults struct {
	Refuse          bool          `json:"refuse"`          // answers every call with status 503 and states truthfully that it did not run
	CloseWithoutRun bool          `json:"close-unread"`    // closes the connection instead of running the call
	CloseAfterRun   bool          `json:"close-after-run"` // runs the call and closes the connection without an answer
	Delay           time.Duration `json:"delay-ns"`        // time from the run of a call to its answer
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Server  crlid.Server
	History *History
}

// Service is a fake plain service. It records each call that it ran, and runs repeated calls with one idempotency key
// again, so that tests find calls that were sent twice.
type Service struct {
	config   ServiceConfig
	echo     *echo.Echo
	boot     crlid.Boot // unchanged for the lifetime of the Service
	mu       sync.Mutex // guards the fields below
	faults   ServiceFaults
	runCount int // calls that ran
}

// NewService returns a service without faults.
func NewService(config ServiceConfig) *Service {
	s := &Service{config: config, echo: echo.New(), boot: crlid.Boot(crlid.NewIncarnation())}
	s.echo.POST("/v1/services/:name", s.call)
	s.echo.PUT("/faults", s.putFaults)
	return s
}

// ServeHTTP serves one HTTP request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Service) putFaults(c echo.Context) error {
	var faults ServiceFaults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}

func (s *Service) call(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Refuse {
		c.Response().Header().Set(crlengine.HeaderOutcome, crlengine.OutcomeNotRun)
		return c.NoContent(http.StatusServiceUnavailable)
	}
	if faults.CloseWithoutRun {
		return closeConnection(c)
	}
	number := s.run(c)
	time.Sleep(faults.Delay)
	if faults.CloseAfterRun {
		return closeConnection(c)
	}
	c.Response().Header().Set(crlengine.HeaderBoot, string(s.boot))
	return c.JSON(http.StatusOK, struct {
		Number int `json:"number"`
		Bytes  int `json:"bytes"`
	}{Number: number, Bytes: len(body)})
}

// run records a call and returns the number of calls that ran so far.
func (s *Service) run(c echo.Context) int {
	header := c.Request().Header
	s.config.History.Add(Run{
		Server: s.config.Server, Service: crlid.Service(c.Param("name")),
		Request: crlid.Request(header.Get(crlengine.HeaderRequest)), Key: header.Get("Idempotency-Key"),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCount++
	return s.runCount
}

// closeConnection closes the connection of a request without an answer.
func closeConnection(c echo.Context) error {
	connection, _, err := http.NewResponseController(c.Response()).Hijack()
	if err != nil {
		return fmt.Errorf("close connection without an answer: %w", err)
	}
	return connection.Close()
}
