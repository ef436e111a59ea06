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

func newTestEngine(profile Profile) *Engine {
	return NewEngine(EngineConfig{
		Server: "engine-1", Versions: []crlid.Version{"a-1"}, Tokens: 4, TokenDelay: 10 * time.Millisecond,
		Profile: profile, History: &History{},
	})
}

// ask runs one chat of the engine to its end and returns how long it took.
func chat(e *Engine, priority, prompt string) time.Duration {
	began := time.Now()
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(fmt.Sprintf(`{"model":"a-1","messages":[%q]}`, prompt)))
	r.Header.Set(crlengine.HeaderPriority, priority)
	e.ServeHTTP(httptest.NewRecorder(), r)
	return time.Since(began)
}

func TestEngineSlowsPatientStreamsFirstAboveTheBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(Profile{Batch: 4})
		times := make(chan time.Duration, 3)
		for range 3 {
			go func() { times <- chat(e, "interactive", "x") }()
		}
		for range 5 {
			go chat(e, "patient", "x")
		}
		synctest.Wait()
		patient := chat(e, "patient", "x")
		if got := <-times; got != 40*time.Millisecond {
			t.Errorf("an interactive answer took %v, want 40ms", got)
		}
		if patient <= 100*time.Millisecond {
			t.Errorf("a patient answer took %v, want more than 100ms", patient)
		}
		synctest.Wait()
		time.Sleep(time.Second)
	})
}

func TestEnginePrefillsOnlyUncachedPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(Profile{PrefillPerKiB: 100 * time.Millisecond, CacheBlocks: 8})
		long := string(bytes.Repeat([]byte("a"), 2*bytesPerKiB))
		first, second := chat(e, "", long), chat(e, "", long)
		if first < 240*time.Millisecond || second > 70*time.Millisecond {
			t.Errorf("answers took %v and %v, want the second without most of its prefill", first, second)
		}
		chat(e, "", strings.Repeat("b", 2*bytesPerKiB))
		if third := chat(e, "", long); third < 240*time.Millisecond {
			t.Errorf("an answer took %v after its prompt was evicted, want its whole prefill", third)
		}
	})
}

func TestEngineRecordsOverloadInAColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(Profile{ColdFor: time.Second, ColdLimit: 1})
		go chat(e, "", "x")
		synctest.Wait()
		if took := chat(e, "", "x"); took < 100*time.Millisecond {
			t.Errorf("an overloaded cold engine answered in %v", took)
		}
		time.Sleep(time.Second)
		chat(e, "", "x")
		e.Reboot()
		chat(e, "", "x")
		var got []string
		for _, r := range e.config.History.Runs() {
			got = append(got, fmt.Sprintf("%t/%t", r.Cold, r.Overload))
		}
		if want := "[true/false true/true false/false true/false]"; fmt.Sprint(got) != want {
			t.Errorf("history has cold/overload %v, want %s", got, want)
		}
	})
}

// get returns the body and the reported load of one call of the engine.
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
			t.Errorf("load %s is reported at once, want that of the idle engine", load)
		}
		events, _ := call(e, http.MethodGet, "/v1/cache-events", "")
		if strings.Contains(events, "number") {
			t.Errorf("events %s are published at once, want none", events)
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
			t.Errorf("events %v are published, want %s", numbers, want)
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
			t.Fatalf("one answer is rated %v and %v", rating, again)
		}
		low, high = min(low, rating), max(high, rating)
	}
	if low < 0.6 || high > 0.8 || high-low < 0.15 {
		t.Errorf("ratings lie between %v and %v, want most of 0.6 to 0.8", low, high)
	}
}
