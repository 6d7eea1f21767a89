package numbers

import (
	"errors"
	"fmt"

	"indigodrift/policy"
)

// Trial says when a new version is taken back: once at least Least of the calls analysed within Window after the switch
// found no route, and they are more than Bound of all, over what share found none before.
type Trial struct {
	Window policy.Tenths
	Bound  float64
	Least  int
}

// holding is one version and the calls that go by it.
type holding struct {
	table *Table
	pins  int
}

// Versions holds the versions of one controller's table: the one in force, one that waits for its instant, and older ones
// that calls still go by. The one in force is switched by one pointer; a call keeps what it pinned until it lets it go.
type Versions struct {
	now      *holding
	before   *Table // what a roll back returns to
	old      map[uint64]*holding
	waiting  *Table
	waitTill int64 // seconds since 1970, the instant at which it takes effect
	refused  map[uint64]string
	trial    Trial
	since    policy.Tenths // when the one in force was switched to
	calls    int           // analysed by it within the trial
	failed   int
	share    float64 // that found no route before the switch, a decaying mean
}

// Errors of a change of version.
var (
	ErrOld     = errors.New("the version is not newer than the one in force or waiting")
	ErrRefused = errors.New("the version was taken back before")
	ErrNone    = errors.New("there is no version to return to")
)

// NewVersions starts with a version in force.
func NewVersions(t *Table, trial Trial) *Versions {
	return &Versions{now: &holding{table: t}, old: map[uint64]*holding{}, refused: map[uint64]string{}, trial: trial}
}

// Current is the version in force.
func (v *Versions) Current() *Table { return v.now.table }

// Waiting is the version that waits and its instant, nil when none does.
func (v *Versions) Waiting() (*Table, int64) { return v.waiting, v.waitTill }

// Pin has a new call go by the version in force.
func (v *Versions) Pin() *Table {
	v.now.pins++
	return v.now.table
}

// Unpin lets a call's version go. One that no call goes by any more, and is not in force, is freed.
func (v *Versions) Unpin(t *Table) {
	if t == v.now.table {
		v.now.pins--
		return
	}
	if h := v.old[t.Version]; h != nil {
		if h.pins--; h.pins <= 0 {
			delete(v.old, t.Version)
		}
	}
}

// Held counts the versions that are held: the one in force, one to return to, and old ones with calls.
func (v *Versions) Held() int { return 1 + len(v.old) }

// Load takes a version to come into force at an instant, at once if that has passed. Of two that wait the newer stays.
func (v *Versions) Load(t *Table, at, clock int64, now policy.Tenths) error {
	if why, bad := v.refused[t.Version]; bad {
		return fmt.Errorf("version %d: %w: %s", t.Version, ErrRefused, why)
	}
	if t.Version <= v.now.table.Version || v.waiting != nil && t.Version < v.waiting.Version {
		return fmt.Errorf("version %d: %w", t.Version, ErrOld)
	}
	v.waiting, v.waitTill = t, at
	v.Due(clock, now)
	return nil
}

// Due switches to the version that waits, once its instant has come, and tells whether it did.
func (v *Versions) Due(clock int64, now policy.Tenths) bool {
	if v.waiting == nil || clock < v.waitTill {
		return false
	}
	t := v.waiting
	v.waiting = nil
	v.before = v.now.table
	v.become(t, now)
	return true
}

// become is the one place where another version comes into force.
func (v *Versions) become(t *Table, now policy.Tenths) {
	if v.now.pins > 0 {
		v.old[v.now.table.Version] = v.now
	}
	if h := v.old[t.Version]; h != nil && h.table == t { // it comes back while calls still go by it
		delete(v.old, t.Version)
		v.now = h
	} else {
		v.now = &holding{table: t}
	}
	v.since, v.calls, v.failed = now, 0, 0
}

// Rollback returns to the version before; the one in force will not be taken again.
func (v *Versions) Rollback(why string, now policy.Tenths) (*Table, error) {
	if v.before == nil {
		return nil, ErrNone
	}
	v.refused[v.now.table.Version] = why
	t := v.before
	v.before, v.waiting = nil, nil
	v.become(t, now)
	return t, nil
}

// shareOf is how much one call moves the mean of calls without a route.
const shareOf = 0.01

// Analysed counts a call that was analysed by a version: a call by the one in force, within its trial, may end the trial.
// It tells the reason when the version must be taken back.
func (v *Versions) Analysed(t *Table, found bool, now policy.Tenths) (why string, back bool) {
	if t != v.now.table {
		return "", false
	}
	missed := 0.0
	if !found {
		missed = 1
	}
	if v.before == nil || now > v.since+v.trial.Window {
		v.share += shareOf * (missed - v.share)
		return "", false
	}
	v.calls++
	v.failed += int(missed)
	if share := float64(v.failed) / float64(v.calls); v.failed >= v.trial.Least && share > v.share+v.trial.Bound {
		return fmt.Sprintf("%d of %d calls found no route, %.3f before", v.failed, v.calls, v.share), true
	}
	return "", false
}
