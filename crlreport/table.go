package crlreport

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the burn rates of each row as a text table with a column for each window.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "ORGANISATION\tCLASS\tINDICATOR\t%s\tBAD/TOTAL 1h\tALERT\n", strings.Join(WindowNames[:], "\t"))
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s", row.Organisation, row.Name(), row.Indicator)
		for _, burn := range row.Burn {
			_, _ = fmt.Fprintf(table, "\t%.2f", burn)
		}
		hour := row.Counts[windowHour]
		_, _ = fmt.Fprintf(table, "\t%d/%d\t%s\n", hour.Bad, hour.Total, row.Alert)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "burn of %d daemons, %d could not be asked\n", r.Daemons, len(r.Missing))
	return err
}

// Name returns the class or, for calls of a plain service, "service" and its name.
func (k Key) Name() string {
	if k.Service != "" {
		return "service " + string(k.Service)
	}
	return string(k.Class)
}
