package numbers

import (
	"errors"
	"fmt"

	"indigodrift/policy"
)

// Trial sets when a new version is rolled back automatically: when at least MinFailures of the calls analysed within Window after
// its activation found no route, and their ratio exceeds the ratio before the activation by more than MaxIncrease.
type Trial struct {
	Window      policy.Tenths
	MaxIncrease float64
	MinFailures int
}

// pinnedTable is a version and the number of calls that use it.
type pinnedTable struct {
	table *Table
	pins  int
}

// Versions manages the versions of a controller's table: the current one, a pending one with its activation time, and older ones
// that calls still use. Activating a version swaps one pointer; a call keeps the version that it pinned until it unpins it.
type Versions struct {
	current              *pinnedTable
	previous             *Table // version that a rollback returns to
	superseded           map[uint64]*pinnedTable
	pending              *Table
	activationTime       int64 // of pending, in Unix seconds
	rejected             map[uint64]string
	trial                Trial
	activatedAt          policy.Tenths // when the current version was activated
	trialCalls           int           // calls analysed during the trial of the current version
	trialFailures        int
	baselineFailureRatio float64 // decaying mean of the share of calls without a route outside trials
}

// Errors of a version change.
var (
	ErrNotNewer   = errors.New("the version is not newer than the one in force or pending")
	ErrRolledBack = errors.New("the version was taken back before")
	ErrNoPrevious = errors.New("there is no version to return to")
)

// NewVersions returns Versions with t in force.
func NewVersions(t *Table, trial Trial) *Versions {
	return &Versions{current: &pinnedTable{table: t}, superseded: map[uint64]*pinnedTable{}, rejected: map[uint64]string{}, trial: trial}
}

// Current returns the version in force.
func (v *Versions) Current() *Table { return v.current.table }

// Pending returns the pending version and its activation time in Unix seconds, or nil if none is pending.
func (v *Versions) Pending() (*Table, int64) { return v.pending, v.activationTime }

// Pin returns the version in force for a new call, which must unpin it at its end.
func (v *Versions) Pin() *Table {
	v.current.pins++
	return v.current.table
}

// Unpin releases the version of a call. A version that is not in force is dropped with its last call.
func (v *Versions) Unpin(t *Table) {
	if t == v.current.table {
		v.current.pins--
		return
	}
	if pinned := v.superseded[t.Version]; pinned != nil {
		if pinned.pins--; pinned.pins <= 0 {
			delete(v.superseded, t.Version)
		}
	}
}

// HeldCount returns the number of versions in use: the one in force and the superseded ones with calls.
func (v *Versions) HeldCount() int { return 1 + len(v.superseded) }

// Load schedules a version for activation at a time in Unix seconds, or activates it at once if that has passed. A newer version
// replaces one that is pending.
func (v *Versions) Load(t *Table, activationTime, unixNow int64, now policy.Tenths) error {
	if reason, isRejected := v.rejected[t.Version]; isRejected {
		return fmt.Errorf("version %d: %w: %s", t.Version, ErrRolledBack, reason)
	}
	if t.Version <= v.current.table.Version || v.pending != nil && t.Version < v.pending.Version {
		return fmt.Errorf("version %d: %w", t.Version, ErrNotNewer)
	}
	v.pending, v.activationTime = t, activationTime
	v.ActivateDue(unixNow, now)
	return nil
}

// ActivateDue activates the pending version if its activation time has come, and reports whether it did.
func (v *Versions) ActivateDue(unixNow int64, now policy.Tenths) bool {
	if v.pending == nil || unixNow < v.activationTime {
		return false
	}
	t := v.pending
	v.pending = nil
	v.previous = v.current.table
	v.activate(t, now)
	return true
}

// activate puts a version into force and starts its trial.
func (v *Versions) activate(t *Table, now policy.Tenths) {
	if v.current.pins > 0 {
		v.superseded[v.current.table.Version] = v.current
	}
	if pinned := v.superseded[t.Version]; pinned != nil && pinned.table == t { // a rollback to a version that calls still use
		delete(v.superseded, t.Version)
		v.current = pinned
	} else {
		v.current = &pinnedTable{table: t}
	}
	v.activatedAt, v.trialCalls, v.trialFailures = now, 0, 0
}

// Rollback returns to the previous version. Load rejects the version rolled back from then on.
func (v *Versions) Rollback(reason string, now policy.Tenths) (*Table, error) {
	if v.previous == nil {
		return nil, ErrNoPrevious
	}
	v.rejected[v.current.table.Version] = reason
	t := v.previous
	v.previous, v.pending = nil, nil
	v.activate(t, now)
	return t, nil
}

// baselineWeight is the weight of one call in the baseline ratio of calls without a route.
const baselineWeight = 0.01

// RecordCall counts a call that a version analysed. If the version in force fails its trial, it returns true and the reason, and the
// caller must roll back.
func (v *Versions) RecordCall(t *Table, found bool, now policy.Tenths) (reason string, rollback bool) {
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
	if ratio := float64(v.trialFailures) / float64(v.trialCalls); v.trialFailures >= v.trial.MinFailures && ratio > v.baselineFailureRatio+v.trial.MaxIncrease {
		return fmt.Sprintf("%d of %d calls found no route, ratio before %.3f", v.trialFailures, v.trialCalls, v.baselineFailureRatio), true
	}
	return "", false
}
