package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cranberrylock/cranberrylock/crladmin"
	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// TestCommands runs the command lines in testdata against an admin server with a fake fleet and compares the output and the
// exit code.
//
// The argument line is the command line with "_" for each space; the input becomes the file "file.ini". What follows a line "=====" in
// it becomes the file "in-force".
func TestCommands(t *testing.T) {
	path, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	fleet := &fakeFleet{}
	admin := httptest.NewServer(crladmin.NewServer(crladmin.ServerConfig{
		Configurations: fleet, Bills: fleet, Fleet: fleet, Reporter: fleet,
		Metrics: prometheus.NewRegistry(), MaxFileBytes: 1 << 20,
	}))
	defer admin.Close()
	t.Chdir(t.TempDir())
	datadriven.Walk(t, path, func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			*fleet = fakeFleet{}
			d.MaybeScanArgs(t, "stale", &fleet.stale)
			d.MaybeScanArgs(t, "behind", &fleet.behind)
			d.MaybeScanArgs(t, "undecided", &fleet.undecided)
			input, inForce, _ := strings.Cut(d.Input, "\n=====\n")
			for name, content := range map[string]string{"file.ini": input, "in-force": inForce} {
				if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var line string
			d.ScanArgs(t, "line", &line)
			arguments := append([]string{"--daemon", admin.Listener.Addr().String()}, strings.Split(line, "_")...)
			output := runCaptured(t, arguments)
			return strings.ReplaceAll(output, admin.Listener.Addr().String(), "ADMIN")
		})
	})
}

// runCaptured runs a command line and returns its output, both standard output and standard error, and its exit code.
func runCaptured(t *testing.T, arguments []string) string {
	t.Helper()
	out, err := os.Create(filepath.Join(t.TempDir(), "output"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	stdout, stderr := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = out, out
	code := run(arguments)
	os.Stdout, os.Stderr = stdout, stderr
	if _, err := out.Seek(0, io.SeekStart); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(out)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%sexit %d\n", text, code)
}

// fakeFleet implements the interfaces of crladmin for two daemons that have the configuration with offset 7 in force.
type fakeFleet struct {
	stale     bool         // publications are refused since their base is not in force
	behind    bool         // daemon-2 can't be reached
	undecided bool         // publications fail without a verdict
	accepted  crlid.Offset // offset that the daemons confirm, 0 until a publication is accepted
}

// Publish fails, refuses or accepts the publication, as the fields say.
func (f *fakeFleet) Publish(_ context.Context, p crlconfig.Publication) (crlconfig.Verdict, error) {
	if f.undecided {
		return crlconfig.Verdict{}, errors.New("log is out")
	}
	if f.stale || p.Base != 7 && !p.Force {
		return crlconfig.Verdict{
			Decision: crlconfig.DecisionStaleBase, Offset: 9, InForce: 8, Reason: fmt.Sprintf("made from %d but 8 is in force", p.Base),
		}, nil
	}
	f.accepted = 8
	return crlconfig.Verdict{Decision: crlconfig.DecisionAccepted, Offset: 8, InForce: 8}, nil
}

// Served returns a configuration with offset 7.
func (f *fakeFleet) Served(context.Context) (crlconfig.Accepted, error) {
	return crlconfig.Accepted{Offset: 7}, nil
}

// Confirmations returns the confirmations of both daemons. With behind set, that of daemon-2 holds an error.
func (f *fakeFleet) Confirmations(context.Context) []crladmin.Confirmation {
	second := crladmin.Confirmation{Daemon: "daemon-2", Offset: f.accepted}
	if f.behind {
		second = crladmin.Confirmation{Daemon: "daemon-2", Offset: crlid.NoOffset, Error: "no route"}
	}
	return []crladmin.Confirmation{{Daemon: "daemon-1", Offset: f.accepted}, second}
}

// Summary returns the bills of two accounts.
func (f *fakeFleet) Summary(context.Context) (crlbill.Summary, error) {
	return crlbill.Summary{Requests: 3, Duplicates: 1, Accounts: []crlbill.Account{
		{Organisation: "firm-a", Version: "drafter-1", Requests: 2, Answer: 40, Cost: 420},
		{Organisation: "firm-a", Service: "filing", Requests: 1, Cost: 50},
	}}, nil
}

// Status returns a daemon that is ready.
func (f *fakeFleet) Status() crladmin.Status {
	return crladmin.Status{Daemon: "daemon-1", Domain: "montevideo-1", Offset: 7, Ready: true, Term: 3}
}
