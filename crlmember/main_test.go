package crlmember

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// TestMain fixes the seed of rapid, so that runs are repeatable; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// epoch is the time at which the tests of state machines start.
var epoch = time.Unix(1000, 0)

// member returns the first run of the i-th daemon of a fleet in three failure domains.
func member(i int) Member {
	return Member{
		Name: crlid.Daemon(fmt.Sprintf("daemon-%03d", i)), Incarnation: crlid.Incarnation(fmt.Sprintf("run-%03d", i)),
		Address: fmt.Sprintf("10.0.%d.%d:8002", i/250, i%250+1), Domain: crlid.Domain(fmt.Sprintf("domain-%d", i%3)),
	}
}

// memberList returns the first n members.
func memberList(n int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = member(i)
	}
	return list
}
