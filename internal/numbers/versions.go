package numbers

import (
	"errors"
	"fmt"

	"indigodrift/policy"
)

// Trial says when a new version is taken back: once at least Least of the calls analysed within Window after the switch
// found no route, and they are more than Bound of all, over what share found none before.
type Trial struct {
	Window      policy.Tenths
	MaxIncrease float64
	MinFailures int
}

// pinnedTable is one version and the calls that go by it.
type pinnedTable struct {
	table *Table
	pins  int
}

// Versions holds the versions of one controller's table: the one in force, one that waits for its instant, and older ones
// that calls still go by. The one in force is switched by one pointer; a call keeps what it pinned until it lets it go.
type Versions struct {
	current              *pinnedTable
	previous             *Table // what a roll back returns to
	superseded           map[uint64]*pinnedTable
	pending              *Table
	activationTime       int64 // seconds since 1970, the instant at which it takes effect
	rejected             map[uint64]string
	trial                Trial
	activatedAt          policy.Tenths // when the one in force was switched to
	trialCalls           int           // analysed by it within the trial
	trialFailures        int
	baselineFailureRatio float64 // that found no route before the switch, a decaying mean
}

// Errors of a change of version.
var (
	ErrNotNewer   = errors.New("the version is not newer than the one in force or waiting")
	ErrRolledBack = errors.New("the version was taken back before")
	ErrNoPrevious = errors.New("there is no version to return to")
)

// NewVersions starts with a version in force.
func NewVersions(t *Table, trial Trial) *Versions {
	return &Versions{current: &pinnedTable{table: t}, superseded: map[uint64]*pinnedTable{}, rejected: map[uint64]string{}, trial: trial}
}

// Current is the version in force.
func (v *Versions) Current() *Table { return v.current.table }

// Pending is the version that waits and its instant, nil when none does.
func (v *Versions) Pending() (*Table, int64) { return v.pending, v.activationTime }

// Pin has a new call go by the version in force.
func (v *Versions) Pin() *Table {
	v.current.pins++
	return v.current.table
}

// Unpin lets a call's version go. One that no call goes by any more, and is not in force, is freed.
func (v *Versions) Unpin(t *Table) {
	if t == v.current.table {
		v.current.pins--
		return
	}
	if h := v.superseded[t.Version]; h != nil {
		if h.pins--; h.pins <= 0 {
			delete(v.superseded, t.Version)
		}
	}
}

// HeldCount counts the versions that are held: the one in force, one to return to, and old ones with calls.
func (v *Versions) HeldCount() int { return 1 + len(v.superseded) }

// Load takes a version to come into force at an instant, at once if that has passed. Of two that wait the newer stays.
func (v *Versions) Load(t *Table, at, clock int64, now policy.Tenths) error {
	if why, bad := v.rejected[t.Version]; bad {
		return fmt.Errorf("version %d: %w: %s", t.Version, ErrRolledBack, why)
	}
	if t.Version <= v.current.table.Version || v.pending != nil && t.Version < v.pending.Version {
		return fmt.Errorf("version %d: %w", t.Version, ErrNotNewer)
	}
	v.pending, v.activationTime = t, at
	v.ActivateDue(clock, now)
	return nil
}

// ActivateDue switches to the version that waits, once its instant has come, and tells whether it did.
func (v *Versions) ActivateDue(clock int64, now policy.Tenths) bool {
	if v.pending == nil || clock < v.activationTime {
		return false
	}
	t := v.pending
	v.pending = nil
	v.previous = v.current.table
	v.activate(t, now)
	return true
}

// activate is the one place where another version comes into force.
func (v *Versions) activate(t *Table, now policy.Tenths) {
	if v.current.pins > 0 {
		v.superseded[v.current.table.Version] = v.current
	}
	if h := v.superseded[t.Version]; h != nil && h.table == t { // it comes back while calls still go by it
		delete(v.superseded, t.Version)
		v.current = h
	} else {
		v.current = &pinnedTable{table: t}
	}
	v.activatedAt, v.trialCalls, v.trialFailures = now, 0, 0
}

// Rollback returns to the version before; the one in force will not be taken again.
func (v *Versions) Rollback(why string, now policy.Tenths) (*Table, error) {
	if v.previous == nil {
		return nil, ErrNoPrevious
	}
	v.rejected[v.current.table.Version] = why
	t := v.previous
	v.previous, v.pending = nil, nil
	v.activate(t, now)
	return t, nil
}

// baselineWeight is how much one call moves the mean of calls without a route.
const baselineWeight = 0.01

// RecordCall counts a call that was analysed by a version: a call by the one in force, within its trial, may end the trial.
// It tells the reason when the version must be taken back.
func (v *Versions) RecordCall(t *Table, found bool, now policy.Tenths) (why string, back bool) {
	if t != v.current.table {
		return "", false
	}
	missed := 0.0
	if !found {
		missed = 1
	}
	if v.previous == nil || now > v.activatedAt+v.trial.Window {
		v.baselineFailureRatio += baselineWeight * (missed - v.baselineFailureRatio)
		return "", false
	}
	v.trialCalls++
	v.trialFailures += int(missed)
	if share := float64(v.trialFailures) / float64(v.trialCalls); v.trialFailures >= v.trial.MinFailures && share > v.baselineFailureRatio+v.trial.MaxIncrease {
		return fmt.Sprintf("%d of %d calls found no route, %.3f before", v.trialFailures, v.trialCalls, v.baselineFailureRatio), true
	}
	return "", false
}
