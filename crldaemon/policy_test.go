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

// TestClusterAvoidsAFailingVersion makes every server of the small versions fail. Daemons must exchange their counts of failures,
// so that a daemon that saw no failure itself sends its next requests to a large version.
func TestClusterAvoidsAFailingVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "../examples/register.ini", 3)
		defer cluster.close()
		cluster.applyFirstConfiguration()
		client := cluster.client("caller")
		defer client.CloseIdleConnections()
		for range 20 {
			cluster.requestLookup(client, cluster.daemons[0])
		}
		for id, s := range cluster.configuration.Servers {
			if len(s.Versions) > 0 && s.Versions[0] == "drafter-small-1" {
				cluster.engines[id].SetFaults(crlfake.EngineFaults{Fail: true})
			}
		}
		for range 20 {
			cluster.requestLookup(client, cluster.daemons[0])
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		for range 5 {
			if version, status := cluster.requestLookup(client, cluster.daemons[1]); status != http.StatusOK ||
				!strings.HasPrefix(version, "drafter-large") {
				t.Errorf("answer of %q with status %d, want a large version", version, status)
			}
		}
		shares := cluster.daemons[2].daemon.Load().snapshots.Load().Shares
		if share, held := shares["tagger-1"]; !held || share != 0 {
			t.Errorf("shares %v at a daemon without requests, want a share of 0 for tagger-1", shares)
		}
	})
}

// requestLookup sends a chat request of class lookup to a daemon and returns the version that answered and the HTTP status.
func (c *testCluster) requestLookup(client *http.Client, d *daemonNode) (version string, status int) {
	c.t.Helper()
	body := strings.NewReader(`{"model":"auto","messages":[{"role":"user","content":"q"}]}`)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+d.Listen+"/v1/chat/completions", body)
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer key-firm-a")
	request.Header.Set(crlentry.HeaderClass, "lookup")
	response, err := client.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	return response.Header.Get(crlentry.HeaderVersion), response.StatusCode
}
