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

	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// EngineFaults are the switches of an Engine.
type EngineFaults struct {
	Fail         bool          `json:"fail"`         // Fail answers every call with an error.
	Refuse       bool          `json:"refuse"`       // Refuse answers every call with a truthful "not run".
	BreakAfter   crlid.Frame   `json:"break-after"`  // BreakAfter cuts each answer after a frame, 0 never.
	TokenDelay   time.Duration `json:"token-delay"`  // TokenDelay is added between frames.
	WrongVersion crlid.Version `json:"lie-version"`  // LieVersion answers as another version.
	RepeatEvery  crlid.Frame   `json:"repeat-every"` // RepeatEvery sends every nth frame twice, 0 never.
	Misdeliver   bool          `json:"misdeliver"`   // Misdeliver sends frames of another request, for tests of checks.
}

// EngineConfig configures an Engine.
type EngineConfig struct {
	Server     crlid.Server
	Versions   []crlid.Version
	Tokens     int           // Tokens is the length of each answer.
	TokenDelay time.Duration // TokenDelay is the time between tokens.
	Profile    Profile       // Profile is how the engine behaves under load.
	History    *History
}

// Engine is a model engine that streams numbered frames and can resume a stream.
type Engine struct {
	config  EngineConfig
	echo    *echo.Echo
	mu      sync.Mutex // mu guards the fields below.
	faults  EngineFaults
	boot    crlid.Boot
	reboots int
	load    *loadState
	cache   *prefixCache
	streams map[string]*engineStream
}

type engineStream struct {
	version   crlid.Version
	requested crlid.Version // asked is the version that the daemon wanted, not that of an engine that lies.
	request   crlid.Request
	priority  string
	tokens    int
	prompt    []byte
	began     time.Time
}

// NewEngine returns an engine that has just booted.
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

// ServeHTTP serves one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.echo.ServeHTTP(w, r) }

// SetFaults replaces the switches.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Reboot gives the engine a new boot, turns it cold and forgets its streams and cache.
func (e *Engine) Reboot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reboots++
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
	pace, run := e.startStream(stream)
	defer e.endStream(pace, stream)
	run.Resumed, run.RequestedVersion = after > 0, stream.requested
	e.config.History.Add(run)
	e.sendHeader(c, name, stream)
	if after == 0 && !e.wait(c, pace, stream, e.prefill(stream)) {
		return nil
	}
	for n := after + 1; int(n) <= stream.tokens; n++ {
		faults := e.currentFaults()
		if faults.BreakAfter > 0 && n > faults.BreakAfter && after == 0 {
			return nil
		}
		if !e.wait(c, pace, stream, e.config.TokenDelay+faults.TokenDelay) {
			return nil
		}
		if err := e.sendFrame(c, stream, n, faults); err != nil {
			return nil
		}
	}
	_, _ = fmt.Fprintf(c.Response(), "data: %s\n\n", crlengine.EndData)
	return nil
}

// wait takes one step of the stream as long as the load demands, and reports whether its caller stayed.
func (e *Engine) wait(c echo.Context, pace *loadState, stream *engineStream, step time.Duration) bool {
	e.mu.Lock()
	slowdown := pace.slowdown(stream.priority, time.Now())
	e.mu.Unlock()
	timer := time.NewTimer(time.Duration(float64(step) * slowdown))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.Request().Context().Done():
		return false
	}
}

// prefill returns the time to read what is not cached of the prompt.
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
	times := 1
	if faults.RepeatEvery > 0 && n%faults.RepeatEvery == 0 {
		times++
	}
	for range times {
		if _, err := fmt.Fprintf(c.Response(), "id: %d\ndata: %s\n\n", n, data); err != nil {
			return err
		}
	}
	c.Response().Flush()
	return nil
}

// FrameText returns the text of one frame of the answer to a request.
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

// enter counts the stream on the present boot and returns what the history should hold.
func (e *Engine) startStream(stream *engineStream) (*loadState, Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load, cold, overload := e.load.startStream(stream.priority, time.Now())
	return e.load, Run{
		Server: e.config.Server, Request: stream.request, Version: stream.version,
		OpenRequests: load, Cold: cold, Overload: overload, Booted: e.load.booted, Rebooted: e.reboots > 0,
	}
}

func (e *Engine) endStream(pace *loadState, stream *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	pace.endStream(stream.priority, time.Now())
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}
