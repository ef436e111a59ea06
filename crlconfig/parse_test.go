package crlconfig

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/cranberrylock/cranberrylock/crlini"
)

// TestExamplesAreValid checks that the configurations under examples/ pass the checker and have the expected size.
func TestExamplesAreValid(t *testing.T) {
	for _, want := range []struct {
		file                            string
		organisations, domains, engines int
	}{{"demo.ini", 2, 2, 4}, {"register.ini", 10, 4, 10}, {"lineage.ini", 10, 3, 20}} {
		content, err := os.ReadFile(filepath.Join("../examples", want.file))
		if err != nil {
			t.Fatal(err)
		}
		c, err := Parse(want.file, content)
		if err != nil {
			t.Errorf("%s: %v", want.file, err)
			continue
		}
		engines := 0
		for _, s := range c.Servers {
			if s.Kind == KindEngine {
				engines++
			}
		}
		if len(c.Organisations) != want.organisations || len(c.Domains) != want.domains || engines < want.engines {
			t.Errorf("%s: %d organisations, %d domains, %d engines, want %+v", want.file, len(c.Organisations), len(c.Domains), engines, want)
		}
	}
}

// FuzzParse checks that any content is either accepted, and then has a name and a class, or refused with at least one problem.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[configuration]\nname = x\n[class c]\n"))
	f.Add([]byte("[organisation]\n\\\n[[\n= = =\n"))
	f.Add([]byte("a = `\n[server s]\naddress = 1.2.3.4:5\nversions = , ,\n"))
	f.Add([]byte("\xef\xbb\xbf[class \"\"\"]\nfirst-token = 1ns\r\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		c, err := Parse("fuzzed", content)
		var problems *crlini.Error
		switch {
		case err == nil && (c.Name == "" || len(c.Classes) == 0):
			t.Errorf("accepted without a name or a class: %+v", c)
		case err != nil && (!errors.As(err, &problems) || len(problems.Problems) == 0):
			t.Errorf("refused without a problem: %v", err)
		}
	})
}
