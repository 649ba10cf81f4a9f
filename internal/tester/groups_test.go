package tester

import (
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
)

// TestGroupsFindEachOther starts two groups of daemons in one data centre during a
// platform outage. Neither group has a seed in the other one. After the outage the
// groups must merge, since daemons find each other through the relays' keys on
// the platform.
func TestGroupsFindEachOther(t *testing.T) {
	platform := startPlatform(t)
	setFaults(t, platform, emulator.Faults{Outage: true})
	var vms []*vm
	for _, name := range []string{"a", "b"} {
		first := startVM(t, name+"-1", "dc", platform)
		second := startVM(t, name+"-2", "dc", platform, first.settings.Listen.Control)
		vms = append(vms, first, second)
	}
	allCountAlive := func(n int64) func() bool {
		return func() bool {
			for _, v := range vms {
				if v.metric(t, "member.alive") != n {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "two groups of two daemons", allCountAlive(2))
	setFaults(t, platform, emulator.Faults{})
	eventually(t, "one group of four daemons", allCountAlive(4))
}
