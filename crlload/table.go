package crlload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable prints reports of one experiment with several seeds: each figure is the median and its spread.
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

func writeRows(w io.Writer, first Row, rows []Row) {
	calls := formatSpread(rows, func(r Row) float64 { return float64(r.Calls) })
	goodput := formatSpread(rows, func(r Row) float64 { return r.Goodput })
	for i, figure := range []struct {
		name string
		of   func(Row) Latency
	}{
		{"first-token", func(r Row) Latency { return r.FirstToken }},
		{"between-tokens", func(r Row) Latency { return r.Between }},
		{"total", func(r Row) Latency { return r.Total }},
	} {
		if figure.of(first).Count == 0 && i > 0 {
			continue
		}
		at := func(p func(Latency) float64) string {
			return formatSpread(rows, func(r Row) float64 { return p(figure.of(r)) })
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", first.Phase, first.Flow, calls, goodput, figure.name,
			at(func(l Latency) float64 { return l.P50 }), at(func(l Latency) float64 { return l.P95 }),
			at(func(l Latency) float64 { return l.P99 }), at(func(l Latency) float64 { return l.P999 }), formatOutcomes(rows))
	}
}

// outcomes sums what was not a whole answer over all seeds.
func formatOutcomes(rows []Row) string {
	sum := make(map[string]int)
	for _, r := range rows {
		for o, n := range r.Outcomes {
			sum[o] += n
		}
	}
	delete(sum, outcomeOK)
	var parts []string
	for _, o := range slices.Sorted(maps.Keys(sum)) {
		parts = append(parts, fmt.Sprintf("%s=%d", o, sum[o]))
	}
	return strings.Join(parts, " ")
}

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

// spread returns the median of a figure, and its lowest and highest value where they differ.
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
