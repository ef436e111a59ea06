package crlreport

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the random seed of rapid, so that every run draws the same cases. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
