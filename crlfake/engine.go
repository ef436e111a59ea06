package crlfake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// EngineFaults selects the faults that an Engine injects; the zero value selects none.
type EngineFaults struct {
	Fail         bool          `json:"fail"`         // answers every chat request with status 500
	Refuse       bool          `json:"refuse"`       // answers every chat request with status 503 and states truthfully that it did not run
	BreakAfter   crlid.Frame   `json:"break-after"`  // ends each new answer early, after this frame; 0 for never
	TokenDelay   time.Duration `json:"token-delay"`  // added to the time before each frame
	WrongVersion crlid.Version `json:"lie-version"`  // version that answers instead of the requested one, empty for none
	RepeatEvery  crlid.Frame   `json:"repeat-every"` // sends each RepeatEvery-th frame twice, 0 for never
	Misdeliver   bool          `json:"misdeliver"`   // sends the frames of another request, to test that the history checks detect it
}

// EngineConfig configures an Engine.
type EngineConfig struct {
	Server     crlid.Server
	Versions   []crlid.Version
	Tokens     int           // tokens per answer, unless the request has a max_tokens above 0
	TokenDelay time.Duration // time before each token on an idle engine
	Profile    Profile       // behaviour under load
	History    *History
}

// Engine is a fake model engine that streams answers as numbered frames, one token each, and can resume a stream.
type Engine struct {
	config  EngineConfig
	echo    *echo.Echo
	mu      sync.Mutex // guards the fields below
	faults  EngineFaults
	boot    crlid.Boot
	boots   int                      // number of boots, including the first
	load    *loadState               // replaced at a reboot
	cache   *prefixCache             // replaced at a reboot
	streams map[string]*engineStream // by the name in the header Engine-Stream, since the last boot
}

// engineStream is an answer that can be resumed until the next reboot.
type engineStream struct {
	version   crlid.Version
	requested crlid.Version // requested by the daemon; differs from version under the fault WrongVersion
	request   crlid.Request
	priority  string
	tokens    int
	prompt    []byte // the messages of the request in JSON
	began     time.Time
}

// NewEngine returns an engine that has just booted, without faults.
func NewEngine(config EngineConfig) *Engine {
	e := &Engine{config: config, echo: echo.New()}
	e.Reboot()
	e.echo.POST("/v1/chat/completions", e.chat)
	e.echo.GET("/v1/streams/:name", e.resume)
	e.echo.GET("/v1/cache-events", e.cacheEvents)
	e.echo.PUT("/faults", e.putFaults)
	e.echo.POST("/reboot", e.postReboot)
	return e
}

// ServeHTTP serves one HTTP request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.echo.ServeHTTP(w, r) }

// SetFaults replaces the injected faults. It affects running streams too.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Reboot gives the engine a new boot identifier, makes it cold and drops its streams and cache. Answers that are being sent
// continue.
func (e *Engine) Reboot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boots++
	e.boot = crlid.Boot(uuid.NewString())
	e.streams = make(map[string]*engineStream)
	e.cache = newPrefixCache(e.config.Profile)
	e.load = &loadState{profile: e.config.Profile, booted: time.Now()}
}

