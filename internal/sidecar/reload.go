package sidecar

import "github.com/coltsfootlane/coltsfootlane/internal/loader"

// Reload puts new settings in force as far as that can be done without a
// restart: the log's level and the shares of retries. What else has changed is
// logged.
func (d *Daemon) Reload(s loader.Settings) {
	if s.Sidecar == nil {
		d.log.Error("settings refused; they are not for this platform")
		return
	}
	d.setLevel(s.Log)
	d.budget.Set(s.Sidecar.RetryRatio, s.Sidecar.RetrySlack)
	if s.Listen != d.settings.Listen || s.Platform != d.settings.Platform || s.Sidecar.Target != d.sidecar.Target {
		d.log.Warn("settings changed that need a restart: addresses")
	}
	d.log.Info("settings loaded again")
}
