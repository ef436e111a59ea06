package crldaemon

import (
	"testing"

	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlclaim"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlmember"
	"github.com/cranberrylock/cranberrylock/crlsettings"
)

// TestStreamsShareTheAppendBudget guards against shares of the log's append budget that add up to more than the whole: two streams that
// aren't named each had the tenth that was meant for all such streams, so that the daemons could append a tenth too often.
func TestStreamsShareTheAppendBudget(t *testing.T) {
	const budget = 300
	settings := &crlsettings.Settings{}
	settings.Limits.AppendBudget = budget
	d := &Daemon{config: Config{Settings: settings}}
	sum := 0
	for _, stream := range []crlid.Stream{crlclaim.Stream, crlbill.Stream, crlconfig.Stream, crlmember.Stream} {
		sum += d.appendBudget(stream)
	}
	if sum > budget {
		t.Errorf("the streams may take %d appends a second together, the budget is %d", sum, budget)
	}
}
