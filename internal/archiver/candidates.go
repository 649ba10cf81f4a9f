package archiver

import (
	"slices"
	"strconv"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
)

// Candidate is a daemon that can write snapshots. ID is the daemon's ID, DC its
// data centre.
type Candidate struct {
	ID string
	DC string
}

// Parameters of the choice of archivers.
const (
	// archivingCentres is the number of data centres that attempt in a window.
	archivingCentres = 2
	// archivingDaemons is the number of daemons that attempt in each of them.
	archivingDaemons = 2
	// attemptStagger is the delay between the attempts of two daemons.
	attemptStagger = 3 * time.Second
)

// Window returns the number of the window of revisions that a revision belongs
// to. A window is EntriesPerSnapshot revisions long. The daemons that attempt to write a
// snapshot differ from window to window.
func Window(revision uint64) uint64 { return revision / EntriesPerSnapshot }

// AttemptDelay returns how long a daemon waits in a window before it attempts to write a
// snapshot, and whether it attempts at all. The result depends only on the window
// and the candidates: rendezvous hashing selects a few data centres, and a few
// daemons in each of them. So the number of attempts does not grow with the number
// of daemons. If all contains only candidates of the daemon's own data centre,
// that data centre is always selected, in first place.
func AttemptDelay(window uint64, self Candidate, all []Candidate) (wait time.Duration, ok bool) {
	var centres, daemons []string
	for _, c := range all {
		if !slices.Contains(centres, c.DC) {
			centres = append(centres, c.DC)
		}
		if c.DC == self.DC {
			daemons = append(daemons, c.ID)
		}
	}
	key := "archiver/" + strconv.FormatUint(window, 10)
	centre := slices.Index(ranker.Top(key, centres, archivingCentres), self.DC)
	daemon := slices.Index(ranker.Top(key, daemons, archivingDaemons), self.ID)
	if centre < 0 || daemon < 0 {
		return 0, false
	}
	return time.Duration(centre*archivingDaemons+daemon) * attemptStagger, true
}
