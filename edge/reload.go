package edge

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// settingsInterval is how often the settings file is compared, since it may change without a
// signal. A read of a small file costs some microseconds.
const settingsInterval = 2 * time.Second

// settingsWatcher notices changes of the settings file.
type settingsWatcher struct {
	args    []string
	file    string
	content []byte
}

func newSettingsWatcher(s *Settings, args []string) *settingsWatcher {
	w := &settingsWatcher{args: args, file: s.File}
	w.hasChanged()
	return w
}

// hasChanged reports whether the file has another content than at the last call. A file that
// cannot be read at the moment counts as unchanged: it may be about to be replaced.
func (w *settingsWatcher) hasChanged() bool {
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

// reload puts the settings of the file in force that a running daemon can take over. A bad file
// leaves all of them as they are.
func (d *Daemon) reload(w *settingsWatcher, cause string) {
	w.hasChanged()
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
	if names := d.settings.needsRestart(next); len(names) > 0 {
		d.logger.Warn().Str("event", eventRestartNeeded).Strs("settings", names).Send()
	}
	zerolog.SetGlobalLevel(next.level())
	d.settings.GraceSeconds = next.GraceSeconds
	d.setSeeds(next)
	d.counters.Count("settings.reloaded")
	d.logger.Info().Str("event", eventReloaded).Str("cause", cause).Send()
}
