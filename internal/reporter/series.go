package reporter

// series is a ring buffer of tallies in steps of a fixed number of minutes.
type series struct {
	// step is the duration of a step in minutes.
	step    int64
	tallies []Tally
	// newest is the newest step, numbered from the Unix epoch.
	newest int64
}

func newSeries(step int64, steps int) *series {
	return &series{
		step:    step,
		tallies: make([]Tally, steps),
	}
}

// add adds a tally to the step of a minute. A tally that is older than the series
// is dropped.
func (s *series) add(minute int64, t Tally) {
	n := minute / s.step
	s.advance(n)
	if n <= s.newest-int64(len(s.tallies)) {
		return
	}
	i := n % int64(len(s.tallies))
	s.tallies[i] = s.tallies[i].Plus(t)
}

// advance makes n the newest step and clears the steps before it that are newer
// than the previous one.
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

// last returns the tallies of the given number of steps up to a minute, oldest
// first.
func (s *series) last(minute int64, steps int) []Tally {
	end := minute / s.step
	size := int64(len(s.tallies))
	tallies := make([]Tally, 0, steps)
	for n := end - int64(steps) + 1; n <= end; n++ {
		if n < 0 || n > s.newest || n <= s.newest-size {
			tallies = append(tallies, Tally{})
			continue
		}
		tallies = append(tallies, s.tallies[n%size])
	}
	return tallies
}

// sum returns the sum of the given number of steps up to a minute.
func (s *series) sum(minute int64, steps int) Tally {
	var total Tally
	for _, t := range s.last(minute, steps) {
		total = total.Plus(t)
	}
	return total
}
