package reporter

// Outbox numbers the batches for one receiver and keeps them until the receiver
// acknowledges them. The zero value is ready to use.
type Outbox struct {
	lastNumber int64
	pending    []Batch
}

// maxPending bounds the batches that wait for an acknowledgement. Beyond it, a
// new batch is merged with the newest pending one.
const maxPending = 8

// Enqueue numbers a batch and adds it to the pending batches.
func (o *Outbox) Enqueue(b Batch) {
	if len(o.pending) >= maxPending {
		b.Rows = mergeRows(o.pending[len(o.pending)-1].Rows, b.Rows)
		o.pending = o.pending[:len(o.pending)-1]
	}
	o.lastNumber++
	b.Number = o.lastNumber
	o.pending = append(o.pending, b)
}

// mergeRows returns the sums of the rows by key.
func mergeRows(a, b []Row) []Row {
	var sums Sums
	for _, rows := range [][]Row{a, b} {
		for _, r := range rows {
			sums.Add(r.Key, r.Tally)
		}
	}
	return sums.Drain()
}

// Next returns the oldest pending batch, or false if there is none.
func (o *Outbox) Next() (Batch, bool) {
	if len(o.pending) == 0 {
		return Batch{}, false
	}
	return o.pending[0], true
}

// Acknowledge removes the oldest pending batch if it has the given number. It is
// called when the receiver has acknowledged that batch.
func (o *Outbox) Acknowledge(number int64) {
	if len(o.pending) > 0 && o.pending[0].Number == number {
		o.pending = o.pending[1:]
	}
}
