package crldaemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlsettings"
)

// benchParallelism is the number of concurrent callers per core.
const benchParallelism = 32

// startLoopback runs one daemon, and fakes of its platform and backend servers, on loopback addresses, and returns the daemon's
// address for callers. Answers have the given number of tokens.
func startLoopback(b *testing.B, tokens int) string {
	b.Helper()
	content, err := os.ReadFile("../examples/register.ini")
	if err != nil {
		b.Fatal(err)
	}
	fakes, err := crlfake.StartEnvironment(crlfake.EnvironmentConfig{Content: content, Platform: "127.0.0.1:0", AnyPort: true, Tokens: tokens})
	if err != nil {
		b.Fatal(err)
	}
	addresses, err := crlfake.FreeDaemonAddresses(1, []crlid.Domain{"montevideo-1"})
	if err != nil {
		b.Fatal(err)
	}
	file := crlfake.SettingsFile(addresses[0], addresses, fakes.PlatformURL, "drain-delay = 1ms")
	settings, err := crlsettings.Parse("bench", file)
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(b.Context())
	ended := make(chan error, 1)
	go func() { ended <- Serve(context.Background(), ctx, settings) }()
	b.Cleanup(func() {
		stop()
		_ = fakes.Close()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	})
	applyConfiguration(b, addresses[0].Admin, fakes.Content)
	return addresses[0].Listen
}

// applyConfiguration publishes a configuration through a daemon's admin address, and tries again every 20 ms until the daemon
// accepts it. It fails the benchmark after 100 tries.
func applyConfiguration(b *testing.B, admin string, content []byte) {
	b.Helper()
	body, err := json.Marshal(crlconfig.Publication{ID: "bench", Force: true, Content: content})
	if err != nil {
		b.Fatal(err)
	}
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		response, err := http.Post("http://"+admin+"/admin/configuration", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	b.Fatal("the daemon accepted no configuration within 100 tries")
}

// benchCalls sends one request body from many concurrent callers and reports requests per second, and tokens per second if
// tokens, the length of an answer, isn't 0.
func benchCalls(b *testing.B, url, body string, tokens int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 10}}
	defer client.CloseIdleConnections()
	b.SetParallelism(benchParallelism)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := benchCall(b.Context(), client, url, body); err != nil {
				b.Error(err)
				return
			}
		}
	})
	perSecond := float64(b.N) / b.Elapsed().Seconds()
	b.ReportMetric(perSecond, "requests/s")
	if tokens > 0 {
		b.ReportMetric(perSecond*float64(tokens), "tokens/s")
	}
}

func benchCall(ctx context.Context, client *http.Client, url, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer key-firm-a")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	return err
}

// BenchmarkLookups measures calls of the plain service "lookup" through one daemon.
func BenchmarkLookups(b *testing.B) {
	benchCalls(b, "http://"+startLoopback(b, 1)+"/v1/services/lookup", `{"id":1}`, 0)
}

// BenchmarkTokens measures chats with streamed answers of 400 tokens through one daemon.
func BenchmarkTokens(b *testing.B) {
	const tokens = 400
	url := "http://" + startLoopback(b, tokens) + "/v1/chat/completions"
	benchCalls(b, url, `{"model":"tagger-1","stream":true,"messages":[{"role":"user","content":"x"}]}`, tokens)
}
