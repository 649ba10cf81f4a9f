package sidecar

import "github.com/coltsfootlane/coltsfootlane/internal/loader"

// Reload applies the settings that can change without a restart: the log level
// and the parameters of the retry budget. It logs a warning if the addresses
// have changed as well, since they need a restart.
func (d *Daemon) Reload(s loader.Settings) {
	if s.Sidecar == nil {
		d.log.Error("settings refused: they lack the sidecar section")
		return
	}
	d.setLevel(s.Log)
	d.usage.reload(s.Sidecar)
	d.retryBudget.SetLimits(s.Sidecar.RetryRatio, s.Sidecar.RetrySlack)
	if s.Listen != d.settings.Listen || s.Platform != d.settings.Platform || s.Sidecar.Target != d.sidecar.Target {
		d.log.Warn("changed addresses take effect only after a restart")
	}
	if s.Sidecar.RevokeWithin != d.sidecar.RevokeWithin {
		d.log.Warn("a changed time for removed keys takes effect only after a restart", "set", s.Sidecar.RevokeWithin, "inforce", d.sidecar.RevokeWithin)
	}
	d.log.Info("settings reloaded")
}
