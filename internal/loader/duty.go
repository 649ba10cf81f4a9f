package loader

import (
	"fmt"
	"math"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Duty contains the settings of a duty of one daemon at a time.
type Duty struct {
	// Address is the IP:port of the platform's API.
	Address string `json:"address"`
	// Window is the length of the windows that are reported, and Late the time after the end
	// of one after which its report is late.
	Window parser.Duration `json:"window"`
	Late   parser.Duration `json:"late"`
	// Lease is the time for which a holder stays one without a renewal. Thaw is the time by
	// which it stops acting before its lease ends.
	Lease parser.Duration `json:"lease"`
	Thaw  parser.Duration `json:"thaw"`
	// Pace is the number of calls a second that the platform accepts.
	Pace float64 `json:"pace"`
}

// check adds an error to group for each invalid setting of a duty.
func (d Duty) check(key string, group *errs.Group) {
	checkAddress(key+".address", d.Address, group)
	if d.Window.Duration < time.Millisecond || d.Late.Duration <= 0 {
		group.Add(fmt.Errorf("%s: want a window of at least 1ms and a positive late", key))
	}
	if d.Thaw.Duration <= 0 || d.Lease.Duration < minLeaseShare*d.Thaw.Duration {
		group.Add(fmt.Errorf("%s: want a positive thaw and a lease of at least %d times that", key, minLeaseShare))
	}
	if !(d.Pace > 0) || math.IsInf(d.Pace, 0) {
		group.Add(fmt.Errorf("%s.pace: want a positive number", key))
	}
}

// minLeaseShare is the least ratio of a duty's lease to its thaw. A holder renews its lease when
// a quarter has passed.
const minLeaseShare = 3
