package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/cranberrylock/cranberrylock/crladmin"
	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlini"
)

// fileArgument is the positional argument of a command that reads a configuration file.
type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"configuration file"`
}

type checkCommand struct {
	Arguments fileArgument `positional-args:"yes" required:"yes"`
	options   *options
}

// Execute checks the file without calling a daemon.
func (c *checkCommand) Execute([]string) error {
	_, err := c.options.readValid(c.Arguments.File)
	if err != nil {
		return err
	}
	if c.options.JSON {
		return printJSON(crlini.Error{Problems: []crlini.Problem{}})
	}
	fmt.Printf("%s: valid\n", c.Arguments.File)
	return nil
}

// readValid returns the content of a configuration file, or a *notAcceptedError if it does not pass the checker. In that case,
// with --json, it also prints the problems of the file.
func (o *options) readValid(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	_, err = crlconfig.Parse(path, content)
	var problems *crlini.Error
	if errors.As(err, &problems) {
		if o.JSON {
			_ = printJSON(problems)
		}
		return nil, &notAcceptedError{reason: err.Error()}
	}
	return content, err
}

type applyCommand struct {
	Arguments fileArgument  `positional-args:"yes" required:"yes"`
	Base      *int64        `long:"base" description:"offset of the configuration that the file was made from (default: the one in force)"`
	ID        string        `long:"id" description:"identifier of the publication; to get the verdict on an undecided one, repeat its identifier (default: a new one)"`
	Force     bool          `long:"force" description:"do not require that the base is in force"`
	Wait      time.Duration `long:"wait" description:"longest wait until every daemon has the configuration in force" default:"5s"`
	options   *options
}

// applyReport is the output of apply.
type applyReport struct {
	Verdict       crlconfig.Verdict       `json:"verdict"`
	Confirmations []crladmin.Confirmation `json:"confirmations"`
}

// Execute publishes the file and, if it is accepted, waits until every daemon has it in force.
func (c *applyCommand) Execute([]string) error {
	content, err := c.options.readValid(c.Arguments.File)
	if err != nil {
		return err
	}
	base, err := c.base()
	if err != nil {
		return err
	}
	var report applyReport
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	publication := crlconfig.Publication{ID: c.ID, Base: base, Force: c.Force, Content: content}
	if err := c.options.post("/admin/configuration", publication, &report.Verdict); err != nil {
		return fmt.Errorf("not known to be accepted, ask again with --id %s --base %d: %w", c.ID, base, err)
	}
	if report.Verdict.Decision == crlconfig.DecisionAccepted {
		report.Confirmations = c.awaitConfirmations(report.Verdict.Offset)
	}
	return c.print(report)
}

// base returns the base of the publication: the one given or the offset of the configuration in force.
func (c *applyCommand) base() (crlid.Offset, error) {
	if c.Base != nil {
		return crlid.Offset(*c.Base), nil
	}
	var current crladmin.Published
	err := c.options.get("/admin/configuration", &current)
	return current.Offset, err
}

// confirmPollInterval is the pause between two requests for the fleet's confirmations.
const confirmPollInterval = 100 * time.Millisecond

// awaitConfirmations polls the confirmations of all daemons until each has the configuration with the offset in force or Wait
// has passed, and returns the last ones.
func (c *applyCommand) awaitConfirmations(offset crlid.Offset) []crladmin.Confirmation {
	deadline := time.Now().Add(c.Wait)
	for {
		var confirmations []crladmin.Confirmation
		err := c.options.get("/admin/fleet", &confirmations)
		if err == nil && len(unconfirmed(confirmations, offset)) == 0 || time.Now().After(deadline) {
			return confirmations
		}
		time.Sleep(confirmPollInterval)
	}
}

// unconfirmed returns the confirmations of daemons that do not have the configuration with the offset in force.
func unconfirmed(confirmations []crladmin.Confirmation, offset crlid.Offset) []crladmin.Confirmation {
	var missing []crladmin.Confirmation
	for _, c := range confirmations {
		if c.Offset < offset {
			missing = append(missing, c)
		}
	}
	return missing
}

// print writes the report. The error says that the fleet refused the file, or which daemons have not confirmed it.
func (c *applyCommand) print(report applyReport) error {
	if c.options.JSON {
		if err := printJSON(report); err != nil {
			return err
		}
	}
	if report.Verdict.Decision != crlconfig.DecisionAccepted {
		return &notAcceptedError{reason: fmt.Sprintf("not accepted: %s: %s", report.Verdict.Decision, report.Verdict.Reason)}
	}
	missing := unconfirmed(report.Confirmations, report.Verdict.Offset)
	if !c.options.JSON {
		fmt.Printf("accepted at offset %d, in force at %d of %d daemons\n",
			report.Verdict.Offset, len(report.Confirmations)-len(missing), len(report.Confirmations))
	}
	if len(missing) > 0 {
		return &unconfirmedError{daemons: missing}
	}
	return nil
}

// unconfirmedError reports that a configuration was accepted but is not known to be in force at every daemon.
type unconfirmedError struct{ daemons []crladmin.Confirmation }

// Error names the daemons that have not confirmed.
func (e *unconfirmedError) Error() string {
	var names []string
	for _, c := range e.daemons {
		name := fmt.Sprintf("%s (at %d)", c.Daemon, c.Offset)
		if c.Error != "" {
			name = fmt.Sprintf("%s (%s)", c.Daemon, c.Error)
		}
		names = append(names, name)
	}
	return "accepted, but not confirmed by " + strings.Join(names, ", ")
}

type statusCommand struct {
	options *options
}

// Execute shows the status of the daemon, and which configuration it and each of its peers have in force.
func (c *statusCommand) Execute([]string) error {
	var report struct {
		Status crladmin.Status         `json:"status"`
		Fleet  []crladmin.Confirmation `json:"fleet"`
	}
	if err := c.options.get("/admin/status", &report.Status); err != nil {
		return err
	}
	if err := c.options.get("/admin/fleet", &report.Fleet); err != nil {
		return err
	}
	if c.options.JSON {
		return printJSON(report)
	}
	s := report.Status
	fmt.Printf("daemon %s in %s: ready %t, draining %t, configuration %d, confirmed current %s ago, term %d\n",
		s.Daemon, s.Domain, s.Ready, s.Draining, s.Offset, s.ConfirmationAge.Round(time.Millisecond), s.Term)
	table := newTable("DAEMON", "CONFIGURATION", "ERROR")
	for _, f := range report.Fleet {
		table.row(f.Daemon, f.Offset, f.Error)
	}
	return table.flush()
}

type billsCommand struct {
	options *options
}

// Execute shows what was billed, summed for each combination of organisation, version and service.
func (c *billsCommand) Execute([]string) error {
	var summary crlbill.Summary
	if err := c.options.get("/admin/bills", &summary); err != nil {
		return err
	}
	if c.options.JSON {
		return printJSON(summary)
	}
	table := newTable("ORGANISATION", "VERSION", "SERVICE", "REQUESTS", "INTERRUPTED", "ANSWER-TOKENS", "MICRO-COST")
	for _, a := range summary.Accounts {
		table.row(a.Organisation, a.Version, a.Service, a.Requests, a.Interrupted, a.Answer, a.Cost)
	}
	if err := table.flush(); err != nil {
		return err
	}
	fmt.Printf("%d requests billed, %d duplicates dropped\n", summary.Requests, summary.Duplicates)
	return nil
}

// table writes rows with aligned columns to standard output. Nothing is written before flush.
type table struct{ writer *tabwriter.Writer }

func newTable(titles ...any) *table {
	t := &table{writer: tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)}
	t.row(titles...)
	return t
}

func (t *table) row(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(t.writer, "\t")
		}
		_, _ = fmt.Fprint(t.writer, c)
	}
	_, _ = fmt.Fprintln(t.writer)
}

func (t *table) flush() error { return t.writer.Flush() }
