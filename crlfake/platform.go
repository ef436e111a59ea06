package crlfake

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// Platform is a fake platform that serves the log, the VM list and the rating service over HTTP. Further paths set the VM
// list, the quality of versions and the faults, and return the history.
type Platform struct {
	Log     *Log
	History *History
	Ratings *Ratings
	echo    *echo.Echo
	mu      sync.Mutex // guards vms
	vms     []crlplatform.VM
}

// NewPlatform returns a platform without faults, with an empty log and VM list.
func NewPlatform() *Platform {
	p := &Platform{Log: NewLog(), History: &History{}, Ratings: NewRatings(), echo: echo.New()}
	p.echo.POST("/streams/:name", p.append)
	p.echo.GET("/streams/:name", p.read)
	p.echo.GET("/vms", p.listVMs)
	p.echo.PUT("/vms", p.putVMs)
	p.echo.PUT("/quality", p.putQuality)
	p.echo.POST("/ratings", p.rate)
	p.echo.PUT("/faults/log", p.putLogFaults)
	p.echo.PUT("/faults/ratings", p.putRatingFaults)
	p.echo.GET("/history", func(c echo.Context) error { return c.JSON(http.StatusOK, p.History.Runs()) })
	return p
}

// ServeHTTP serves one HTTP request.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.echo.ServeHTTP(w, r) }

// SetVMs replaces the VM list. The platform owns vms afterwards.
func (p *Platform) SetVMs(vms []crlplatform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

func (p *Platform) append(c echo.Context) error {
	payload, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	offset, err := p.Log.Append(c.Request().Context(), crlid.Stream(c.Param("name")), payload)
	if err != nil {
		return logError(err)
	}
	return c.JSON(http.StatusOK, struct {
		Offset crlid.Offset `json:"offset"`
	}{offset})
}

func (p *Platform) read(c echo.Context) error {
	from, errFrom := strconv.ParseInt(c.QueryParam("from"), 10, 64)
	limit, errLimit := strconv.Atoi(c.QueryParam("limit"))
	wait, errWait := strconv.ParseInt(c.QueryParam("wait-ms"), 10, 64)
	if err := errors.Join(errFrom, errLimit, errWait); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	page, err := p.Log.Read(c.Request().Context(), crlplatform.ReadRequest{
		Stream: crlid.Stream(c.Param("name")), From: crlid.Offset(from), Limit: limit,
		Wait: time.Duration(wait) * time.Millisecond,
	})
	if err != nil {
		return logError(err)
	}
	return c.JSON(http.StatusOK, page)
}

func (p *Platform) listVMs(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.JSON(http.StatusOK, p.vms)
}

func (p *Platform) putVMs(c echo.Context) error {
	var vms []crlplatform.VM
	if err := json.NewDecoder(c.Request().Body).Decode(&vms); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	p.SetVMs(vms)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) rate(c echo.Context) error {
	var request crlplatform.RatingRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	quality, err := p.Ratings.Rate(c.Request().Context(), request)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusOK, struct {
		Quality crlid.Quality `json:"quality"`
	}{quality})
}

// putQuality sets the quality of one version, and the spread for all versions.
func (p *Platform) putQuality(c echo.Context) error {
	var body struct {
		Version crlid.Version `json:"version"`
		Quality crlid.Quality `json:"quality"`
		Spread  crlid.Quality `json:"spread"`
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	p.Ratings.SetQuality(body.Version, body.Quality)
	p.Ratings.SetSpread(body.Spread)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) putLogFaults(c echo.Context) error {
	var faults LogFaults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	p.Log.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) putRatingFaults(c echo.Context) error {
	var faults RatingFaults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	p.Ratings.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}

// logError returns the HTTP error for a failed call of the log: status 410 for a read of trimmed records, else 503.
func logError(err error) error {
	var failure *crlplatform.Error
	if errors.As(err, &failure) && failure.Trimmed {
		return echo.NewHTTPError(http.StatusGone, err.Error())
	}
	return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
}
