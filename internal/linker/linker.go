// Package linker implements control calls between daemons: JSON-RPC 2.0 in
// length-prefixed frames on persistent TCP connections. Only the dialing side makes
// calls.
//
// The first call on a connection is a hello with the shared key. Without it every
// other call is rejected and the connection is closed.
package linker

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("linker")

// helloMethod is the method that authenticates a connection.
const helloMethod = "hello"

// helloParams are the parameters of the hello method.
type helloParams struct {
	Key string `json:"key"`
}

// Error codes besides those of JSON-RPC.
const (
	codeUnauthenticated = 1
	codeHandlerFailed   = 2
)

// Server serves control calls. Handle must not be called after Serve.
type Server struct {
	key     string
	methods map[string]method
	// SentBytes and ReceivedBytes count the bytes sent and received on all connections.
	SentBytes, ReceivedBytes atomic.Int64

	// connSem holds one token for each open connection.
	connSem chan struct{}
	// helloTimeout bounds the time until a peer is authenticated.
	helloTimeout time.Duration
}

// method is a registered method.
type method struct {
	decode func(json.RawMessage) (any, error)
	call   endpoint.Endpoint
}

// Limits of connections.
const (
	// maxConnections is the maximum number of open connections of a server.
	maxConnections = 4096
	// maxConcurrentRequests is the maximum number of requests of one connection
	// that are served at the same time. Further requests wait.
	maxConcurrentRequests = 32
	// serverIdleTimeout and clientIdleTimeout are the times without a frame in
	// either direction after which a connection is closed. The client's timeout is
	// shorter, so that the client closes the connection. Daemons call random peers, so
	// without a timeout each daemon would eventually be connected to all others.
	serverIdleTimeout = time.Minute
	clientIdleTimeout = 10 * time.Second
	// acceptRetryDelay is the delay before the next Accept after a temporary
	// error, such as too many open files.
	acceptRetryDelay = 50 * time.Millisecond
	// maxConsecutiveTimeouts is the number of consecutive calls that time out
	// after which a client closes the connection.
	maxConsecutiveTimeouts = 4
)

// discardLog discards the log output of jsonrpc2, which also returns the errors that it
// logs.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// NewServer returns a server that accepts peers with the shared key.
func NewServer(key string) *Server {
	return &Server{
		key:          key,
		methods:      map[string]method{},
		connSem:      make(chan struct{}, maxConnections),
		helloTimeout: defaultHelloTimeout,
	}
}

// Handle registers fn as the method of that name. Its parameters are of type Params
// and its results of type Result.
func Handle[Params, Result any](s *Server, name string, fn func(context.Context, Params) (Result, error)) {
	s.methods[name] = method{
		decode: func(raw json.RawMessage) (any, error) {
			var params Params
			err := json.Unmarshal(raw, &params)
			return params, err
		},
		call: func(ctx context.Context, request any) (any, error) {
			return fn(ctx, request.(Params))
		},
	}
}

// Serve accepts and serves connections until ctx ends or the listener fails.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			s.serveConn(ctx, conn)
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ECONNABORTED):
			time.Sleep(acceptRetryDelay)
		default:
			return Class.Wrap(err)
		}
	}
}

// serveConn serves a connection, or closes it if there are too many.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	select {
	case s.connSem <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	sc := &serverConn{
		server:     s,
		requestSem: make(chan struct{}, maxConcurrentRequests),
	}
	codec := &frameCodec{
		conn:          conn,
		idleTimeout:   serverIdleTimeout,
		authenticated: &sc.authenticated,
		authDeadline:  time.Now().Add(s.helloTimeout),
	}
	stream := jsonrpc2.NewBufferedStream(countBytes(conn, &s.SentBytes, &s.ReceivedBytes), codec)
	c := jsonrpc2.NewConn(ctx, stream, sc, discardLog)
	go func() {
		<-c.DisconnectNotify()
		<-s.connSem
	}()
}

// serverConn is an accepted connection.
type serverConn struct {
	server        *Server
	authenticated atomic.Bool
	// requestSem holds one token for each request that is being served.
	requestSem chan struct{}
}

// Handle serves one request. After authentication, requests are served
// concurrently; Handle waits if there are maxConcurrentRequests already.
func (sc *serverConn) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !sc.authenticated.Load() {
		sc.reply(ctx, c, r)
		return
	}
	select {
	case sc.requestSem <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-sc.requestSem }()
		sc.reply(ctx, c, r)
	}()
}

// reply serves a request and sends the response. It closes the connection if it
// is still unauthenticated after that.
func (sc *serverConn) reply(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	result, err := sc.dispatch(ctx, r)
	switch {
	case r.Notif:
	case err != nil:
		_ = c.ReplyWithError(ctx, r.ID, rpcError(err))
	default:
		_ = c.Reply(ctx, r.ID, result)
	}
	if !sc.authenticated.Load() {
		_ = c.Close()
	}
}

// rpcError returns err as a JSON-RPC error.
func rpcError(err error) *jsonrpc2.Error {
	if e, ok := err.(*jsonrpc2.Error); ok {
		return e
	}
	return &jsonrpc2.Error{Code: codeHandlerFailed, Message: err.Error()}
}

