package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// Status describes a daemon in the response to GET /v1/status.
type Status struct {
	Name     string         `json:"name"`
	DC       string         `json:"dc"`
	Revision uint64         `json:"revision"`
	Digest   applier.Digest `json:"digest"`
	Ready    bool           `json:"ready"`
	// Reason says why the daemon is not ready. It is empty if the daemon is
	// ready.
	Reason  string          `json:"reason,omitempty"`
	Target  *Announcement   `json:"target,omitempty"`
	Members []prober.Member `json:"members"`
}

// maxOperatorBody is the maximum body size of a request to the operators' API,
// in bytes.
const maxOperatorBody = 64 << 10

// operatorHandler returns the handler of the operators' API and of the target's
// heartbeats.
func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/status", jsonHandler(d.statusEndpoint, decodeEmpty))
	mux.Handle("PUT /v1/target", jsonHandler(d.announceEndpoint, decodeAnnouncement))
	mux.Handle("DELETE /v1/target", jsonHandler(d.removeTargetEndpoint, decodeEmpty))
	mux.Handle("GET /v1/survey", jsonHandler(d.surveyEndpoint, decodeEmpty))
	mux.Handle("GET /v1/moves", jsonHandler(d.movesEndpoint, decodeEmpty))
	mux.Handle("GET /v1/report", jsonHandler(d.reportEndpoint, decodeEmpty))
	mux.Handle("PUT /v1/zones/{dc}", jsonHandler(d.zoneEndpoint, decodeZone))
	mux.HandleFunc("GET /metrics", d.serveMetrics)
	return mux
}

func jsonHandler(e endpoint.Endpoint, decode kithttp.DecodeRequestFunc) http.Handler {
	return kithttp.NewServer(e, decode, kithttp.EncodeJSONResponse)
}

func decodeEmpty(context.Context, *http.Request) (any, error) { return nil, nil }

// badRequestError is an invalid request of an operator or a target.
type badRequestError struct{ error }

// StatusCode returns the status code that go-kit responds with.
func (badRequestError) StatusCode() int { return http.StatusBadRequest }

func decodeAnnouncement(_ context.Context, r *http.Request) (any, error) {
	var a Announcement
	d := json.NewDecoder(io.LimitReader(r.Body, maxOperatorBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return nil, badRequestError{err}
	}
	if err := a.Validate(); err != nil {
		return nil, badRequestError{err}
	}
	return a, nil
}

// Done is the response to a request that returns no data.
type Done struct {
	Done bool `json:"done"`
}

func (d *Daemon) announceEndpoint(_ context.Context, request any) (any, error) {
	d.recordHeartbeat(request.(Announcement))
	return Done{Done: true}, nil
}

func (d *Daemon) removeTargetEndpoint(ctx context.Context, _ any) (any, error) {
	d.removeTarget("it left")
	d.waitForTargetRequests(ctx)
	return Done{Done: true}, nil
}

func (d *Daemon) statusEndpoint(context.Context, any) (any, error) {
	state := d.state.Load()
	status := Status{
		Name:     d.settings.Name,
		DC:       d.settings.DC,
		Revision: state.Revision(),
		Digest:   state.Digest(),
		Ready:    d.view.Load() != nil,
		Reason:   d.node.Reason(),
		Members:  d.members.All(),
	}
	if a := d.local.Load(); a != nil {
		status.Target = &a.Announcement
	}
	return status, nil
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(d.metrics, w)
}
