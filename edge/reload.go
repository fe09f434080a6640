package edge

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// settingsPollInterval is how often the settings file is compared with its last content, since it
// may change without a signal. Reading a small file takes some microseconds.
const settingsPollInterval = 2 * time.Second

// settingsWatcher detects changes of the settings file.
type settingsWatcher struct {
	args    []string
	file    string
	content []byte
}

func newSettingsWatcher(s *Settings, args []string) *settingsWatcher {
	w := &settingsWatcher{args: args, file: s.File}
	w.refresh()
	return w
}

// refresh reads the file and reports whether its content differs from that at the last call. A file
// that cannot be read counts as unchanged: it may be in the course of being replaced.
func (w *settingsWatcher) refresh() bool {
	if w.file == "" {
		return false
	}
	content, err := os.ReadFile(w.file)
	if err != nil || bytes.Equal(content, w.content) {
		return false
	}
	w.content = content
	return true
}

// reload applies the settings of the file that can change while the daemon runs. An invalid file
// changes no setting.
func (d *Daemon) reload(w *settingsWatcher, cause string) {
	w.refresh()
	next, err := ParseSettings(w.args)
	if err != nil {
		reason := "content"
		if errors.Is(err, fs.ErrNotExist) {
			reason = "missing"
		}
		d.counters.Count("settings.refused")
		d.logger.Error().Str("event", eventReloadRefused).Str("cause", cause).Str("reason", reason).Err(err).Send()
		return
	}
	if names := d.settings.settingsNeedingRestart(next); len(names) > 0 {
		d.logger.Warn().Str("event", eventRestartNeeded).Strs("settings", names).Send()
	}
	zerolog.SetGlobalLevel(next.logLevel())
	d.settings.GraceSeconds = next.GraceSeconds
	d.setSeeds(next)
	d.setBounds(next)
	d.setStoreAddress(next)
	d.counters.Count("settings.reloaded")
	d.logger.Info().Str("event", eventReloaded).Str("cause", cause).Send()
}

// setStoreAddress makes later calls of the store go to the address in validated settings.
func (d *Daemon) setStoreAddress(next *Settings) {
	if next.StoreAddress == d.settings.StoreAddress {
		return
	}
	d.logger.Info().Str("event", eventStoreAddress).Str("old", d.settings.StoreAddress).Str("new", next.StoreAddress).Send()
	d.settings.StoreAddress = next.StoreAddress
	d.storeClient.SetAddress(next.storeAddress())
	d.storeClient.Close() // Idle connections to the earlier address would stay open.
}

// setBounds applies the bounds of validated settings, except whether evacuations are read.
func (d *Daemon) setBounds(next *Settings) {
	earlier := d.settings.statedBoundMs()
	d.settings.ConfigurationBound, d.settings.DrainBound = next.ConfigurationBound, next.DrainBound
	if next.readsEvacuations() == d.settings.readsEvacuations() {
		d.settings.EvacuationBound = next.EvacuationBound
	}
	bound := d.settings.propagationBound()
	d.syncer.SetPropagationBound(bound)
	d.loop.steerer.SetPropagationBound(bound)
	if d.settings.statedBoundMs() != earlier {
		d.logBound()
	}
	d.settings.ColdOverage, d.settings.ColdSlack = next.ColdOverage, next.ColdSlack
	if d.coldLimit != nil {
		d.coldLimit.SetMargins(next.coldOverage(), next.coldSlack())
	}
}

// logBound writes a line if the daemon aims at another time than the settings state, since that is too short or too
// long.
func (d *Daemon) logBound() {
	const shortestMs, longestMs = float64(shortestPropagationBound / time.Millisecond), float64(longestPropagationBound / time.Millisecond)
	stated, used := d.settings.statedBoundMs(), d.settings.propagationBound()
	level := zerolog.InfoLevel
	switch {
	case stated < shortestMs:
		level = zerolog.WarnLevel
	case stated <= longestMs:
		return
	}
	d.logger.WithLevel(level).Str("event", eventBoundLimited).Float64("stated_ms", stated).Dur("used_ms", used).Send()
}
