package server

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/deduplicator"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Control methods of claims.
const (
	claimMethod  = "claim"
	settleMethod = "settle"
)

// Limits of claims.
const (
	// claimTimeout limits one round of claims.
	claimTimeout = time.Second
	// busyBackoff is the first delay before a claim is retried because another
	// request has claimed the key. It doubles with each retry.
	busyBackoff = 50 * time.Millisecond
	// maxBusyAttempts limits the rounds of claims for one request.
	maxBusyAttempts = 5
	// maxConcurrentClaims limits the requests that claim keys at the same time.
	maxConcurrentClaims = 256
)

// claims is the state that a daemon keeps for idempotency keys.
type claims struct {
	window time.Duration
	holder *deduplicator.Holder
	// claimSem contains a token for each request that is claiming its key.
	claimSem chan struct{}

	mu   sync.Mutex
	peak deduplicator.Peak
}

func (d *Daemon) newClaims() *claims {
	window := d.settings.WithDefaults().Limits.IdempotencyWindow.Duration
	return &claims{
		window:   window,
		holder:   deduplicator.NewHolder(d.clock, window),
		claimSem: make(chan struct{}, maxConcurrentClaims),
	}
}

// homesIn returns the home data centres that a state lists for idempotency keys.
func homesIn(s *applier.State) deduplicator.Homes {
	h := s.Homes()
	return deduplicator.Homes{
		Names:     h.DataCentres,
		Previous:  h.Previous,
		Published: h.Published,
	}
}

// handleClaim handles a claim on a key, as one of the key's holders.
func (d *Daemon) handleClaim(_ context.Context, c deduplicator.Claim) (deduplicator.Reply, error) {
	if c.Key == "" || len(c.Key) > deduplicator.MaxKey {
		return deduplicator.Reply{}, Class.New("claim without a key of 1 to %d bytes", deduplicator.MaxKey)
	}
	reply := d.claims.holder.Claim(c, d.holderView(c.Key))
	metrics.GetOrRegisterCounter("claims."+string(reply.State), d.metrics).Inc(1)
	return reply, nil
}

// holderView returns the state with which a holder checks a claim on the key.
func (d *Daemon) holderView(key string) deduplicator.View {
	daemons := d.members.LiveIDs(d.settings.DC)
	homes := homesIn(d.state.Load())
	v := deduplicator.View{
		Holders:        deduplicator.HoldersOf(key, daemons),
		HomesPublished: homes.Published,
	}
	home, reason := homes.Home(key, d.clock.Now(), d.claims.window)
	switch {
	case reason != "":
		v.UnsureReason = reason
	case home != d.settings.DC:
		v.UnsureReason = "home is another data centre"
	case d.inMinority(len(daemons)):
		v.UnsureReason = "most daemons of the data centre are gone"
	}
	return v
}

// inMinority reports whether at most half of the data centre's recent peak of
// daemons are still live. This daemon may then be on the minority side of a
// partition.
func (d *Daemon) inMinority(live int) bool {
	d.claims.mu.Lock()
	defer d.claims.mu.Unlock()
	return 2*live <= d.claims.peak.Record(live, d.clock.Now())
}

// handleSettle records the outcome of a claim: that the request ran or, if Released is
// set, that it will not run.
func (d *Daemon) handleSettle(_ context.Context, s deduplicator.Settlement) (Done, error) {
	d.claims.holder.Settle(s)
	return Done{Done: true}, nil
}

// Errors of a request with an idempotency key. The verdict NotRun covers only
// this attempt of the client, not earlier ones with the same key.
var (
	errKeyLength = &forwarder.StatusError{
		Status:  http.StatusBadRequest,
		Failure: classifier.NewFailure(classifier.NotRun, "Idempotency-Key too long", nil),
	}
	errKeyMismatch = &forwarder.StatusError{
		Status:  http.StatusUnprocessableEntity,
		Failure: classifier.NewFailure(classifier.NotRun, "Idempotency-Key belongs to another request", nil),
	}
	errKeyBusy = &forwarder.StatusError{
		Status:  http.StatusConflict,
		Failure: classifier.NewFailure(classifier.MayHaveRun, "the same Idempotency-Key is under way", nil),
	}
	errKeyRan = &forwarder.StatusError{
		Status:  http.StatusConflict,
		Failure: classifier.NewFailure(classifier.Ran, "ran before; its answer was not kept", nil),
	}
	errTooManyClaims = classifier.NewFailure(classifier.NotRun, "too many claims under way", nil)
)

