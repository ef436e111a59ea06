package crlentry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cranberrylock/cranberrylock/crlengine"
)

// eventSink writes an answer as server-sent events. The id of each event is the frame number.
type eventSink struct {
	response *echo.Response
	buffer   []byte
}

// Head implements Sink.
func (s *eventSink) Head(head Head) error {
	setHeadHeaders(s.response.Header(), head)
	s.response.Header().Set("Content-Type", "text/event-stream")
	s.response.Header().Set("Cache-Control", "no-store")
	s.response.WriteHeader(http.StatusOK)
	return nil
}

// Frame implements Sink. It flushes each frame.
func (s *eventSink) Frame(frame crlengine.Frame) error {
	b := append(s.buffer[:0], "id: "...)
	b = strconv.AppendInt(b, int64(frame.Number), 10)
	b = append(b, "\ndata: "...)
	b = append(b, frame.Data...)
	b = append(b, "\n\n"...)
	if frame.Last {
		b = append(b, "data: "+crlengine.EndData+"\n\n"...)
	}
	s.buffer = b
	if _, err := s.response.Write(b); err != nil {
		return err
	}
	s.response.Flush()
	return nil
}

// finish reports a refusal to the caller. If nothing was sent yet, it returns the refusal, which handleError then sends as
// the reply; else it writes an event of type error.
func (s *eventSink) finish(refusal *Refusal) error {
	if refusal == nil {
		return nil
	}
	if !s.response.Committed {
		return refusal
	}
	body, err := json.Marshal(newErrorBody(refusal))
	if err != nil {
		return err
	}
	if _, err := s.response.Write([]byte("event: error\ndata: " + string(body) + "\n\n")); err != nil {
		return err
	}
	s.response.Flush()
	return nil
}

// completionSink collects an answer and writes it as one chat completion object.
type completionSink struct {
	context echo.Context
	head    Head
	text    strings.Builder
	usage   crlengine.Usage
}

// Head implements Sink.
func (s *completionSink) Head(head Head) error {
	s.head = head
	return nil
}

// Frame implements Sink.
func (s *completionSink) Frame(frame crlengine.Frame) error {
	s.text.WriteString(frame.Text)
	if frame.Last {
		s.usage = frame.Usage
	}
	return nil
}

func (s *completionSink) write() error {
	setHeadHeaders(s.context.Response().Header(), s.head)
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int     `json:"index"`
		Message      message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	return s.context.JSON(http.StatusOK, struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   string          `json:"model"`
		Choices []choice        `json:"choices"`
		Usage   crlengine.Usage `json:"usage"`
	}{
		ID: string(s.head.Request), Object: "chat.completion", Created: time.Now().Unix(), Model: string(s.head.Version),
		Choices: []choice{{Message: message{Role: "assistant", Content: s.text.String()}, FinishReason: "stop"}},
		Usage:   s.usage,
	})
}

func setHeadHeaders(header http.Header, head Head) {
	header.Set(HeaderRequest, string(head.Request))
	header.Set(HeaderVersion, string(head.Version))
	header.Set(HeaderStream, head.StreamToken)
	if head.SessionToken != "" {
		header.Set(HeaderSession, head.SessionToken)
	}
}
