package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/go-kit/kit/endpoint"
	"github.com/google/uuid"

	"github.com/coltsfootlane/coltsfootlane/internal/balancer"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/router"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// View is a snapshot of the configuration. One request uses one View throughout.
type View struct {
	Revision uint64
	Table    *router.Table
}

// Entry is the handler of callers' requests. It forwards them to the daemon of
// a target.
type Entry struct {
	// Key is the secret shared by all daemons; it is sent in KeyHeader.
	Key string
	// DC is the data centre of this daemon.
	DC string
	// View returns the current configuration, or nil if there is none yet.
	View func() *View
	// Serving returns the members that serve a version of a service.
	Serving  func(service, version string) []prober.Member
	Balancer *balancer.Balancer
	// Transport sends requests to other daemons.
	Transport http.RoundTripper
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// Middleware wraps the endpoint that makes one attempt. It may be nil.
	Middleware endpoint.Middleware
}

// ErrNoTarget means that there is no target, or that all targets have been tried.
var ErrNoTarget = classifier.NewFailure(classifier.NotRun, "no target serves this", nil)

var (
	errNoConfiguration = classifier.NewFailure(classifier.NotRun, "no configuration yet", nil)
	errNoRoute         = classifier.NewFailure(classifier.NotRun, "no route", nil)
	errTooLarge        = classifier.NewFailure(classifier.NotRun, "body too large", nil)
	errProtocol        = classifier.NewFailure(classifier.NotRun, "HTTP/1.0 cannot tell a whole answer from a broken one", nil)
)

// ServeHTTP forwards a caller's request and relays the response.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := &Call{
		ID:      requestID(r),
		View:    e.View(),
		Request: r,
	}
	w.Header().Set(RequestIDHeader, call.ID)
	if status, err := e.prepare(call); err != nil {
		writeError(w, status, call.ID, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout(r.Header, call.Match.Route.EffectiveTimeout()))
	defer cancel()
	_ = http.NewResponseController(w).EnableFullDuplex()
	answer, err := e.endpoint()(ctx, call)
	if err != nil {
		writeError(w, errorStatus(err), call.ID, err)
		return
	}
	resp := answer.(*Answer).Response
	defer func() { _ = resp.Body.Close() }()
	if err := relayResponse(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(RequestIDHeader); id != "" && len(id) <= 128 {
		return id
	}
	return uuid.NewString()
}

// prepare finds the route of a call and reads the body if it is small enough to
// be buffered. If it fails, it returns the HTTP status code of the error response.
func (e *Entry) prepare(c *Call) (status int, err error) {
	if c.View == nil {
		return http.StatusServiceUnavailable, errNoConfiguration
	}
	if c.Request.ProtoMajor == 1 && c.Request.ProtoMinor == 0 {
		return http.StatusHTTPVersionNotSupported, errProtocol
	}
	m, ok := c.View.Table.Match(c.Request.Method, c.Request.URL.Path)
	if !ok {
		return http.StatusNotFound, errNoRoute
	}
	c.Match = m
	if c.Request.ContentLength > e.MaxBody {
		return http.StatusRequestEntityTooLarge, errTooLarge
	}
	return c.readBody(e.MaxBody)
}

func (e *Entry) endpoint() endpoint.Endpoint {
	if e.Middleware == nil {
		return e.send
	}
	return e.Middleware(e.send)
}

// send makes one attempt of a *Call and returns an *Answer.
func (e *Entry) send(ctx context.Context, request any) (any, error) {
	c := request.(*Call)
	version, ok := c.View.Table.Version(c.Match.Service, rand.Float64())
	if !ok {
		return nil, ErrNoTarget
	}
	m, choice, ok := e.pick(c, version)
	if !ok {
		return nil, ErrNoTarget
	}
	c.tried = append(c.tried, m.ID)
	out := e.request(ctx, c, m, version)
	resp, err := roundTripFramed(e.Transport, out, func() error {
		setTimeLeft(out)
		return nil
	})
	e.recordHeadroom(choice, resp)
	if err == nil {
		err = daemonError(resp)
	}
	if err != nil {
		e.Balancer.RecordResult(choice, failureResult(ctx, resp, out, err))
		return nil, err
	}
	resp.Body = &responseBody{
		ReadCloser: resp.Body,
		onEnd:      func(err error) { e.Balancer.RecordResult(choice, responseResult(ctx, resp, err)) },
	}
	return &Answer{Response: resp, Member: m}, nil
}

// pick chooses the member to which an attempt is sent.
func (e *Entry) pick(c *Call, version string) (prober.Member, balancer.Choice, bool) {
	serving := e.Serving(c.Match.Service, version)
	if len(serving) == 0 {
		return prober.Member{}, balancer.Choice{}, false
	}
	choice, ok := e.Balancer.Pick(balancer.Source{
		Key: balancer.Key{
			Service: c.Match.Service,
			Version: version,
		},
		ListID: &serving[0],
		Count:  len(serving),
		Candidate: func(i int) balancer.Candidate {
			return candidate(serving[i], e.DC)
		},
		Avoid:         c.wasTried,
		NonIdempotent: c.Match.Route.NonIdempotent,
	})
	if !ok {
		return prober.Member{}, balancer.Choice{}, false
	}
	return serving[choice.Index], choice, true
}

func candidate(m prober.Member, dc string) balancer.Candidate {
	return balancer.Candidate{
		ID:     m.ID,
		DC:     m.DC,
		SameDC: m.DC == dc,
		Slots:  m.Target.Slots,
	}
}

// request returns the request to send to the member's daemon.
func (e *Entry) request(ctx context.Context, c *Call, m prober.Member, version string) *http.Request {
	out := c.Request.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = m.Admit
	out.Header = ForwardedHeader(c.Request.Header)
	out.Header.Set(RequestIDHeader, c.ID)
	out.Header.Set(KeyHeader, e.Key)
	out.Header.Set(FingerprintHeader, c.crashFingerprint(out.Header))
	out.Header.Set(ServiceHeader, c.Match.Service)
	out.Header.Set(VersionHeader, version)
	out.Header.Set(RouteHeader, c.Match.Route.Path)
	out.Header.Set(RevisionHeader, strconv.FormatUint(c.View.Revision, 10))
	setTimeLeft(out)
	out.GetBody = nil
	out.Body = c.stream
	if c.stream == nil {
		out.Body = &Body{Reader: bytes.NewReader(c.body)}
		return out
	}
	out.Header.Set("Expect", "100-continue")
	return out
}

// daemonError returns the error in an error response from the target's daemon, or
// nil if the response came from the target.
func daemonError(resp *http.Response) error {
	text := resp.Header.Get(VerdictHeader)
	if text == "" {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	verdict, err := classifier.ParseVerdict(text)
	if err != nil {
		return classifier.NewFailure(classifier.MayHaveRun, "refusal without a verdict", err)
	}
	return classifier.NewFailure(verdict, problemTitle(resp), nil)
}

// problemTitle returns the title of the problem document in an error response.
func problemTitle(resp *http.Response) string {
	var p Problem
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBufferedBody)).Decode(&p); err != nil || p.Title == "" {
		return "refused by the target's daemon"
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxBufferedBody)
	return p.Title
}
