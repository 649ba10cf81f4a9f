package carrier

import (
	"cmp"
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"strconv"
	"time"

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

	bodyLimiter bodyLimiter
}

// startedKey is the context key of the function that acknowledges an attempt.
type startedKey struct{}

// Acknowledge acknowledges the attempt in ctx to the daemon that sent it: it was
// passed to the target or queued.
func Acknowledge(ctx context.Context) {
	if acknowledge, ok := ctx.Value(startedKey{}).(func()); ok {
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
	o := readAttempt(r)
	started := false
	b := &body{
		readAll: func() error {
			data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBody()))
			o.Body = data
			return err
		},
	}
	ctx := context.WithValue(r.Context(), startedKey{}, func() {
		if !started {
			started = true
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
	response, err := s.Deliver(context.WithValue(ctx, bodyKey{}, b), o)
	b.endTurn()
	h := w.Header()
	setDurationHeader(h, spentHeader, time.Since(began))
	if err != nil {
		respondFailure(w, NewFailure(err))
		return
	}
	for name, values := range response.Header {
		h[name] = values
	}
	writeLoad(h, response.Load)
	h.Set(statusHeader, strconv.Itoa(response.Status))
	h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(response.Body)
}

// respondFailure responds to an attempt without a target's response.
func respondFailure(w http.ResponseWriter, f *Failure) {
	writeFailure(w.Header(), f)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
