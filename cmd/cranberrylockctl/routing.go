package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlroutecheck"
	"github.com/cranberrylock/cranberrylock/platform"
)

type checkRoutingCommand struct {
	Arguments struct {
		File    string `positional-arg-name:"FILE" description:"configuration that is about to be sent"`
		InForce string `positional-arg-name:"IN-FORCE" description:"configuration in force"`
	} `positional-args:"yes" required:"yes"`
	Servers map[string]int `long:"servers" description:"number of servers of a service, as SERVICE:NUMBER, to check the attempts of its routes; may be repeated"`
	options *options
}

// unreadableError reports that a file can't be read or is not a configuration.
type unreadableError struct{ reason string }

// Error returns the reason.
func (e *unreadableError) Error() string { return e.reason }

// findingsError reports that a configuration was checked and has findings.
type findingsError struct{ count int }

// Error returns the number of findings.
func (e *findingsError) Error() string { return fmt.Sprintf("findings: %d", e.count) }

// placedError is an error in a file.
type placedError struct {
	File string `json:"file"`
	*platform.DraftError
}

// placedFinding is a finding with its place in the file.
type placedFinding struct {
	File string `json:"file"`
	platform.Place
	crlroutecheck.Finding
}

// routingReport is the output of check-routing.
type routingReport struct {
	Errors      []placedError              `json:"errors"`
	Findings    []placedFinding            `json:"findings"`
	Differences []crlroutecheck.Difference `json:"differences"`
}

// Execute checks the file, compares it with the configuration in force and prints what was found. It calls no daemon.
func (c *checkRoutingCommand) Execute([]string) error {
	report := routingReport{
		Errors: []placedError{}, Findings: []placedFinding{}, Differences: []crlroutecheck.Difference{},
	}
	next, err := c.read(c.Arguments.File, &report)
	inForce, errInForce := c.read(c.Arguments.InForce, &report)
	if err := errors.Join(err, errInForce); err != nil {
		return &unreadableError{reason: err.Error()}
	}
	if next != nil && inForce != nil {
		servers := make(crlroutecheck.Servers)
		for service, number := range c.Servers {
			servers[crlid.Service(service)] = number
		}
		differences, findings := crlroutecheck.Compare(inForce.Configuration, next.Configuration)
		report.Differences = append(report.Differences, differences...)
		for _, f := range append(findings, crlroutecheck.Check(next.Configuration, servers)...) {
			report.Findings = append(report.Findings, placedFinding{File: c.Arguments.File, Place: next.Place(f.Subject), Finding: f})
		}
	}
	return c.print(report)
}

// read decodes a configuration file and appends the errors in it to the report. The draft is nil if there are any.
func (c *checkRoutingCommand) read(path string, report *routingReport) (*platform.Draft, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	draft, problems := platform.DecodeDraft(content)
	for _, p := range problems {
		report.Errors = append(report.Errors, placedError{File: path, DraftError: p})
	}
	return draft, nil
}

// print writes the report. The error says that files could not be decoded, or that there are findings.
func (c *checkRoutingCommand) print(report routingReport) error {
	if c.options.JSON {
		if err := printJSON(report); err != nil {
			return err
		}
	} else {
		report.printText()
	}
	if n := len(report.Errors); n > 0 {
		return &unreadableError{reason: fmt.Sprintf("errors: %d; nothing was compared", n)}
	}
	if n := len(report.Findings); n > 0 {
		return &findingsError{count: n}
	}
	return nil
}

func (r *routingReport) printText() {
	for _, e := range r.Errors {
		fmt.Printf("%s:%d:%d: %s\n", e.File, e.Line, e.Column, e.Message)
	}
	for _, f := range r.Findings {
		fmt.Printf("%s:%d:%d: %s: %s: %s\n", f.File, f.Line, f.Column, f.Rule, nameOf(f.Subject.Kind, f.Subject.Name), f.Message)
	}
	for _, d := range r.Differences {
		line := nameOf(d.Kind, d.Name) + " " + d.Change.String()
		if len(d.Fields) > 0 {
			line += ": " + strings.Join(d.Fields, "; ")
		}
		fmt.Println(line)
	}
	if len(r.Errors)+len(r.Findings)+len(r.Differences) == 0 {
		fmt.Println("no findings, no differences")
	}
}

// nameOf returns the kind and the name of a part of a configuration. The limits and the whole configuration have no names.
func nameOf(kind crlroutecheck.Kind, name string) string {
	if kind == crlroutecheck.KindLimits || kind == crlroutecheck.KindConfiguration {
		return kind.String()
	}
	return fmt.Sprintf("%s %q", kind, name)
}
