package crlcascade

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that each run has the same result. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
