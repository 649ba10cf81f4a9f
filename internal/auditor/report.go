package auditor

import (
	"fmt"
	"io"
)

// Place is a finding with its place in a file.
type Place struct {
	File string `json:"file"`
	// Line is the line in the file, from 1, or 0 if it is not known.
	Line  int    `json:"line"`
	Key   string `json:"key"`
	Level Level  `json:"level"`
	Text  string `json:"text"`
}

// Report is the result of a check, for people and as JSON.
type Report struct {
	// Version is that of the checked plan, and Force that of the plan in force, or 0 if it
	// is not known.
	Version  uint64   `json:"version"`
	Force    uint64   `json:"force,omitempty"`
	Findings []Place  `json:"findings"`
	Changes  []Change `json:"changes"`
}

// WriteText writes the report for a person, a line for each finding and each change.
func (r Report) WriteText(w io.Writer) error {
	for _, p := range r.Findings {
		if _, err := fmt.Fprintln(w, p); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "version %d: %d findings\n", r.Version, len(r.Findings)); err != nil || r.Force == 0 {
		return err
	}
	if _, err := fmt.Fprintf(w, "%d changes from version %d, in force\n", len(r.Changes), r.Force); err != nil {
		return err
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintln(w, c); err != nil {
			return err
		}
	}
	return nil
}

// String returns the place and the finding as a person reads them.
func (p Place) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Level, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s: %s", p.File, p.Line, p.Key, p.Level, p.Text)
}

// String returns the change as a person reads it.
func (c Change) String() string {
	switch {
	case c.Field != "":
		return fmt.Sprintf("~ %s: %s %s -> %s", c.Entry, c.Field, c.Old, c.New)
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Entry, c.New)
	default:
		return fmt.Sprintf("- %s: %s", c.Entry, c.Old)
	}
}
