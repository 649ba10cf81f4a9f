package carrier

import (
	"testing"
	"time"
)

func TestProgressIsToldOnce(t *testing.T) {
	for name, test := range map[string]struct {
		delay time.Duration
		early bool
		want  int
	}{
		"at once":               {want: 1},
		"after a while":         {delay: time.Millisecond, want: 1},
		"answered before that":  {delay: time.Hour, early: true, want: 0},
		"answered after a tell": {early: true, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			told := make(chan struct{}, 8)
			p := &progress{
				delay: test.delay,
				tell:  func() { told <- struct{}{} },
			}
			p.start()
			p.start()
			if !test.early {
				select {
				case got := <-told:
					told <- got
				case <-time.After(20 * time.Second):
				}
			}
			p.end()
			p.start()
			if len(told) != test.want {
				t.Errorf("told %d times, want %d", len(told), test.want)
			}
		})
	}
}