// keyedRequest is one attempt of a client to send a non-idempotent request with
// an idempotency key.
type keyedRequest struct {
	daemon  *Daemon
	claim   deduplicator.Claim
	holders []string
}

// withClaim returns middleware that claims the idempotency key of a
// non-idempotent request before the request runs. Other requests pass
// unchanged.
func (d *Daemon) withClaim(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		call := request.(*forwarder.Call)
		key := call.Request.Header.Get(forwarder.IdempotencyKeyHeader)
		if key == "" || !call.Match.Route.NonIdempotent {
			return next(ctx, request)
		}
		k, err := d.newKeyedRequest(call, key)
		if err != nil {
			return nil, err
		}
		answer, err := k.claimKey(ctx)
		if answer != nil || err != nil {
			return answer, err
		}
		return k.run(ctx, next, call)
	}
}

func (d *Daemon) newKeyedRequest(call *forwarder.Call, key string) (*keyedRequest, error) {
	if len(key) > deduplicator.MaxKey-len(call.Match.Service)-1 {
		return nil, errKeyLength
	}
	key = call.Match.Service + "/" + key
	homes := homesIn(d.state.Load())
	home, reason := homes.Home(key, d.clock.Now(), d.claims.window)
	if reason != "" {
		return nil, classifier.NewFailure(classifier.NotRun, reason, nil)
	}
	holders := deduplicator.HoldersOf(key, d.members.LiveIDs(home))
	return &keyedRequest{
		daemon:  d,
		holders: holders,
		claim: deduplicator.Claim{
			Key:                key,
			RequestFingerprint: call.Fingerprint(),
			Token:              uuid.NewString(),
			Holders:            holders,
			HomesPublished:     homes.Published,
		},
	}, nil
}

