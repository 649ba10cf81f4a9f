package gater_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/gater"
)

var start = time.Date(2030, 1, 1, 6, 0, 0, 0, time.UTC)

func ExampleGate_Share() {
	g := gater.New(
		gater.Setting{DataCentre: "zilina", Evacuated: true, Since: start},
		gater.Setting{DataCentre: "zilina", Since: start.Add(time.Hour)},
	)
	rampStart := start.Add(time.Hour)
	for _, d := range []time.Duration{0, 15 * time.Second, time.Minute} {
		fmt.Println(g.Share("zilina", rampStart.Add(d)))
	}
	// Output:
	// 0.05
	// 0.5
	// 1
}

func TestLatestSettingWins(t *testing.T) {
	broughtBack := gater.Setting{DataCentre: "a", Since: start.Add(time.Second)}
	evacuated := gater.Setting{DataCentre: "a", Evacuated: true, Since: start}
	for _, g := range []gater.Gate{gater.New(broughtBack, evacuated), gater.New(evacuated, broughtBack)} {
		if g.Evacuated("a") {
			t.Error("Evacuated() = true although the latest setting brought the data centre back, want false")
		}
	}
	if g := gater.New(evacuated); !g.Evacuated("a") || g.Share("a", start.Add(time.Hour)) != 0 || g.Evacuated("b") {
		t.Error("want Evacuated() = true and share 0 for the evacuated data centre, and Evacuated() = false for another")
	}
	if (gater.Gate{}).Share("a", start) != 1 || !gater.New(broughtBack).Unlimited(start.Add(time.Hour)) {
		t.Error("want share 1 without a setting, and no limit an hour after the data centre was brought back")
	}
}

func TestClockBehind(t *testing.T) {
	g := gater.New(gater.Setting{DataCentre: "a", Since: start})
	if share := g.Share("a", start.Add(-time.Hour)); share <= 0 || share > 0.1 {
		t.Errorf("Share() = %v with a clock that is an hour behind, want a share in (0, 0.1]", share)
	}
}
