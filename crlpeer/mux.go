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

// Method is the name of a call between daemons, in kebab case.
type Method string

// Handler serves the calls of one method and returns the result to encode as JSON; params is the JSON of the caller's message.
// It is called concurrently.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Mux passes calls to the handlers of their methods. All calls of Register must precede Serve.
type Mux struct {
	handlers map[Method]Handler
}

// NewMux returns a Mux without methods.
func NewMux() *Mux { return &Mux{handlers: make(map[Method]Handler)} }

// Register sets the handler of a method; it panics if the method has one, which is a programming error.
func (m *Mux) Register(method Method, handler Handler) {
	if _, ok := m.handlers[method]; ok {
		panic(fmt.Sprintf("peer: handler of method %s registered twice", method))
	}
	m.handlers[method] = handler
}

// Typed returns a Handler that decodes params into a message of type P; params that don't decode get an error reply.
func Typed[P, R any](serve func(ctx context.Context, params P) (R, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return serve(ctx, params)
	}
}

// Handle passes one call to the handler of its method and returns the result.
func (m *Mux) Handle(ctx context.Context, method Method, params json.RawMessage) (any, error) {
	handler, ok := m.handlers[method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: string(method)}
	}
	return handler(ctx, params)
}

// Serve accepts and serves connections of peers until the listener is closed or ctx ends, and then waits for those that are open.
// After any other failure to accept it pauses and goes on.
func (m *Mux) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	var backoff acceptBackoff
	for {
		connection, err := listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept connection of a peer: %w", err)
		}
		if err != nil {
			backoff.wait(ctx, err)
			continue
		}
		backoff.pause = 0
		connections.Go(func() { m.serveConnection(ctx, connection) })
	}
}

// Limits per connection.
const (
	maxOpenCalls      = 256         // calls served at the same time
	replyWriteTimeout = time.Second // limit on the time of each write to a connection
)

// serveConnection serves the calls of one connection until the peer closes it or ctx ends.
func (m *Mux) serveConnection(ctx context.Context, connection net.Conn) {
	stream := jsonrpc2.NewPlainObjectStream(&deadlineConn{Conn: connection, timeout: replyWriteTimeout})
	s := &session{mux: m, callSlots: make(chan struct{}, maxOpenCalls), writeToken: make(chan struct{}, 1)}
	rpc := jsonrpc2.NewConn(ctx, stream, s, discardLog())
	defer func() {
		if err := rpc.Close(); err != nil {
			klog.V(2).Infof("peer: closing the connection of a peer failed: %v", err)
		}
	}()
	select {
	case <-ctx.Done():
	case <-rpc.DisconnectNotify():
	}
}

// discardLog discards the log of the JSON-RPC library, which reports each closed connection, as peers close theirs when they stop.
func discardLog() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) }

// session serves the calls of one connection, at most maxOpenCalls at the same time.
type session struct {
	mux        *Mux
	callSlots  chan struct{} // holds a token for each call that is being served
	writeToken chan struct{} // holds a token while a reply is written, as waiting for the lock of the connection can't be cancelled
}

// Handle serves a call on a goroutine of its own. While maxOpenCalls are open it blocks, and with it the reading of further calls.
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

// serve runs the handler of a call and writes its reply.
func (s *session) serve(ctx context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request) {
	params := json.RawMessage("null")
	if r.Params != nil {
		params = *r.Params
	}
	result, err := s.mux.Handle(ctx, Method(r.Method), params)
	s.writeToken <- struct{}{}
	defer func() { <-s.writeToken }()
	if err == nil {
		_ = rpc.Reply(ctx, r.ID, result)
		return
	}
	reply := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	_ = errors.As(err, &reply)
	_ = rpc.ReplyWithError(ctx, r.ID, reply)
}
