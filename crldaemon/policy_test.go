package crldaemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlfake"
)

// TestWorldLeavesABadVersion breaks every server of the cheap versions and expects that a daemon which saw no failure
// itself sends its next request elsewhere.
func TestClusterAvoidsAFailingVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, "../examples/register.ini", 3)
		defer w.close()
		w.applyFirstConfiguration()
		client := w.client("caller")
		defer client.CloseIdleConnections()
		for range 20 {
			w.requestLookup(client, w.daemons[0])
		}
		for id, s := range w.configuration.Servers {
			if len(s.Versions) > 0 && s.Versions[0] == "drafter-small-1" {
				w.engines[id].SetFaults(crlfake.EngineFaults{Fail: true})
			}
		}
		for range 20 {
			w.requestLookup(client, w.daemons[0])
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		for range 5 {
			if version, status := w.requestLookup(client, w.daemons[1]); status != http.StatusOK || !strings.HasPrefix(version, "drafter-large") {
				t.Errorf("answer of %q with status %d, want a large version", version, status)
			}
		}
		shares := w.daemons[2].daemon.Load().snapshots.Load().Shares
		if share, held := shares["tagger-1"]; !held || share != 0 {
			t.Errorf("shares %v at an idle daemon, want tagger-1 held", shares)
		}
	})
}

// lookUp asks a daemon for a short answer and returns the version that gave it.
func (w *testCluster) requestLookup(client *http.Client, d *daemonNode) (version string, status int) {
	w.t.Helper()
	body := strings.NewReader(`{"model":"auto","messages":[{"role":"user","content":"q"}]}`)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+d.Listen+"/v1/chat/completions", body)
	if err != nil {
		w.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer key-firm-a")
	request.Header.Set(crlentry.HeaderClass, "lookup")
	response, err := client.Do(request)
	if err != nil {
		w.t.Fatal(err)
	}
	defer response.Body.Close()
	return response.Header.Get(crlentry.HeaderVersion), response.StatusCode
}
