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

// Burns tells the service-level burn of the fleet.
type BurnReporter interface {
	Burn(ctx context.Context) crlreport.Report
}

// Size of a plot in pixels, and the burn at its upper edge.
const (
	plotWidth   = 360
	plotHeight  = 60
	maxPlotBurn = 20
)

//go:embed burn.html
var burnHTML string

// burnTemplate is the page of the burn report.
var burnTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"points": points, "height": height,
}).Parse(burnHTML))

func (s *Server) burn(c echo.Context) error {
	return c.JSON(http.StatusOK, s.config.BurnReporter.Burn(c.Request().Context()))
}

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

// points returns the burn of each minute of a row as the points of an SVG polyline.
func points(row crlreport.Row) string {
	var b strings.Builder
	for i, minute := range row.Minutes {
		x := float64(i) * plotWidth / float64(len(row.Minutes)-1)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, height(minute.Burn(row.Indicator)))
	}
	return b.String()
}

// height returns the place of a burn in a plot, counted from its upper edge.
func height(burn float64) float64 {
	return plotHeight * (1 - min(burn, maxPlotBurn)/maxPlotBurn)
}
