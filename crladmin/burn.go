package crladmin

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"html/template"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/cranberrylock/cranberrylock/crlreport"
)

// BurnReporter returns the burn report of the fleet: the rates at which error budgets are used, by organisation and class.
type BurnReporter interface {
	Burn(ctx context.Context) crlreport.Report
}

// Size of the plot of a row in pixels, and the burn at its upper edge. Higher burns are drawn at that edge.
const (
	plotWidth   = 360
	plotHeight  = 60
	maxPlotBurn = 20
)

//go:embed burn.html
var burnHTML string

// burnTemplate renders the page of the burn report.
var burnTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"points": points, "height": height,
}).Parse(burnHTML))

func (s *Server) burn(c echo.Context) error {
	return c.JSON(http.StatusOK, s.config.BurnReporter.Burn(c.Request().Context()))
}

// burnPage serves the burn report as an HTML page, as burn does in JSON.
func (s *Server) burnPage(c echo.Context) error {
	var page bytes.Buffer
	if err := burnTemplate.Execute(&page, struct {
		crlreport.Report
		Windows       any
		Width, Height int
	}{s.config.BurnReporter.Burn(c.Request().Context()), crlreport.WindowNames, plotWidth, plotHeight}); err != nil {
		return err
	}
	return c.HTMLBlob(http.StatusOK, page.Bytes())
}

// points returns the burn of each minute of a row as the points attribute of an SVG polyline.
func points(row crlreport.Row) string {
	var b strings.Builder
	for i, minute := range row.Minutes {
		x := float64(i) * plotWidth / float64(len(row.Minutes)-1)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, height(minute.Burn(row.Indicator)))
	}
	return b.String()
}

// height returns the y coordinate of a burn in a plot, in pixels from the upper edge.
func height(burn float64) float64 {
	return plotHeight * (1 - min(burn, maxPlotBurn)/maxPlotBurn)
}
