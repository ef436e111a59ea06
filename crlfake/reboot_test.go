package crlfake

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// TestFirstBootIsNoReboot guards against a history in which every run counts as one after a reboot: the check of cold limits passed over the
// first moments of every boot, not only of reboots.
func TestFirstBootIsNoReboot(t *testing.T) {
	history := &History{}
	engine := NewEngine(EngineConfig{Server: "draft-01", Versions: []crlid.Version{"v1"}, Tokens: 2, History: history})
	server := httptest.NewServer(engine)
	defer server.Close()
	call := func(request string) {
		body := `{"model":"v1","stream":true,"messages":[{"role":"user","content":"x"}]}`
		r, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("X-Request-Id", request)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
	call("r1")
	engine.Reboot()
	call("r2")
	runs := history.Runs()
	if len(runs) != 2 || runs[0].Rebooted || !runs[1].Rebooted {
		t.Errorf("runs %+v, want the first one before and the second one after a reboot", runs)
	}
}
