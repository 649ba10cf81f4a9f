package loader

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Default values of settings that are not set.
const (
	defaultPlatformTimeout   = 2 * time.Second
	defaultHeaderBytes       = 64 << 10
	defaultBodyBytes         = 64 << 20
	defaultQueueLength       = 64
	defaultDrainTimeout      = 20 * time.Second
	defaultIdempotencyWindow = 10 * time.Minute
)

// WithDefaults returns a copy of s with the defaults of the settings that are not
// set.
func (s Settings) WithDefaults() Settings {
	if s.PlatformTimeout.Duration == 0 {
		s.PlatformTimeout = parser.Duration{Duration: defaultPlatformTimeout}
	}
	if s.Limits.MaxHeaderSize == 0 {
		s.Limits.MaxHeaderSize = defaultHeaderBytes
	}
	if s.Limits.MaxBodyBytes == 0 {
		s.Limits.MaxBodyBytes = defaultBodyBytes
	}
	if s.Limits.MaxQueued == 0 {
		s.Limits.MaxQueued = defaultQueueLength
	}
	if s.Limits.DrainTimeout.Duration == 0 {
		s.Limits.DrainTimeout = parser.Duration{Duration: defaultDrainTimeout}
	}
	if s.Limits.IdempotencyWindow.Duration == 0 {
		s.Limits.IdempotencyWindow = parser.Duration{Duration: defaultIdempotencyWindow}
	}
	return s
}
