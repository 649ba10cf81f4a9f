package carrier

import (
	"context"
	"time"
)

// bodyKey is the context key of an order's body.
type bodyKey struct{}

// body is an order's body that its sender may wait to be asked for.
type body struct {
	// read reads it, and is nil once that was done.
	read func() error
	// intake gives the turns to large bodies, and is nil for others.
	intake *intake
	// limit bounds the turn.
	limit time.Duration
	// done ends the turn, and is nil before it.
	done func()
}

// take reads the body once.
func (b *body) take() error {
	if b.read == nil {
		return nil
	}
	defer b.endTurn()
	read := b.read
	b.read = nil
	return read()
}

func (b *body) endTurn() {
	if b.done != nil {
		b.done()
	}
}

// NeedsTurn reports whether an order's body may be read only after AwaitTurn.
func NeedsTurn(ctx context.Context) bool {
	b, ok := ctx.Value(bodyKey{}).(*body)
	return ok && b.intake != nil
}

// AwaitTurn waits until the order's body may be read. Its error is NotRun: the
// turn is not likely to come within the given time, or the order has ended.
func AwaitTurn(ctx context.Context, patience time.Duration) error {
	b, ok := ctx.Value(bodyKey{}).(*body)
	if !ok || b.intake == nil {
		return nil
	}
	done, err := b.intake.enter(ctx, patience, b.limit)
	b.done = done
	return err
}

// ReadBody reads the order's body if its sender waits to be asked for it, and
// ends its turn.
func ReadBody(ctx context.Context) error {
	b, ok := ctx.Value(bodyKey{}).(*body)
	if !ok {
		return nil
	}
	return b.take()
}
