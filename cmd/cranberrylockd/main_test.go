package main

import (
	"os"
	"os/exec"
	"testing"
)

// processVariable makes the test's own program run as the daemon, if it is set.
const processVariable = "CRANBERRYLOCK_TEST_AS_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(processVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// TestOutputThatNobodyReads guards against a daemon that ends at its next line of output, and cuts every open request, because the
// reader of that output has gone, as when a collector of log lines restarts.
func TestOutputThatNobodyReads(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = writer.Close() }()
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0], "--settings", "../../examples/daemon-1.ini", "--check-settings") // It writes one line.
	command.Env = append(os.Environ(), processVariable+"=1")
	command.Stdout, command.Stderr = writer, os.Stderr
	if err := command.Run(); err != nil {
		t.Errorf("daemon whose output nobody reads: %v, want exit 0", err)
	}
}
