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

// SettingsRead tells of one reading of the settings file.
type SettingsRead struct {
	Cause  string // "start", "signal" or "file"
	Digest string // of the file's bytes; empty if it could not be read
}

// SettingsStatus is which settings a host has read and which it holds in force.
type SettingsStatus struct {
	InForce      string    // digest of the file whose settings are in force
	Since        time.Time // when they came into force
	Cause        string    // of their reading
	Read         string    // digest of the file that was read last
	ReadAt       time.Time
	Findings     []string // of that file, each with its place; the former settings stay in force
	NeedsRestart []string // settings that differ in that file and are taken at a start only
	Seeds        []netip.AddrPort
	Grace        time.Duration // in nanoseconds
	Retries      budget.Bounds
	Tolerance    quota.Tolerance
}

// settingsLog keeps the settings in force for operators.
type settingsLog struct {
	mu     sync.Mutex
	status SettingsStatus // guarded by mu
}

func (l *settingsLog) get() SettingsStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

// inForce notes that what was read is in force.
func (l *settingsLog) inForce(now time.Time, r SettingsRead, s Settings, needsRestart []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status = SettingsStatus{
		InForce: r.Digest, Since: now, Cause: r.Cause, Read: r.Digest, ReadAt: now, NeedsRestart: needsRestart,
		Seeds: slices.Clone(s.Seeds), Grace: s.Grace, Retries: s.Retries, Tolerance: s.Tolerance,
	}
}

// rejected notes that what was read has findings.
func (l *settingsLog) rejected(now time.Time, r SettingsRead, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status.Read, l.status.ReadAt, l.status.Findings = r.Digest, now, findings(err)
}

func findings(err error) []string {
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

// restartOnly names the settings that differ and are taken at a start only.
func restartOnly(old, s Settings) []string {
	var names []string
	for _, x := range []struct {
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
		if x.differs {
			names = append(names, x.name)
		}
	}
	return names
}

// Reload takes new settings of a running host: seeds, bounds and grace. What only
// a start can change is logged. No request is touched.
func (h *Host) Reload(r SettingsRead, s Settings) {
	needsRestart := restartOnly(h.settings, s)
	h.log.Event("info", "settings reloaded", "Cause", r.Cause, "NeedsRestart", len(needsRestart) > 0, "Seeds", len(s.Seeds),
		"Grace", s.Grace, "Digest", r.Digest, "Former", h.kept.get().InForce, "Retries", s.Retries, "Tolerance", s.Tolerance,
		"OnlyAtStart", needsRestart)
	h.grace.Store(int64(s.Grace))
	h.gate.SetRetryBounds(s.Retries)
	h.coord.Reload(s.Seeds, s.Tolerance)
	h.kept.inForce(h.options.Now(), r, s, needsRestart)
	h.counts.settingsRead("InForce")
}

// RejectSettings takes that new settings have findings; the former stay in force.
func (h *Host) RejectSettings(r SettingsRead, err error) {
	h.log.Event("error", "settings rejected", "Cause", r.Cause, "Digest", r.Digest, "InForce", h.kept.get().InForce, "Error", err)
	h.kept.rejected(h.options.Now(), r, err)
	h.counts.settingsRead("Rejected")
}

// SettingsStatus tells which settings are in force.
func (h *Host) SettingsStatus() SettingsStatus { return h.kept.get() }
