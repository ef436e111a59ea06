package crladmin

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Configurations publishes configurations and returns the one in force.
type Configurations interface {
	Publish(ctx context.Context, publication crlconfig.Publication) (crlconfig.Verdict, error)
	Served(ctx context.Context) (crlconfig.Accepted, error)
}

// Bills returns the sums of all bills.
type Bills interface {
	Summary(ctx context.Context) (crlbill.Summary, error)
}

// Confirmation states which configuration a daemon has in force, by its log offset, and when that was confirmed current.
type Confirmation struct {
	Daemon crlid.Daemon `json:"daemon"`
	Offset crlid.Offset `json:"offset"`
	// ConfirmationAge is the time since the configuration was last confirmed current; nanoseconds in JSON.
	ConfirmationAge time.Duration `json:"proof-age-ns"`
	Error           string        `json:"error,omitempty"` // why the daemon gave no answer, empty if it did
}

// Fleet returns one Confirmation for each daemon, including those that did not answer.
type Fleet interface {
	Confirmations(ctx context.Context) []Confirmation
}

// Status is the state of a daemon.
type Status struct {
	Daemon          crlid.Daemon      `json:"daemon"`
	Domain          crlid.Domain      `json:"domain"`
	Incarnation     crlid.Incarnation `json:"incarnation"`
	Offset          crlid.Offset      `json:"offset"`       // offset of the configuration in force
	Ready           bool              `json:"ready"`        // whether the configuration is fresh enough for new requests
	Draining        bool              `json:"draining"`     // whether the daemon is about to stop
	ConfirmationAge time.Duration     `json:"proof-age-ns"` // time since the configuration was last confirmed current
	Term            crlid.Term        `json:"term"`         // term of the newest confirmed roster
}

// Reporter returns the status of the daemon.
type Reporter interface {
	Status() Status
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Configurations Configurations
	Bills          Bills
	Fleet          Fleet
	Reporter       Reporter
	BurnReporter   BurnReporter
	Metrics        *prometheus.Registry
	MaxFileBytes   int64 // limit on the body of a request that publishes a configuration
}

// Server is an http.Handler for requests of operators. It is safe for concurrent use.
type Server struct {
	config ServerConfig
	echo   *echo.Echo
}

// NewServer returns a server with the routes of all pages and endpoints.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config, echo: echo.New()}
	s.echo.GET("/healthz", s.health)
	s.echo.GET("/readyz", s.readiness)
	s.echo.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(config.Metrics, promhttp.HandlerOpts{})))
	s.echo.GET("/admin/status", s.status)
	s.echo.GET("/admin/bills", s.bills)
	s.echo.GET("/admin/fleet", s.fleet)
	s.echo.GET("/admin/burn", s.burn)
	s.echo.GET("/burn", s.burnPage)
	s.echo.GET("/admin/configuration", s.configuration)
	s.echo.POST("/admin/configuration", s.publish)
	return s
}

// ServeHTTP serves one request of an operator.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

func (s *Server) health(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

// readiness answers the load balancer's health check: 200 while the daemon is ready and not draining, and 503 otherwise.
func (s *Server) readiness(c echo.Context) error {
	status := s.config.Reporter.Status()
	if !status.Ready || status.Draining {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) status(c echo.Context) error {
	return c.JSON(http.StatusOK, s.config.Reporter.Status())
}

func (s *Server) bills(c echo.Context) error {
	summary, err := s.config.Bills.Summary(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, summary)
}

func (s *Server) fleet(c echo.Context) error {
	return c.JSON(http.StatusOK, s.config.Fleet.Confirmations(c.Request().Context()))
}

// Published is the configuration in force, with the log offset of its record.
type Published struct {
	Offset  crlid.Offset `json:"offset"`
	Content string       `json:"content"`
}

func (s *Server) configuration(c echo.Context) error {
	accepted, err := s.config.Configurations.Served(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Published{Offset: accepted.Offset, Content: string(accepted.Content)})
}

// publish appends a configuration to the log and returns the verdict. It answers 503 if no verdict arrived; the operator may then
// repeat the request with the same ID, which identifies the publication over retries.
func (s *Server) publish(c echo.Context) error {
	var publication crlconfig.Publication
	body := http.MaxBytesReader(c.Response(), c.Request().Body, s.config.MaxFileBytes)
	c.Request().Body = body
	if err := c.Bind(&publication); err != nil {
		return err
	}
	if publication.ID == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "publication needs an id")
	}
	verdict, err := s.config.Configurations.Publish(c.Request().Context(), publication)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "not decided yet, ask again with the same id: "+err.Error())
	}
	return c.JSON(http.StatusOK, verdict)
}
