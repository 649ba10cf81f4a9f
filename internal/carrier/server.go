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

// Server takes orders from other daemons.
type Server struct {
	Key     string
	Deliver Deliver
	// MaxBody bounds an order's body, in bytes.
	MaxBody func() int64
	// BodyTurn is how long a large body may keep others waiting; 0 means 200 ms.
	BodyTurn time.Duration

	intake intake
}

// startedKey is the context key of the function that tells the sender that its
// order was handed over or queued.
type startedKey struct{}

// Started tells the daemon that sent the order that it was taken.
func Started(ctx context.Context) {
	if tell, ok := ctx.Value(startedKey{}).(func()); ok {
		tell()
	}
}

// ServeHTTP takes one order.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(forwarder.KeyHeader)), []byte(s.Key)) != 1 {
		fail(w, &Failure{Failure: classifier.Fail(classifier.NotRun, "wrong key", nil)})
		return
	}
	began := time.Now()
	o := readOrder(r)
	started := false
	b := &body{
		read: func() error {
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
		if err := b.take(); err != nil {
			fail(w, &Failure{Failure: classifier.Fail(classifier.NotRun, "order broke off", err)})
			return
		}
	case r.ContentLength >= expectBytes:
		b.intake, b.limit = &s.intake, cmp.Or(s.BodyTurn, bodyTurn)
	}
	answer, err := s.Deliver(context.WithValue(ctx, bodyKey{}, b), o)
	b.endTurn()
	h := w.Header()
	setDuration(h, spentHeader, time.Since(began))
	if err != nil {
		fail(w, Fail(err))
		return
	}
	for name, values := range answer.Header {
		h[name] = values
	}
	writeLoad(h, answer.Load)
	h.Set(statusHeader, strconv.Itoa(answer.Status))
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer.Body)
}

// fail answers an order that the target has not answered.
func fail(w http.ResponseWriter, f *Failure) {
	writeFailure(w.Header(), f)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
