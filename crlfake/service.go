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

// ServiceFaults are the switches of a Service.
type ServiceFaults struct {
	Refuse        bool          `json:"refuse"`          // Refuse answers every call with a truthful "not run".
	CloseUnread   bool          `json:"close-unread"`    // CloseUnread closes the connection before the call runs.
	CloseAfterRun bool          `json:"close-after-run"` // CloseAfterRun closes the connection once the call ran.
	Delay         time.Duration `json:"delay-ns"`        // Delay holds the answer once the call ran.
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Server  crlid.Server
	History *History
}

// Service is a plain service that records each call it ran and trusts its callers.
type Service struct {
	config   ServiceConfig
	echo     *echo.Echo
	boot     crlid.Boot
	mu       sync.Mutex // mu guards the fields below.
	faults   ServiceFaults
	runCount int
}

// NewService returns a service without faults.
func NewService(config ServiceConfig) *Service {
	s := &Service{config: config, echo: echo.New(), boot: crlid.Boot(crlid.NewIncarnation())}
	s.echo.POST("/v1/services/:name", s.call)
	s.echo.PUT("/faults", s.putFaults)
	return s
}

// ServeHTTP serves one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// SetFaults replaces the switches.
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
	if faults.CloseUnread {
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

func closeConnection(c echo.Context) error {
	connection, _, err := http.NewResponseController(c.Response()).Hijack()
	if err != nil {
		return fmt.Errorf("hang up: %w", err)
	}
	return connection.Close()
}
