package edge

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/budget"
	"yuccadoor/core/find"
	"yuccadoor/core/quota"
)

// SettingsRead describes one reading of the settings file.
type SettingsRead struct {
	Cause  string // "start", "signal" or "file"
	Digest string // of the file's bytes; empty if it could not be read
}

// SettingsStatus describes which settings a host has read and which are in force.
type SettingsStatus struct {
	InForce      string    // digest of the file whose settings are in force
	Since        time.Time // when they came into force
	Cause        string    // what triggered reading them
	Read         string    // digest of the file that was read last
	ReadAt       time.Time
	Findings     []string // errors in that file, with their positions; the previous settings stay in force
	NeedsRestart []string // settings that differ in that file and take effect only at a restart
	Seeds        []netip.AddrPort
	Grace        time.Duration // in nanoseconds
	Retries      budget.Bounds
	Tolerance    quota.Tolerance
}

// settingsState holds the status of the settings.
type settingsState struct {
	mu     sync.Mutex
	status SettingsStatus // guarded by mu
}

func (s *settingsState) get() SettingsStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// setInForce records that the settings read are in force.
func (s *settingsState) setInForce(now time.Time, r SettingsRead, settings Settings, needsRestart []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = SettingsStatus{
		InForce: r.Digest, Since: now, Cause: r.Cause, Read: r.Digest, ReadAt: now, NeedsRestart: needsRestart,
		Seeds: slices.Clone(settings.Seeds), Grace: settings.Grace, Retries: settings.Retries, Tolerance: settings.Tolerance,
	}
}

// setRejected records that the settings read have errors.
func (s *settingsState) setRejected(now time.Time, r SettingsRead, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Read, s.status.ReadAt, s.status.Findings = r.Digest, now, findingTexts(err)
}

// findingTexts returns the messages of all findings of an error, with their positions.
func findingTexts(err error) []string {
	var list find.List
	if !errors.As(err, &list) {
		return []string{err.Error()}
	}
	var texts []string
	for _, f := range list {
		texts = append(texts, f.Position.String()+": "+f.Message)
	}
	return texts
}

// restartRequired names the settings that differ and take effect only at a restart.
func restartRequired(old, s Settings) []string {
	var names []string
	for _, setting := range []struct {
		name    string
		differs bool
	}{
		{"Front", s.Front != old.Front},
		{"Ready", s.Ready != old.Ready},
		{"Peer", s.Peer != old.Peer},
		{"Zone", s.Zone != old.Zone},
		{"Power", s.CPUShare != old.CPUShare},
		{"MemoryBytes", s.MemoryBytes != old.MemoryBytes},
	} {
		if setting.differs {
			names = append(names, setting.name)
		}
	}
	return names
}

// Reload applies new settings to a running host: seeds, bounds and grace. Settings that
// take effect only at a restart are logged. Running requests are not affected.
func (h *Host) Reload(r SettingsRead, s Settings) {
	needsRestart := restartRequired(h.settings, s)
	h.log.Event("info", "settings reloaded", "Cause", r.Cause, "NeedsRestart", len(needsRestart) > 0, "Seeds", len(s.Seeds),
		"Grace", s.Grace, "Digest", r.Digest, "Former", h.settingsState.get().InForce, "Retries", s.Retries, "Tolerance", s.Tolerance,
		"ApplyWithin", s.ApplyWithin, "OnlyAtStart", needsRestart)
	h.grace.Store(int64(s.Grace))
	h.gate.SetRetryBounds(s.Retries)
	h.coord.Reload(s.Seeds, s.Tolerance, s.ApplyWithin)
	h.settingsState.setInForce(h.options.Now(), r, s, needsRestart)
	h.metrics.countSettingsRead("InForce")
}

// RejectSettings records that new settings have errors; the previous ones stay in force.
func (h *Host) RejectSettings(r SettingsRead, err error) {
	h.log.Event("error", "settings rejected", "Cause", r.Cause, "Digest", r.Digest, "InForce", h.settingsState.get().InForce, "Error", err)
	h.settingsState.setRejected(h.options.Now(), r, err)
	h.metrics.countSettingsRead("Rejected")
}

// SettingsStatus returns which settings are in force.
func (h *Host) SettingsStatus() SettingsStatus { return h.settingsState.get() }
