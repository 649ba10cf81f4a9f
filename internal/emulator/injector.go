package emulator

import (
	"context"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/storer"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// Fault is the fault that an Injector applies to one call.
type Fault int

const (
	// FaultNone applies no fault.
	FaultNone Fault = iota
	// FaultRefuse fails the call with the verdict NotRun. The call has no effect.
	FaultRefuse
	// FaultDrop fails the call with the verdict MayHaveRun. The call has no effect.
	FaultDrop
	// FaultLose executes the call and fails it with the verdict MayHaveRun.
	FaultLose
	// FaultDelay fails the call with the verdict MayHaveRun and executes it later.
	FaultDelay
	// FaultKinds is the number of kinds of faults.
	FaultKinds
)

// Injector injects faults into the calls of one client to a platform. Watch and
// KeepAlive are not affected.
type Injector struct {
	Inner storer.Platform
	// NextFault returns the fault of the next call. It is called before each call.
	NextFault func() Fault
	// OnDelayed is called with each delayed call and executes it later. It may be nil
	// if NextFault never returns FaultDelay.
	OnDelayed func(call func())
}

// Platform returns the inner platform with the faults injected.
func (i Injector) Platform() storer.Platform {
	p := i.Inner
	p.Get = func(ctx context.Context, key string) (item storer.Item, err error) {
		err = i.inject(func() (err error) {
			item, err = i.Inner.Get(ctx, key)
			return err
		})
		return item, err
	}
	p.PutIf = func(ctx context.Context, key string, value []byte, version uint64, id storer.LeaseID) (after uint64, err error) {
		err = i.inject(func() (err error) {
			after, err = i.Inner.PutIf(ctx, key, value, version, id)
			return err
		})
		return after, err
	}
	p.DeleteIf = func(ctx context.Context, key string, version uint64) error {
		return i.inject(func() error { return i.Inner.DeleteIf(ctx, key, version) })
	}
	p.Grant = func(ctx context.Context, ttl time.Duration) (id storer.LeaseID, err error) {
		err = i.inject(func() (err error) {
			id, err = i.Inner.Grant(ctx, ttl)
			return err
		})
		return id, err
	}
	p.Revoke = func(ctx context.Context, id storer.LeaseID) error {
		return i.inject(func() error { return i.Inner.Revoke(ctx, id) })
	}
	return p
}

// inject gets a fault from NextFault and applies it to the call inner.
func (i Injector) inject(inner func() error) error {
	switch i.NextFault() {
	case FaultRefuse:
		return classifier.NewFailure(classifier.NotRun, "injected refusal", nil)
	case FaultDrop:
		return classifier.NewFailure(classifier.MayHaveRun, "injected drop", nil)
	case FaultLose:
		_ = inner()
		return classifier.NewFailure(classifier.MayHaveRun, "injected loss", nil)
	case FaultDelay:
		i.OnDelayed(func() { _ = inner() })
		return classifier.NewFailure(classifier.MayHaveRun, "injected delay", nil)
	default:
		return inner()
	}
}
