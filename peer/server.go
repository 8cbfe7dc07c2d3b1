// Package peer implements kumquathitch.Peers: calls between entry VMs over jsonrpc2 on TCP.
//
// # Usage
//
//	server := peer.NewServer(tracing)
//	peer.Handle(server, "entry.heartbeat", func(ctx context.Context, h entry.Heartbeat) (entry.HeartbeatResponse, error) {
//		return registry.HandleHeartbeat(h, clock.Now()), nil
//	})
//	result := server.Serve(ctx, listener) // Gets one value after ctx is cancelled.
//
//	client := peer.NewClient(tracing)
//	err := client.Call(ctx, "10.0.0.3:7100", "entry.heartbeat", heartbeat, &response)
//
// Handlers are typed; their parameters and results are encoded as JSON with
// kebab-case field names. Each message carries the caller's trace context.
package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"go.opentelemetry.io/otel/propagation"

	"kumquathitch.example/kumquathitch/telemetry"
)

// envelope is the format of request parameters: the message and its trace context.
type envelope[T any] struct {
	Trace propagation.MapCarrier `json:"trace,omitempty"`
	Body  T                      `json:"body"`
}

type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers calls of peers. All handlers are registered before Serve.
type Server struct {
	Panics   *telemetry.PanicGuard // Reports handlers that panic. Nil lets a panic end the process.
	tracing  *telemetry.Tracing
	handlers map[string]handler
}

// NewServer returns a server without handlers.
func NewServer(tracing *telemetry.Tracing) *Server {
	return &Server{tracing: tracing, handlers: map[string]handler{}}
}

// Handle registers the handler of a method.
func Handle[P, R any](s *Server, method string, handle func(ctx context.Context, params P) (R, error)) {
	s.handlers[method] = func(ctx context.Context, raw json.RawMessage) (any, error) {
		var message envelope[P]
		if err := json.Unmarshal(raw, &message); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		ctx = s.tracing.Propagator.Extract(ctx, message.Trace)
		ctx, span := s.tracing.Tracer.Start(ctx, "peer "+method)
		defer span.End()
		return handle(ctx, message.Body)
	}
}

// Serve accepts connections in the background until ctx ends or the listener
// fails. The returned channel gets one value when all connections are closed: nil
// after ctx ended, else the listener's error.
func (s *Server) Serve(ctx context.Context, listener net.Listener) <-chan error {
	result := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		defer stop()
		result <- s.accept(ctx, listener)
	}()
	return result
}

func (s *Server) accept(ctx context.Context, listener net.Listener) error {
	var open []<-chan struct{}
	defer func() {
		for _, closed := range open {
			<-closed
		}
	}()
	for {
		tcpConn, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "Server.Serve")
		}
		conn := jsonrpc2.NewConn(ctx, newStream(tcpConn), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.dispatch)))
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		open = append(removeClosed(open), conn.DisconnectNotify())
	}
}

func removeClosed(open []<-chan struct{}) []<-chan struct{} {
	remaining := open[:0]
	for _, closed := range open {
		select {
		case <-closed:
		default:
			remaining = append(remaining, closed)
		}
	}
	return remaining
}

func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (result any, err error) {
	if s.Panics != nil {
		defer func() {
			if cause := recover(); cause != nil {
				s.Panics.Report("peer."+request.Method, cause)
				err = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "an internal error ended the call"}
			}
		}()
	}
	handle, ok := s.handlers[request.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + request.Method}
	}
	if request.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params are required"}
	}
	return handle(ctx, *request.Params)
}

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, boundedCodec{})
}

// maxMessageBytes bounds a message of another VM. The largest has the configuration
// and the descriptions of all instances.
const maxMessageBytes = 32 << 20

// MessageTooLargeError reports a message whose stated length exceeds the limit.
type MessageTooLargeError struct {
	Bytes uint64
}

func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("peer: a message of %d bytes; at most %d are accepted", e.Bytes, maxMessageBytes)
}

// boundedCodec is jsonrpc2.VarintObjectCodec with a limit on the length of a message.
// Bytes that are no message must not make a process hold what follows them.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
}

// ReadObject reads one message. Its memory grows with the bytes that have arrived, not
// with the stated length.
func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return &MessageTooLargeError{Bytes: size}
	}
	var message bytes.Buffer
	if _, err := io.CopyN(&message, stream, int64(size)); err != nil {
		return err
	}
	return json.Unmarshal(message.Bytes(), v)
}
