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
	// archivingDCs is the number of data centres whose daemons attempt to write a
	// snapshot in a window.
	archivingDCs = 2
	// archivingDaemons is the number of daemons that attempt it in each of them.
	archivingDaemons = 2
	// attemptStagger is the delay between the attempts of two consecutive daemons.
	attemptStagger = 3 * time.Second
)

// WindowOf returns the number of the window that contains a revision. A window is a
// range of EntriesPerSnapshot consecutive revisions. The daemons that attempt to write
// a snapshot differ from window to window.
func WindowOf(revision uint64) uint64 { return revision / EntriesPerSnapshot }

// AttemptDelay returns how long a daemon waits in a window before it attempts to
// write a snapshot, and whether it attempts at all. The result depends only on the
// window and the candidates: rendezvous hashing selects a few data centres, and a few
// daemons in each of them. The number of attempts therefore does not grow with the
// number of daemons. If all candidates are in one data centre, it is always selected,
// with rank 0, so an isolated data centre still writes snapshots.
func AttemptDelay(window uint64, self Candidate, candidates []Candidate) (wait time.Duration, ok bool) {
	var dcs, daemons []string
	for _, c := range candidates {
		if !slices.Contains(dcs, c.DC) {
			dcs = append(dcs, c.DC)
		}
		if c.DC == self.DC {
			daemons = append(daemons, c.ID)
		}
	}
	key := "archiver/" + strconv.FormatUint(window, 10)
	dcRank := slices.Index(ranker.Top(key, dcs, archivingDCs), self.DC)
	daemonRank := slices.Index(ranker.Top(key, daemons, archivingDaemons), self.ID)
	if dcRank < 0 || daemonRank < 0 {
		return 0, false
	}
	return time.Duration(dcRank*archivingDaemons+daemonRank) * attemptStagger, true
}
