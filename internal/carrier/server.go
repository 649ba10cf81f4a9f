package carrier

import (
	"cmp"
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Server receives attempts from other daemons.
type Server struct {
	// Key is the secret that all daemons share.
	Key     string
	Deliver Deliver
	// MaxBody bounds the body of an attempt, in bytes.
	MaxBody func() int64
	// MaxBodyTurn is how long a large body may block other large bodies; 0 means
	// maxBodyTurn.
	MaxBodyTurn time.Duration
	// Account accounts for the bodies of attempts. It may be nil.
	Account *allocator.Account

	bodyLimiter bodyLimiter
	open        openAttempts
}

// acknowledgeKey is the context key of the function that acknowledges an attempt.
type acknowledgeKey struct{}

// Acknowledge sends 102 Processing to the daemon that sent the attempt in ctx, so
// that it does not treat this daemon as silent. The attempt may still be rejected.
// Further calls do nothing.
func Acknowledge(ctx context.Context) {
	if acknowledge, ok := ctx.Value(acknowledgeKey{}).(func()); ok {
		acknowledge()
	}
}

// ServeHTTP serves one attempt.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(forwarder.KeyHeader)), []byte(s.Key)) != 1 {
		respondFailure(w, &Failure{Failure: classifier.NewFailure(classifier.NotRun, "wrong key", nil)})
		return
	}
	began := time.Now()
	a := readAttempt(r)
	acknowledged := false
	held := cmp.Or(s.Account, &unbounded).Open(allocator.Forwarded, nil)
	defer held.Release()
	b := &body{}
	b.readAll = func() error {
		connection := http.NewResponseController(w)
		if err := connection.SetReadDeadline(a.Deadline); err != nil {
			return err
		}
		data, err := readAttemptBody(held, &turnReader{
			Reader:  http.MaxBytesReader(w, r.Body, s.MaxBody()),
			left:    r.ContentLength,
			endTurn: b.endTurn,
		}, r.ContentLength, s.MaxBody())
		if err != nil {
			return err
		}
		a.Body = data
		return connection.SetReadDeadline(time.Time{})
	}
	ctx, handoff, done := s.open.add(r.Context(), a.ID)
	defer done()
	ctx = context.WithValue(ctx, acknowledgeKey{}, func() {
		if !acknowledged {
			acknowledged = true
			w.WriteHeader(http.StatusProcessing)
		}
	})
	switch {
	case len(r.Header["Expect"]) == 0:
		if err := b.readOnce(); err != nil {
			respondFailure(w, &Failure{Failure: classifier.NewFailure(classifier.NotRun, "order broke off", err)})
			return
		}
	case r.ContentLength >= expectBytes:
		b.bodyLimiter, b.maxTurn = &s.bodyLimiter, cmp.Or(s.MaxBodyTurn, maxBodyTurn)
	}
	targetResponse, err := s.Deliver(context.WithValue(ctx, bodyKey{}, b), a)
	b.endTurn()
	h := w.Header()
	setDurationHeader(h, processingTimeHeader, time.Since(began))
	if err != nil {
		f := NewFailure(err)
		if handoff.Recalled() {
			f.Failure, f.Arrived = errRecalled, false
		}
		f.Load.BodyWait = s.bodyLimiter.expectedWait()
		respondFailure(w, f)
		return
	}
	targetResponse.Load.BodyWait = s.bodyLimiter.expectedWait()
	defer targetResponse.Release()
	for name, values := range targetResponse.Header {
		h[name] = values
	}
	writeLoad(h, targetResponse.Load)
	h.Set(statusHeader, strconv.Itoa(targetResponse.Status))
	h.Set("Content-Length", strconv.Itoa(len(targetResponse.Body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(targetResponse.Body)
}

// readAttemptBody reads the body of an attempt. One of a known size is accounted for before
// it is asked for, so that it isn't sent in vain.
func readAttemptBody(held *allocator.Holding, r io.Reader, size, limit int64) (allocator.Body, error) {
	if size < 0 || size > limit {
		return held.ReadBody(r, size, limit, func(int) {})
	}
	if err := held.Grow(size + 1); err != nil {
		return nil, err
	}
	data := make([]byte, size+1) // the last byte is for the end
	n, err := io.ReadFull(r, data)
	switch {
	case err == nil:
		return nil, allocator.ErrTooLarge
	case int64(n) < size || (err != io.EOF && err != io.ErrUnexpectedEOF):
		return nil, err
	}
	return allocator.Body{data[:n]}, nil
}

// respondFailure sends a failure instead of a target's response.
func respondFailure(w http.ResponseWriter, f *Failure) {
	writeFailure(w.Header(), f)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
