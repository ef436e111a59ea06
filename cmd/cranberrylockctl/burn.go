package main

import (
	"os"

	"github.com/cranberrylock/cranberrylock/crlreport"
)

type burnCommand struct {
	options *options
}

// Execute shows the burn rates of the fleet's service-level objectives.
func (c *burnCommand) Execute([]string) error {
	var report crlreport.Report
	if err := c.options.get("/admin/burn", &report); err != nil {
		return err
	}
	if c.options.JSON {
		return printJSON(report)
	}
	return report.WriteTable(os.Stdout)
}
