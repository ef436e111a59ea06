package crlload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable prints the reports of one experiment that was run with several seeds. Each figure is the median over the runs,
// followed by the lowest and highest value where they differ. reports must not be empty.
func WriteTable(w io.Writer, reports []Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PHASE\tFLOW\tCALLS\tGOODPUT/S\tFIGURE\tP50 MS\tP95 MS\tP99 MS\tP99.9 MS\tOTHER OUTCOMES")
	for i, first := range reports[0].Rows {
		rows := make([]Row, len(reports))
		for j, r := range reports {
			rows[j] = r.Rows[i]
		}
		writeRows(table, first, rows)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return writeOrders(w, reports)
}

// writeRows prints one line for each latency of a flow in a phase: first-token, between-tokens and total. first is the first
// of rows, which hold one run each. A latency without values in the first run is left out, except first-token, whose line
// also shows calls that all failed.
func writeRows(w io.Writer, first Row, rows []Row) {
	calls := formatSpread(rows, func(r Row) float64 { return float64(r.Calls) })
	goodput := formatSpread(rows, func(r Row) float64 { return r.Goodput })
	for i, figure := range []struct {
		name    string
		latency func(Row) Latency
	}{
		{"first-token", func(r Row) Latency { return r.FirstToken }},
		{"between-tokens", func(r Row) Latency { return r.Between }},
		{"total", func(r Row) Latency { return r.Total }},
	} {
		if figure.latency(first).Count == 0 && i > 0 {
			continue
		}
		spread := func(percentile func(Latency) float64) string {
			return formatSpread(rows, func(r Row) float64 { return percentile(figure.latency(r)) })
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", first.Phase, first.Flow, calls, goodput, figure.name,
			spread(func(l Latency) float64 { return l.P50 }), spread(func(l Latency) float64 { return l.P95 }),
			spread(func(l Latency) float64 { return l.P99 }), spread(func(l Latency) float64 { return l.P999 }), formatOutcomes(rows))
	}
}

// formatOutcomes sums the calls of all runs by outcome, without those whose outcome is ok.
func formatOutcomes(rows []Row) string {
	sum := make(map[string]int)
	for _, row := range rows {
		for outcome, calls := range row.Outcomes {
			sum[outcome] += calls
		}
	}
	delete(sum, outcomeOK)
	var parts []string
	for _, outcome := range slices.Sorted(maps.Keys(sum)) {
		parts = append(parts, fmt.Sprintf("%s=%d", outcome, sum[outcome]))
	}
	return strings.Join(parts, " ")
}

// writeOrders prints the effect of each order and the overloads of cold servers, run by run.
func writeOrders(w io.Writer, reports []Report) error {
	for _, r := range reports {
		for _, o := range r.Orders {
			_, _ = fmt.Fprintf(w, "seed %d: order %s: %d new requests on %v afterwards, the last after %v\n",
				r.Seed, o.Name, o.NewRequests, o.Watch, o.LastNewAfter)
		}
		if _, err := fmt.Fprintf(w, "seed %d: %d requests above a cold limit\n", r.Seed, r.Overloads); err != nil {
			return err
		}
	}
	return nil
}

// formatSpread returns the median of a figure over rows, and its lowest and highest value where they differ. Of an even number
// of rows, it takes the upper of the two middle values.
func formatSpread(rows []Row, figure func(Row) float64) string {
	values := make([]float64, len(rows))
	for i, r := range rows {
		values[i] = figure(r)
	}
	slices.Sort(values)
	median, low, high := values[len(values)/2], values[0], values[len(values)-1]
	if low == high {
		return fmt.Sprintf("%.4g", median)
	}
	return fmt.Sprintf("%.4g (%.4g-%.4g)", median, low, high)
}