// dispatch calls the method of a request and returns its result.
func (sc *serverConn) dispatch(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var raw json.RawMessage
	if r.Params != nil {
		raw = *r.Params
	}
	if r.Method == helloMethod {
		return nil, sc.handleHello(raw)
	}
	if !sc.authenticated.Load() {
		return nil, &jsonrpc2.Error{Code: codeUnauthenticated, Message: "hello first"}
	}
	m, ok := sc.server.methods[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + r.Method}
	}
	request, err := m.decode(raw)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return m.safeCall(ctx, request)
}

// safeCall calls the method. A panic in it fails the call and doesn't end the process.
func (m method) safeCall(ctx context.Context, request any) (result any, err error) {
	defer func() {
		if value := recover(); value != nil {
			err = Class.New("panic: %v\n%s", value, debug.Stack())
		}
	}()
	return m.call(ctx, request)
}

// handleHello authenticates the connection if the parameters contain the shared
// key.
func (sc *serverConn) handleHello(raw json.RawMessage) error {
	var h helloParams
	if err := json.Unmarshal(raw, &h); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if subtle.ConstantTimeCompare([]byte(h.Key), []byte(sc.server.key)) != 1 {
		return &jsonrpc2.Error{Code: codeUnauthenticated, Message: "wrong key"}
	}
	sc.authenticated.Store(true)
	return nil
}

// Client makes control calls. It keeps one persistent connection per peer.
type Client struct {
	key     string
	timeout time.Duration
	// idleTimeout is the time without a frame after which a connection is closed.
	idleTimeout time.Duration
	// SentBytes and ReceivedBytes count the bytes sent and received on all connections.
	SentBytes, ReceivedBytes atomic.Int64
	// Traffic returns the counter of the bytes that are sent to and received from an
	// address, or nil if they are not counted. Traffic may be nil.
	Traffic func(address string) *atomic.Int64

	mu    sync.Mutex
	conns map[string]*clientConn
}

// clientConn is a connection to a peer. conn and err are valid once ready is
// closed.
type clientConn struct {
	ready chan struct{}
	conn  *jsonrpc2.Conn
	err   error
	// authenticated is set after the peer has accepted the key.
	authenticated atomic.Bool
	// timeouts is the number of consecutive calls that timed out.
	timeouts atomic.Int32
}

// NewClient returns a client that authenticates with the shared key. A call, and
// the setup of a connection, each fail after timeout.
func NewClient(key string, timeout time.Duration) *Client {
	return &Client{
		key:         key,
		timeout:     timeout,
		idleTimeout: clientIdleTimeout,
		conns:       map[string]*clientConn{},
	}
}

// Call calls a method of the peer at the address and decodes its result.
func (c *Client) Call(ctx context.Context, address, name string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	cc, err := c.connect(ctx, address)
	if err != nil {
		return Class.Wrap(err)
	}
	err = cc.conn.Call(ctx, name, params, result)
	if !errors.Is(err, context.DeadlineExceeded) {
		cc.timeouts.Store(0)
	} else if cc.timeouts.Add(1) >= maxConsecutiveTimeouts {
		_ = cc.conn.Close()
	}
	return Class.Wrap(err)
}

// connect returns the connection to the address, and dials if there is none.
func (c *Client) connect(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	cc := c.conns[address]
	if cc == nil {
		cc = &clientConn{ready: make(chan struct{})}
		c.conns[address] = cc
		go c.dial(address, cc)
	}
	c.mu.Unlock()
	select {
	case <-cc.ready:
		return cc, cc.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial sets up the connection. It removes it from c.conns when it is closed, or when
// the setup fails.
func (c *Client) dial(address string, cc *clientConn) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	cc.conn, cc.err = c.openConn(ctx, address, &cc.authenticated)
	close(cc.ready)
	if cc.err == nil {
		<-cc.conn.DisconnectNotify()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == cc {
		delete(c.conns, address)
	}
}

// openConn dials the address and authenticates the connection.
func (c *Client) openConn(ctx context.Context, address string, authenticated *atomic.Bool) (*jsonrpc2.Conn, error) {
	var dialer net.Dialer
	tcpConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	codec := &frameCodec{
		conn:          tcpConn,
		idleTimeout:   c.idleTimeout,
		authenticated: authenticated,
		authDeadline:  time.Now().Add(defaultHelloTimeout),
	}
	counted := countBytes(tcpConn, &c.SentBytes, &c.ReceivedBytes)
	if c.Traffic != nil {
		if t := c.Traffic(address); t != nil {
			counted = countBytes(counted, t, t)
		}
	}
	stream := jsonrpc2.NewBufferedStream(counted, codec)
	conn := jsonrpc2.NewConn(context.Background(), stream, rejectAll{}, discardLog)
	if err := conn.Call(ctx, helloMethod, helloParams{Key: c.key}, nil); err != nil {
		_ = conn.Close()
		return nil, err
	}
	authenticated.Store(true)
	return conn, nil
}

// rejectAll rejects requests on a client's connection.
type rejectAll struct{}

// Handle rejects the request.
func (rejectAll) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	_ = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods here"})
}

// Close closes the connection to an address.
func (c *Client) Close(address string) {
	c.mu.Lock()
	cc := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if cc == nil {
		return
	}
	go func() {
		<-cc.ready
		if cc.conn != nil {
			_ = cc.conn.Close()
		}
	}()
}

// countingConn is a connection that counts the bytes sent and received.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

// countBytes returns a connection that adds its traffic to sent and received.
func countBytes(c net.Conn, sent, received *atomic.Int64) net.Conn {
	return &countingConn{Conn: c, sent: sent, received: received}
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}
