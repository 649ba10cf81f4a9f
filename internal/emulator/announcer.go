package emulator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/requester"
)

// announcement is the JSON body of an announcement.
type announcement struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
	Draining bool   `json:"draining,omitempty"`
}

// Announce sends an announcement of the target to the daemon with the given
// operator address every period until ctx is done. It then deregisters the target
// and returns.
func (t *Target) Announce(ctx context.Context, daemon string, period time.Duration) {
	url := "http://" + daemon + "/v1/target"
	for ctx.Err() == nil {
		if err := t.sendAnnouncement(ctx, url, http.MethodPut); err != nil && ctx.Err() == nil {
			t.reportError(fmt.Errorf("announce target: %w", err))
		}
		_ = sleep(ctx, period)
	}
	deregisterCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := t.sendAnnouncement(deregisterCtx, url, http.MethodDelete); err != nil {
		t.reportError(fmt.Errorf("deregister target: %w", err))
	}
}

// reportError calls the Warn function if it is set.
func (t *Target) reportError(err error) {
	if t.Warn != nil {
		t.Warn(err)
	}
}

// sendAnnouncement sends an announcement with the given method: PUT registers
// the target and DELETE removes it.
func (t *Target) sendAnnouncement(ctx context.Context, url, method string) error {
	return requester.Do(ctx, method, url, announcement{
		Service:  t.Service,
		Version:  t.Version,
		Address:  t.Address,
		Slots:    t.Slots,
		Draining: t.draining.Load(),
	}, nil)
}
