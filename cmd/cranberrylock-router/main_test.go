package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/cranberrylock/cranberrylock/platform/standin"
)

// processVariable makes the test's own program run as the router, if it is set.
const processVariable = "CRANBERRYLOCK_TEST_AS_ROUTER"

func TestMain(m *testing.M) {
	if os.Getenv(processVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// TestOutputThatNobodyReads guards against a router that ends at its next log line, and cuts every open request, because the reader
// of its standard output has gone, as when a collector of log lines restarts.
func TestOutputThatNobodyReads(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings.toml")
	content := standin.Settings(standin.RouterSettings{Name: "r", Zone: "z", IP: "127.0.0.1", Port: 8000, Store: "127.0.0.1:1"})
	if err := os.WriteFile(settings, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = writer.Close() }()
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0], "--settings", settings, "--check-settings") // It writes one line to standard output.
	command.Env = append(os.Environ(), processVariable+"=1")
	command.Stdout, command.Stderr = writer, os.Stderr
	if err := command.Run(); err != nil {
		t.Errorf("router whose standard output nobody reads: %v, want exit 0", err)
	}
}
