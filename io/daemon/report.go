package daemon

import (
	"bytes"

	"catkincove/core/config"
	"catkincove/io/report"
)

// Report implements entry.Daemon.
func (daemon *Daemon) Report() ([]byte, error) {
	var buffer bytes.Buffer
	snapshot := daemon.burn.Report(daemon.clock.Now())
	if err := report.JSON(&buffer, snapshot, serviceLevels(daemon.InForce())); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func serviceLevels(settings config.Config) []config.ServiceLevel {
	var levels []config.ServiceLevel
	for _, name := range settings.Names(config.KindServiceLevel) {
		if level, found := settings.ServiceLevel(name); found {
			levels = append(levels, level)
		}
	}
	return levels
}
