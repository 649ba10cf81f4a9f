package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Header names of the platform's HTTP protocol.
const (
	// VersionHeader carries the version of a key in requests and responses.
	VersionHeader = "Platform-Version"
	// LeaseHeader carries the ID of the lease that a key is attached to.
	LeaseHeader = "Platform-Lease"
)

// maxResponseHead bounds the head of a response in bytes.
const maxResponseHead = 128 << 10

// LeaseGrant is the JSON body of a request to grant a lease and of its response.
type LeaseGrant struct {
	// ID is empty in a request.
	ID LeaseID `json:"id,omitempty"`
	// TTL is the time to live of the lease in milliseconds.
	TTL int64 `json:"ttl"`
}

// httpClient implements the functions of Platform over HTTP.
type httpClient struct {
	baseURL string
	client  *http.Client
	// callTimeout bounds each call except Watch, which is bounded by callTimeout plus
	// its wait time.
	callTimeout time.Duration
}

// NewHTTP returns a Platform that sends its calls to the base URL. A call fails
// after callTimeout, and Watch after callTimeout plus its wait time.
func NewHTTP(baseURL string, callTimeout time.Duration) Platform {
	a := &httpClient{
		baseURL: baseURL,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost:    8,
				MaxResponseHeaderBytes: maxResponseHead,
				DialContext:            (&net.Dialer{Timeout: callTimeout}).DialContext,
			},
		},
		callTimeout: callTimeout,
	}
	return Platform{
		Get:       a.get,
		PutIf:     a.putIf,
		DeleteIf:  a.deleteIf,
		Watch:     a.watch,
		Grant:     a.grant,
		KeepAlive: a.keepAlive,
		Revoke:    a.revoke,
	}
}

// request is one request to the platform.
type request struct {
	method  string
	path    string
	query   url.Values
	version uint64
	lease   LeaseID
	body    []byte
	timeout time.Duration
}

// response is a complete response of the platform.
type response struct {
	version uint64
	body    []byte
}

// do sends a request and returns the response. It fails after r.timeout.
func (a *httpClient) do(ctx context.Context, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	u := a.baseURL + r.path
	if len(r.query) > 0 {
		u += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, u, bytes.NewReader(r.body))
	if err != nil {
		return response{}, classifier.NewFailure(classifier.NotRun, "invalid platform request", err)
	}
	req.Header.Set(VersionHeader, strconv.FormatUint(r.version, 10))
	if r.lease != "" {
		req.Header.Set(LeaseHeader, string(r.lease))
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return response{}, classifier.NewFailure(transportErrorVerdict(err), "platform unreachable", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readResponse(resp)
}

// transportErrorVerdict returns NotRun if the connection could not be established, and
// MayHaveRun for any other error.
func transportErrorVerdict(err error) classifier.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return classifier.NotRun
	}
	return classifier.MayHaveRun
}

// readResponse reads a response, and returns an error for a status code that
// reports a failure or a body longer than a value.
func readResponse(resp *http.Response) (response, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return response{}, classifier.NewFailure(classifier.MayHaveRun, "platform response incomplete", err)
	}
	if len(body) > MaxValueBytes {
		return response{}, classifier.NewFailure(classifier.MayHaveRun, "platform response too long", nil)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusPreconditionFailed:
		return response{}, Class.Wrap(ErrConflict)
	case http.StatusGone:
		return response{}, Class.Wrap(ErrLeaseExpired)
	case http.StatusTooManyRequests, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return response{}, classifier.NewFailure(classifier.NotRun, "platform rejected the request: "+resp.Status, nil)
	default:
		return response{}, classifier.NewFailure(classifier.MayHaveRun, "platform returned an error: "+resp.Status, nil)
	}
	version, err := strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return response{}, classifier.NewFailure(classifier.MayHaveRun, "platform response has no valid version", err)
	}
	return response{version: version, body: body}, nil
}

func keyPath(key string) string { return "/v1/keys/" + key }

func leasePath(id LeaseID) string { return "/v1/leases/" + url.PathEscape(string(id)) }

func (a *httpClient) get(ctx context.Context, key string) (Item, error) {
	resp, err := a.do(ctx, request{
		method:  http.MethodGet,
		path:    keyPath(key),
		timeout: a.callTimeout,
	})
	return Item{Key: key, Value: resp.body, Version: resp.version}, err
}

func (a *httpClient) putIf(ctx context.Context, key string, value []byte, version uint64, lease LeaseID) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, classifier.NewFailure(classifier.NotRun, "value exceeds the platform's size limit", nil)
	}
	resp, err := a.do(ctx, request{
		method:  http.MethodPut,
		path:    keyPath(key),
		version: version,
		lease:   lease,
		body:    value,
		timeout: a.callTimeout,
	})
	return resp.version, err
}

func (a *httpClient) deleteIf(ctx context.Context, key string, version uint64) error {
	_, err := a.do(ctx, request{
		method:  http.MethodDelete,
		path:    keyPath(key),
		version: version,
		timeout: a.callTimeout,
	})
	return err
}

func (a *httpClient) watch(ctx context.Context, key string, version uint64, wait time.Duration) (Item, error) {
	resp, err := a.do(ctx, request{
		method:  http.MethodGet,
		path:    keyPath(key),
		query:   url.Values{"wait": {wait.String()}},
		version: version,
		timeout: wait + a.callTimeout,
	})
	return Item{Key: key, Value: resp.body, Version: resp.version}, err
}

func (a *httpClient) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	body, err := json.Marshal(LeaseGrant{TTL: ttl.Milliseconds()})
	if err != nil {
		return "", classifier.NewFailure(classifier.NotRun, "cannot encode lease request", err)
	}
	resp, err := a.do(ctx, request{
		method:  http.MethodPost,
		path:    "/v1/leases",
		body:    body,
		timeout: a.callTimeout,
	})
	if err != nil {
		return "", err
	}
	var leaseGrant LeaseGrant
	if err := json.Unmarshal(resp.body, &leaseGrant); err != nil {
		return "", classifier.NewFailure(classifier.MayHaveRun, "invalid lease response", err)
	}
	return leaseGrant.ID, nil
}

func (a *httpClient) keepAlive(ctx context.Context, id LeaseID) error {
	_, err := a.do(ctx, request{
		method:  http.MethodPost,
		path:    leasePath(id),
		timeout: a.callTimeout,
	})
	return err
}

func (a *httpClient) revoke(ctx context.Context, id LeaseID) error {
	_, err := a.do(ctx, request{
		method:  http.MethodDelete,
		path:    leasePath(id),
		timeout: a.callTimeout,
	})
	return err
}
