package crlfake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// newTestEngine returns an engine whose answers have 4 tokens and so take 40 ms, not counting prefill and load.
func newTestEngine(profile Profile) *Engine {
	return NewEngine(EngineConfig{
		Server: "engine-1", Versions: []crlid.Version{"a-1"}, Tokens: 4, TokenDelay: 10 * time.Millisecond,
		Profile: profile, History: &History{},
	})
}

// chat sends a chat request, reads its answer to the end and returns the time that it took.
func chat(e *Engine, priority, prompt string) time.Duration {
	start := time.Now()
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(fmt.Sprintf(`{"model":"a-1","messages":[%q]}`, prompt)))
	r.Header.Set(crlengine.HeaderPriority, priority)
	e.ServeHTTP(httptest.NewRecorder(), r)
	return time.Since(start)
}

func TestEngineSlowsPatientStreamsFirstAboveTheBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(Profile{Batch: 4})
		times := make(chan time.Duration, 3)
		for range 3 {
			go func() { times <- chat(e, "interactive", "x") }()
			synctest.Wait() // A stream that begins beside fewer others makes its first token sooner.
		}
		for range 5 {
			go chat(e, "patient", "x")
			synctest.Wait()
		}
		// The interactive streams leave one place of the batch to six patient ones.
		patient := chat(e, "patient", "x")
		if got := <-times; got != 40*time.Millisecond {
			t.Errorf("an interactive answer took %v beside patient streams, want 40ms", got)
		}
		if patient <= 100*time.Millisecond {
			t.Errorf("a patient answer took %v above the batch size, want more than 100ms", patient)
		}
		synctest.Wait()
		time.Sleep(time.Second) // The other patient streams end, as synctest requires.
	})
}

func TestEnginePrefillsOnlyUncachedPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(Profile{PrefillPerKiB: 100 * time.Millisecond, CacheBlocks: 8})
		// Prefill of these 2 KiB takes 200 ms. They fill the cache, so that the next long prompt evicts them.
		long := string(bytes.Repeat([]byte("a"), 2*bytesPerKiB))
		first, second := chat(e, "", long), chat(e, "", long)
		if first < 240*time.Millisecond || second > 70*time.Millisecond {
			t.Errorf("answers to one prompt took %v and then %v, want at least 240ms, then at most 70ms as the prompt is cached", first, second)
		}
		chat(e, "", strings.Repeat("b", 2*bytesPerKiB))
		if third := chat(e, "", long); third < 240*time.Millisecond {
			t.Errorf("an answer took %v after its prompt was evicted, want at least 240ms with the whole prefill", third)
		}
	})
}

func TestEngineRecordsOverloadInAColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(Profile{ColdFor: time.Second, ColdLimit: 1})
		go chat(e, "", "x")
		synctest.Wait()
		if took := chat(e, "", "x"); took < 100*time.Millisecond {
			t.Errorf("an overloaded cold engine answered in %v, want at least 100ms", took)
		}
		time.Sleep(time.Second)
		chat(e, "", "x")
		e.Reboot()
		chat(e, "", "x")
		var got []string
		for _, run := range e.config.History.Runs() {
			got = append(got, fmt.Sprintf("%t/%t", run.Cold, run.Overload))
		}
		if want := "[true/false true/true false/false true/false]"; fmt.Sprint(got) != want {
			t.Errorf("cold/overload of the recorded runs: got %v, want %s", got, want)
		}
	})
}

// call sends a request to the engine and returns the body of the answer and the load that the engine reported.
func call(e *Engine, method, path, body string) (string, string) {
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Body.String(), w.Header().Get(crlengine.HeaderLoad)
}

func TestEngineDelaysReportedLoadAndDropsEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(Profile{LoadLag: 15 * time.Millisecond, CacheBlocks: 4, EventLag: time.Second, EventGap: 3})
		go chat(e, "", strings.Repeat("a", 4*prefixBlockBytes))
		time.Sleep(time.Millisecond)
		const body = `{"model":"a-1","messages":["x"]}`
		if _, load := call(e, http.MethodPost, "/v1/chat/completions", body); load != "0" {
			t.Errorf("reported load %s before LoadLag passed, want 0 as on the idle engine", load)
		}
		events, _ := call(e, http.MethodGet, "/v1/cache-events", "")
		if strings.Contains(events, "number") {
			t.Errorf("got cache events %s before EventLag passed, want none", events)
		}
		time.Sleep(time.Second)
		events, _ = call(e, http.MethodGet, "/v1/cache-events", "")
		var published []CacheEvent
		if err := json.Unmarshal([]byte(events), &published); err != nil {
			t.Fatal(err)
		}
		var numbers []int
		for _, event := range published {
			numbers = append(numbers, event.Number)
		}
		if want := "[1 2 4]"; fmt.Sprint(numbers) != want {
			t.Errorf("published cache events have the numbers %v, want %s with every third dropped", numbers, want)
		}
	})
}

func TestRatingsVaryAroundTheQualityOfTheVersion(t *testing.T) {
	r := NewRatings()
	r.SetQuality("a-1", 0.7)
	r.SetSpread(0.1)
	low, high := crlid.Quality(1), crlid.Quality(0)
	for i := range 200 {
		request := crlplatform.RatingRequest{Version: "a-1", Request: crlid.Request(fmt.Sprint(i))}
		rating, err := r.Rate(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		again, _ := r.Rate(t.Context(), request)
		if again != rating {
			t.Fatalf("one answer was rated %v and then %v, want equal ratings", rating, again)
		}
		low, high = min(low, rating), max(high, rating)
	}
	if low < 0.6 || high > 0.8 || high-low < 0.15 {
		t.Errorf("ratings range from %v to %v, want at least 0.15 of the range from 0.6 to 0.8", low, high)
	}
}