// claimKey claims the key at its holders. It returns the stored response of an
// earlier attempt, or an error if the request must not run. Both are nil if the
// request may run.
func (k *keyedRequest) claimKey(ctx context.Context) (any, error) {
	select {
	case k.daemon.claims.claimSem <- struct{}{}:
		defer func() { <-k.daemon.claims.claimSem }()
	default:
		return nil, errTooManyClaims
	}
	backoff := busyBackoff
	for attempt := 1; ; attempt++ {
		claimRound := k.claimRound(ctx)
		outcome := claimRound.Outcome()
		if outcome == deduplicator.Won {
			return nil, nil
		}
		k.settle(deduplicator.Settlement{Released: true})
		if outcome != deduplicator.Busy || attempt >= maxBusyAttempts {
			return unclaimedResult(claimRound)
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		if ctx.Err() != nil {
			return nil, errKeyBusy
		}
		backoff *= 2
		k.claim.Token = uuid.NewString()
	}
}

// unclaimedResult returns the response or the error for a request whose claim
// was not granted.
func unclaimedResult(r *deduplicator.Round) (any, error) {
	switch r.Outcome() {
	case deduplicator.Repeated:
		if a := r.Answer(); a != nil {
			return replayedAnswer(a), nil
		}
		return nil, errKeyRan
	case deduplicator.Busy:
		return nil, errKeyBusy
	case deduplicator.Mismatched:
		return nil, errKeyMismatch
	default:
		return nil, classifier.NewFailure(classifier.NotRun, "key not claimed: "+r.Reason(), nil)
	}
}

// claimRound sends the claim to all holders in parallel and returns as soon as
// the outcome is known.
func (k *keyedRequest) claimRound(ctx context.Context) *deduplicator.Round {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	r := deduplicator.NewRound(len(k.holders))
	replies := make(chan deduplicator.Reply, len(k.holders))
	var calls sync.WaitGroup
	for _, id := range k.holders {
		calls.Go(func() { replies <- k.callPeer(ctx, id) })
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	for range k.holders {
		r.AddReply(<-replies)
		if r.Outcome() != deduplicator.Pending {
			break
		}
	}
	return r
}

// callPeer sends the claim to one holder, which may be this daemon, and returns its
// reply. A failed call counts as a reply with the state Unsure.
func (k *keyedRequest) callPeer(ctx context.Context, id string) deduplicator.Reply {
	d := k.daemon
	var reply deduplicator.Reply
	var err error
	if id == d.settings.Name {
		reply, err = d.handleClaim(ctx, k.claim)
	} else {
		err = d.callPeer(ctx, id, claimMethod, k.claim, &reply)
	}
	if err != nil {
		return deduplicator.Reply{
			State:  deduplicator.Unsure,
			Reason: "holder out of reach",
		}
	}
	return reply
}

// settle sends the outcome of the claim to all holders without waiting for
// them.
func (k *keyedRequest) settle(t deduplicator.Settlement) {
	t.Key, t.Token = k.claim.Key, k.claim.Token
	d := k.daemon
	for _, id := range k.holders {
		if id == d.settings.Name {
			d.claims.holder.Settle(t)
			continue
		}
		go func() {
			var done Done
			if err := d.callPeer(context.Background(), id, settleMethod, t, &done); err != nil {
				d.log.Debug("cannot settle claim", "peer", id, "err", err)
			}
		}()
	}
}

// run forwards the request and settles its claim according to the result. If
// the request may have run, the claim remains in force.
func (k *keyedRequest) run(ctx context.Context, next endpoint.Endpoint, call *forwarder.Call) (any, error) {
	answer, err := next(ctx, call)
	if err != nil {
		switch classifier.VerdictOf(err) {
		case classifier.NotRun:
			k.settle(deduplicator.Settlement{Released: true})
		case classifier.Ran:
			k.settle(deduplicator.Settlement{})
		}
		return nil, err
	}
	resp := answer.(*forwarder.Answer).Response
	resp.Body = &recordedBody{
		ReadCloser: resp.Body,
		answer: deduplicator.Answer{
			Status: resp.StatusCode,
			Header: resp.Header.Clone(),
		},
		settle: k.settle,
	}
	return answer, nil
}

// recordedBody is a response body that stores what is read from it, unless the
// response is larger than deduplicator.MaxAnswer.
type recordedBody struct {
	io.ReadCloser
	answer   deduplicator.Answer
	tooLarge bool
	once     sync.Once
	settle   func(deduplicator.Settlement)
}

// Read reads from the body and stores the data.
func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.record(p[:n])
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

func (b *recordedBody) record(p []byte) {
	if b.tooLarge || len(p) == 0 {
		return
	}
	b.answer.Body = append(b.answer.Body, p...)
	if b.answer.Size() > deduplicator.MaxAnswer {
		b.tooLarge = true
		b.answer.Body = nil
	}
}

// Close closes the body. The holders get the response only if it was read to its
// end.
func (b *recordedBody) Close() error {
	b.end(false)
	return b.ReadCloser.Close()
}

// end reports to the holders that the request ran, with the response if it was
// stored completely. Later calls do nothing.
func (b *recordedBody) end(complete bool) {
	b.once.Do(func() {
		var t deduplicator.Settlement
		if complete && !b.tooLarge {
			answer := b.answer
			t.Answer = &answer
		}
		b.settle(t)
	})
}

// ReplayedHeader marks a response that was stored for an earlier attempt with
// the same idempotency key.
const ReplayedHeader = "Idempotent-Replayed"

// replayedAnswer builds a response from the stored one of an earlier attempt.
func replayedAnswer(a *deduplicator.Answer) *forwarder.Answer {
	header := a.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(ReplayedHeader, "true")
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	return &forwarder.Answer{Response: &http.Response{
		StatusCode:    a.Status,
		Header:        header,
		ContentLength: int64(len(a.Body)),
		Body:          io.NopCloser(bytes.NewReader(a.Body)),
	}}
}
