package crlentry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Header names of the interface between callers and daemons.
const (
	HeaderSession        = "Cranberrylock-Session"        // session token, in requests and answers
	HeaderStream         = "Cranberrylock-Stream"         // stream token: in answers, and in requests that resume an answer
	HeaderRequest        = "Cranberrylock-Request"        // request identifier, in answers
	HeaderVersion        = "Cranberrylock-Version"        // model version that generated the answer
	HeaderClass          = "Cranberrylock-Class"          // service class of the request
	HeaderQualityTarget  = "Cranberrylock-Quality-Target" // above 0 and at most 1, overrides the target of the class
	HeaderDeadline       = "Cranberrylock-Deadline-Ms"    // remaining time in milliseconds
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID" // in requests that resume an answer, number of the last frame that the caller has
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Service      *Service
	MaxBodyBytes int64 // limit on the body of a request
}

// Server is the HTTP interface to a Service. It is safe for concurrent use.
type Server struct {
	config ServerConfig
	echo   *echo.Echo
}

// NewServer returns a server that serves chat completions, resumed streams, plain services and the list of models.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config, echo: echo.New()}
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.POST("/v1/chat/completions", s.chat)
	s.echo.GET("/v1/streams", s.stream)
	s.echo.POST("/v1/services/:name", s.service)
	s.echo.GET("/v1/models", s.models)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

func (s *Server) chat(c echo.Context) error {
	call, refusal := s.readCall(c)
	if refusal != nil {
		return refusal
	}
	if call.Wanted, call.Streamed, refusal = parseChat(call.Body); refusal != nil {
		return refusal
	}
	return s.complete(c, call)
}

func (s *Server) stream(c echo.Context) error {
	call, refusal := s.readCall(c)
	if refusal != nil {
		return refusal
	}
	header := c.Request().Header
	if call.StreamToken = header.Get(HeaderStream); call.StreamToken == "" {
		return refuse(CodeStreamTokenRefused, "header %s is required", HeaderStream)
	}
	after, err := strconv.ParseInt(header.Get(HeaderLastEventID), 10, 64)
	if header.Get(HeaderLastEventID) != "" && (err != nil || after < 0) {
		return refuse(CodeMalformedRequest, "header %s must be a frame number", HeaderLastEventID)
	}
	call.After, call.Streamed = crlid.Frame(after), true
	return s.complete(c, call)
}

func (s *Server) complete(c echo.Context, call Call) error {
	if call.Streamed {
		sink := &eventSink{response: c.Response()}
		return sink.finish(s.config.Service.Complete(c.Request().Context(), call, sink))
	}
	sink := &completionSink{context: c}
	if refusal := s.config.Service.Complete(c.Request().Context(), call, sink); refusal != nil {
		return refusal
	}
	return sink.write()
}

func (s *Server) service(c echo.Context) error {
	call, refusal := s.readCall(c)
	if refusal != nil {
		return refusal
	}
	call.Service = crlid.Service(c.Param("name"))
	answer, refusal := s.config.Service.Call(c.Request().Context(), call)
	if refusal != nil {
		return refusal
	}
	return c.Blob(answer.Status, answer.ContentType, answer.Body)
}

func (s *Server) models(c echo.Context) error {
	call, refusal := s.readCall(c)
	if refusal != nil {
		return refusal
	}
	versions, refusal := s.config.Service.Models(c.Request().Context(), call)
	if refusal != nil {
		return refusal
	}
	type model struct {
		ID      crlid.Version `json:"id"`
		Object  string        `json:"object"`
		OwnedBy crlid.Model   `json:"owned_by"`
	}
	models := make([]model, len(versions))
	for i, v := range versions {
		models[i] = model{ID: v.ID, Object: "model", OwnedBy: v.Model}
	}
	return c.JSON(http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: models})
}

// readCall reads the headers and the body that all kinds of calls share, and assigns the request identifier.
func (s *Server) readCall(c echo.Context) (Call, *Refusal) {
	r := c.Request()
	call := Call{
		Request:        crlid.NewRequest(),
		APIKey:         strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "),
		Class:          crlid.Class(r.Header.Get(HeaderClass)),
		SessionToken:   r.Header.Get(HeaderSession),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		ContentType:    r.Header.Get("Content-Type"),
	}
	c.Response().Header().Set(HeaderRequest, string(call.Request))
	if refusal := readDeadline(r.Header, &call); refusal != nil {
		return Call{}, refusal
	}
	if refusal := readTarget(r.Header, &call); refusal != nil {
		return Call{}, refusal
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, s.config.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return Call{}, refuse(CodeTooLarge, "request body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return Call{}, refuse(CodeMalformedRequest, "cannot read request body: %v", err)
	}
	call.Body = body
	return call, nil
}

func readDeadline(header http.Header, call *Call) *Refusal {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil || milliseconds <= 0 {
		return refuse(CodeMalformedRequest, "header %s must be a positive number of milliseconds", HeaderDeadline)
	}
	call.Deadline = time.Now().Add(time.Duration(milliseconds) * time.Millisecond)
	return nil
}

func readTarget(header http.Header, call *Call) *Refusal {
	text := header.Get(HeaderQualityTarget)
	if text == "" {
		return nil
	}
	target, err := strconv.ParseFloat(text, 64)
	if err != nil || !(target > 0 && target <= 1) {
		return refuse(CodeMalformedRequest, "header %s must be above 0 and at most 1", HeaderQualityTarget)
	}
	call.QualityTarget = crlid.Quality(target)
	return nil
}

// errorBody is the JSON form of a refusal, in the error format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         Code   `json:"code"`
	Ran          Ran    `json:"ran"`
	RetryAfterMs int64  `json:"retry-after-ms,omitempty"`
}

func newErrorBody(r *Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Message: r.Message, Type: "cranberrylock", Code: r.Code, Ran: r.Ran,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}}
}

// handleError writes the error of a handler as a refusal in JSON, unless the answer has already begun.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var refusal *Refusal
	var httpError *echo.HTTPError
	switch {
	case errors.As(err, &refusal):
	case errors.As(err, &httpError):
		_ = c.JSON(httpError.Code, newErrorBody(refuse(CodeMalformedRequest, "%v", httpError.Message)))
		return
	default:
		refusal = &Refusal{Code: CodeBackendFailed, Ran: RanUnknown, Message: err.Error()}
	}
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		c.Response().Header().Set("Retry-After", fmt.Sprint(int64(seconds)))
	}
	_ = c.JSON(refusal.Status(), newErrorBody(refusal))
}
