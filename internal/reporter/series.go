package reporter

// series is a ring buffer of tallies in buckets of a fixed number of minutes.
type series struct {
	// bucketMinutes is the duration of a bucket in minutes.
	bucketMinutes int64
	tallies       []Tally
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

func newSeries(bucketMinutes int64, buckets int) *series {
	return &series{
		bucketMinutes: bucketMinutes,
		tallies:       make([]Tally, buckets),
	}
}

// add adds a tally to the bucket that contains the given minute. A tally that is
// older than the oldest bucket is dropped.
func (s *series) add(minute int64, t Tally) {
	n := minute / s.bucketMinutes
	s.advance(n)
	if n <= s.newest-int64(len(s.tallies)) {
		return
	}
	i := n % int64(len(s.tallies))
	s.tallies[i] = s.tallies[i].Plus(t)
}

// advance makes n the newest bucket. It clears the buckets after the previous
// newest one, up to n.
func (s *series) advance(n int64) {
	if n <= s.newest {
		return
	}
	size := int64(len(s.tallies))
	for k := max(s.newest+1, n-size+1); k <= n; k++ {
		s.tallies[k%size] = Tally{}
	}
	s.newest = n
}

// last returns the tallies of the given number of buckets, oldest first. The last
// one contains the given minute.
func (s *series) last(minute int64, buckets int) []Tally {
	end := minute / s.bucketMinutes
	size := int64(len(s.tallies))
	tallies := make([]Tally, 0, buckets)
	for n := end - int64(buckets) + 1; n <= end; n++ {
		if n < 0 || n > s.newest || n <= s.newest-size {
			tallies = append(tallies, Tally{})
			continue
		}
		tallies = append(tallies, s.tallies[n%size])
	}
	return tallies
}

// sum returns the sum of the given number of buckets. The last one contains the
// given minute.
func (s *series) sum(minute int64, buckets int) Tally {
	var total Tally
	for _, t := range s.last(minute, buckets) {
		total = total.Plus(t)
	}
	return total
}
