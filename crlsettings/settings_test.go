package crlsettings

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse parses the settings files of testdata and compares a summary of the settings, or every problem with its line.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(_ *testing.T, d *datadriven.TestData) string {
		settings, err := Parse("daemon.ini", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		l := settings.Limits
		return fmt.Sprintf("daemon %s in %s, %d peers, freshness %s, attempts %d, body %d bytes\n",
			settings.Name, settings.Domain, len(settings.Peers), l.Freshness, l.Attempts, l.BodyBytes)
	})
}
