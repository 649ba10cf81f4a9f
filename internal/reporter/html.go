package reporter

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
)

//go:embed report.html.tmpl
var pageSource string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"stamp":  formatTime,
	"goal":   formatGoal,
	"burn":   formatBurn,
	"left":   formatBudgetLeft,
	"badly":  badPlot,
	"slots":  slotPlot,
	"titles": windowNames,
}).Parse(pageSource))

// WriteHTML writes the report as an HTML page without external resources.
func (r Report) WriteHTML(w io.Writer) error {
	return Class.Wrap(pageTemplate.Execute(w, r))
}

// windowNames returns the names of the windows of the burn rates.
func windowNames() []string {
	names := make([]string, 0, len(windows))
	for _, w := range windows {
		names = append(names, w.Name)
	}
	return names
}

// Size of a plot in pixels.
const (
	plotWidth  = 240
	plotHeight = 36
)

// badPlot plots the fraction of bad calls in each minute.
func badPlot(minutes []Tally) template.HTML {
	return plot(minutes, "bad", func(t Tally) float64 {
		if t.Calls == 0 {
			return 0
		}
		return float64(t.Bad) / float64(t.Calls)
	})
}

// slotPlot plots the number of slots of targets with load in each minute.
func slotPlot(minutes []Tally) template.HTML {
	return plot(minutes, "slots", func(t Tally) float64 { return float64(t.Slots) })
}

// plot draws one bar for each minute. The highest value has the full height.
func plot(minutes []Tally, class string, value func(Tally) float64) template.HTML {
	highest := 0.0
	for _, t := range minutes {
		highest = max(highest, value(t))
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg class="%s" width="%d" height="%d" role="img"><title>last hour, highest %.3g</title>`, class, plotWidth, plotHeight, highest)
	width := float64(plotWidth) / float64(max(1, len(minutes)))
	for i, t := range minutes {
		if v := value(t); v > 0 {
			height := v / highest * plotHeight
			fmt.Fprintf(&b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f"/>`, float64(i)*width, plotHeight-height, width, height)
		}
	}
	b.WriteString(`</svg>`)
	return template.HTML(b.String()) //nolint:gosec // only numbers and constants
}
