package server

import (
	"io"
	"time"

	"github.com/charmbracelet/log"

	"github.com/coltsfootlane/coltsfootlane/internal/loader"
)

// NewLog returns a logger that writes to w, in the format and at the level
// given by the settings.
func NewLog(w io.Writer, settings loader.Log) *log.Logger {
	options := log.Options{
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Level:           log.InfoLevel,
	}
	if settings.Format == "json" {
		options.Formatter = log.JSONFormatter
	}
	if level, err := log.ParseLevel(settings.Level); err == nil {
		options.Level = level
	}
	return log.NewWithOptions(w, options)
}
