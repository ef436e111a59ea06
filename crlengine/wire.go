package crlengine

// Names of the HTTP headers between daemons and backend servers, and their fixed values.
const (
	HeaderVersion     = "Engine-Version"   // version that serves the request
	HeaderBoot        = "Engine-Boot"      // identifies the server's present boot
	HeaderStream      = "Engine-Stream"    // engine's name of the stream
	HeaderLoad        = "Engine-Load"      // number of requests that the engine runs
	HeaderRequest     = "Request-Id"       // request identifier
	HeaderPriority    = "Request-Priority" // interactive, or patient for a request that can wait
	HeaderDeadline    = "Request-Deadline" // remaining time in milliseconds
	HeaderOutcome     = "Request-Outcome"  // OutcomeNotRun if the server did not run the request
	HeaderLastEventID = "Last-Event-ID"    // number of the last received frame, on a resume
	OutcomeNotRun     = "not-run"
)

// Chunk is one frame of a streamed chat answer in the OpenAI-compatible form.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of an answer. A Chunk has one.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a Chunk adds to the answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage counts the tokens of the prompt and of the complete answer.
type Usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Total      int64 `json:"total_tokens"`
}

// EndData is the data of the event after the last frame of a stream.
const EndData = "[DONE]"
