package crlpeer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"
)

// Method names a call between daemons, in kebab case.
type Method string

// Handler serves one method; params is the JSON of the caller's typed message.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Mux holds the methods that a daemon serves; Register is called before Serve.
type Mux struct {
	handlers map[Method]Handler
}

// NewMux returns a mux without methods.
func NewMux() *Mux { return &Mux{handlers: make(map[Method]Handler)} }

// Register adds a method; a method registered twice is a broken invariant.
func (m *Mux) Register(method Method, handler Handler) {
	if _, ok := m.handlers[method]; ok {
		panic(fmt.Sprintf("peer: method %s registered twice", method))
	}
	m.handlers[method] = handler
}

// Typed returns a handler that decodes params into a message of type P.
func Typed[P, R any](serve func(ctx context.Context, params P) (R, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return serve(ctx, params)
	}
}

// Handle serves one call and returns its reply.
func (m *Mux) Handle(ctx context.Context, method Method, params json.RawMessage) (any, error) {
	handler, ok := m.handlers[method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: string(method)}
	}
	return handler(ctx, params)
}

// Serve accepts connections of peers until the listener is closed or ctx ends.
func (m *Mux) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		connection, err := listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}
		connections.Go(func() { m.serveConnection(ctx, connection) })
	}
}

// Bounds of one connection of a peer.
const (
	maxOpenCalls      = 256
	replyWriteTimeout = time.Second
)

func (m *Mux) serveConnection(ctx context.Context, connection net.Conn) {
	stream := jsonrpc2.NewPlainObjectStream(&deadlineConn{Conn: connection, timeout: replyWriteTimeout})
	s := &session{mux: m, callSlots: make(chan struct{}, maxOpenCalls), writeToken: make(chan struct{}, 1)}
	rpc := jsonrpc2.NewConn(ctx, stream, s, discardLog())
	defer func() {
		if err := rpc.Close(); err != nil {
			klog.V(2).Infof("peer: close: %v", err)
		}
	}()
	select {
	case <-ctx.Done():
	case <-rpc.DisconnectNotify():
	}
}

// quiet drops the library's log lines on connections that end, which is how peers leave.
func discardLog() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) }

// session serves the calls of one connection, a bounded number at once.
type session struct {
	mux        *Mux
	callSlots  chan struct{}
	writeToken chan struct{} // sending holds a token while a reply is written, since the connection's own lock heeds no deadline.
}

// Handle serves a call on a goroutine of its own.
func (s *session) Handle(ctx context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case s.callSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-s.callSlots }()
		s.serve(ctx, rpc, r)
	}()
}

func (s *session) serve(ctx context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request) {
	params := json.RawMessage("null")
	if r.Params != nil {
		params = *r.Params
	}
	result, failure := s.mux.Handle(ctx, Method(r.Method), params)
	s.writeToken <- struct{}{}
	defer func() { <-s.writeToken }()
	if failure == nil {
		_ = rpc.Reply(ctx, r.ID, result)
		return
	}
	reply := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: failure.Error()}
	_ = errors.As(failure, &reply)
	_ = rpc.ReplyWithError(ctx, r.ID, reply)
}