func (e *Engine) postReboot(c echo.Context) error {
	e.Reboot()
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) cacheEvents(c echo.Context) error {
	after, _ := strconv.Atoi(c.QueryParam("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(http.StatusOK, e.cache.eventsAfter(after, time.Now()))
}

func (e *Engine) putFaults(c echo.Context) error {
	var faults EngineFaults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	e.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) chat(c echo.Context) error {
	var body struct {
		Model     crlid.Version   `json:"model"`
		Messages  json.RawMessage `json:"messages"`
		MaxTokens int             `json:"max_tokens"`
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	faults := e.currentFaults()
	if faults.Refuse || !slices.Contains(e.config.Versions, body.Model) {
		c.Response().Header().Set(crlengine.HeaderOutcome, crlengine.OutcomeNotRun)
		return c.NoContent(http.StatusServiceUnavailable)
	}
	if faults.Fail {
		return c.NoContent(http.StatusInternalServerError)
	}
	header := c.Request().Header
	stream := &engineStream{
		version: body.Model, requested: body.Model, request: crlid.Request(header.Get(crlengine.HeaderRequest)),
		priority: header.Get(crlengine.HeaderPriority), tokens: e.config.Tokens, prompt: body.Messages, began: time.Now(),
	}
	if body.MaxTokens > 0 {
		stream.tokens = body.MaxTokens
	}
	if faults.WrongVersion != "" {
		stream.version = faults.WrongVersion
	}
	return e.streamAnswer(c, e.register(stream), stream, 0)
}

func (e *Engine) resume(c echo.Context) error {
	e.mu.Lock()
	stream, ok := e.streams[c.Param("name")]
	e.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	after, _ := strconv.ParseInt(c.Request().Header.Get(crlengine.HeaderLastEventID), 10, 64)
	return e.streamAnswer(c, c.Param("name"), stream, crlid.Frame(after))
}

func (e *Engine) register(stream *engineStream) string {
	name := uuid.NewString()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[name] = stream
	return name
}

func (e *Engine) streamAnswer(c echo.Context, name string, stream *engineStream, after crlid.Frame) error {
	load, run := e.startStream(stream)
	defer e.endStream(load, stream)
	run.Resumed, run.RequestedVersion = after > 0, stream.requested
	e.config.History.Add(run)
	e.sendHeader(c, name, stream)
	if after == 0 && !e.wait(c, load, stream, e.prefill(stream)) {
		return nil
	}
	for n := after + 1; int(n) <= stream.tokens; n++ {
		faults := e.currentFaults()
		if faults.BreakAfter > 0 && n > faults.BreakAfter && after == 0 {
			return nil
		}
		if !e.wait(c, load, stream, e.config.TokenDelay+faults.TokenDelay) {
			return nil
		}
		if err := e.sendFrame(c, stream, n, faults); err != nil {
			return nil
		}
	}
	_, _ = fmt.Fprintf(c.Response(), "data: %s\n\n", crlengine.EndData)
	return nil
}

// wait waits for the time that a step of the stream takes: its time on an idle engine, times the slowdown under the present
// load. It returns false if the caller disconnects before. load is that of the boot on which the stream runs.
func (e *Engine) wait(c echo.Context, load *loadState, stream *engineStream, step time.Duration) bool {
	e.mu.Lock()
	slowdown := load.slowdown(stream.priority, time.Now())
	e.mu.Unlock()
	ctx := c.Request().Context()
	crlclock.Sleep(ctx, time.Duration(float64(step)*slowdown))
	return ctx.Err() == nil
}

// prefill caches the stream's prompt and returns the time to process the part of it that was not cached.
func (e *Engine) prefill(stream *engineStream) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	uncached := e.cache.add(stream.prompt, time.Now())
	return e.config.Profile.PrefillPerKiB * time.Duration(uncached) / bytesPerKiB
}

func (e *Engine) sendHeader(c echo.Context, name string, stream *engineStream) {
	e.mu.Lock()
	boot, load := e.boot, e.load.reportedLoad(time.Now())
	e.mu.Unlock()
	header := c.Response().Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(crlengine.HeaderVersion, string(stream.version))
	header.Set(crlengine.HeaderBoot, string(boot))
	header.Set(crlengine.HeaderStream, name)
	header.Set(crlengine.HeaderLoad, strconv.Itoa(load))
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
}

func (e *Engine) sendFrame(c echo.Context, stream *engineStream, n crlid.Frame, faults EngineFaults) error {
	if faults.Misdeliver {
		stream = &engineStream{request: "another", version: stream.version, tokens: stream.tokens}
	}
	data, err := json.Marshal(e.chunk(stream, n))
	if err != nil {
		return err
	}
	copies := 1
	if faults.RepeatEvery > 0 && n%faults.RepeatEvery == 0 {
		copies++
	}
	for range copies {
		if _, err := fmt.Fprintf(c.Response(), "id: %d\ndata: %s\n\n", n, data); err != nil {
			return err
		}
	}
	c.Response().Flush()
	return nil
}

// FrameText returns the text of frame n of the answer to a request. It differs for each request, so that tests recognise
// frames of another request's answer.
func FrameText(request crlid.Request, n crlid.Frame) string { return fmt.Sprintf("%s-%d ", request, n) }

func (*Engine) chunk(stream *engineStream, n crlid.Frame) crlengine.Chunk {
	chunk := crlengine.Chunk{
		ID: string(stream.request), Object: "chat.completion.chunk", Model: string(stream.version),
		Choices: []crlengine.Choice{{Delta: crlengine.Delta{Content: FrameText(stream.request, n)}}},
	}
	if int(n) == stream.tokens {
		stop := "stop"
		chunk.Choices[0].FinishReason = &stop
		tokens := int64(stream.tokens)
		chunk.Usage = &crlengine.Usage{Prompt: 1, Completion: tokens, Total: tokens + 1}
	}
	return chunk
}

// startStream counts a stream that starts or resumes in the load of the engine's present boot. It returns that load and the
// run to record in the history.
func (e *Engine) startStream(stream *engineStream) (*loadState, Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	streams, cold, overload := e.load.startStream(stream.priority, time.Now())
	return e.load, Run{
		Server: e.config.Server, Request: stream.request, Version: stream.version,
		OpenRequests: streams, Cold: cold, Overload: overload, Booted: e.load.booted, Rebooted: e.boots > 1,
	}
}

func (e *Engine) endStream(load *loadState, stream *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load.endStream(stream.priority, time.Now())
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}
