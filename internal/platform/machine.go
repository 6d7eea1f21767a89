package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"

	"indigodrift/internal/board"
	"indigodrift/internal/deployment"
)

// Limits are the resources that the platform grants one call controller.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int // file descriptors
}

// Machine is the configuration of one call controller, as the platform provides it.
type Machine struct {
	Name, Listen, Board string
	Limits              Limits
	Known               []board.Event // the list of switches at the start
	Settled             deployment.Settled
	planted             string // fault to inject, "" for none
}

// ErrMachine reports a configuration that cannot be used.
var ErrMachine = errors.New("platform configuration")

const (
	socketsLeast = 64
	memoryLeast  = 16
	limitMost    = 1 << 24
)

// ReadMachine reads the platform's configuration file.
func ReadMachine(path string) (Machine, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Machine{}, fmt.Errorf("%w: %w", ErrMachine, err)
	}
	m, err := ParseMachine(text)
	if err != nil {
		return m, fmt.Errorf("%s: %w", path, err)
	}
	return m, nil
}

// ParseMachine parses the text of the platform's configuration.
func ParseMachine(text []byte) (Machine, error) {
	var f struct {
		Name, Listen, Seed, Board string
		Limits                    struct {
			Cores, Sockets float64
			MemoryMB       float64 `json:"memory_mb"`
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return Machine{}, fmt.Errorf("%w: %w", ErrMachine, err)
	}
	m := Machine{Name: f.Name, Listen: f.Listen, Board: f.Board}
	switch {
	case f.Listen == "" || f.Board == "":
		return m, fmt.Errorf("%w: neither listen nor board may be empty: %q, %q", ErrMachine, f.Listen, f.Board)
	case !(f.Limits.Sockets >= socketsLeast && f.Limits.Sockets <= limitMost):
		return m, fmt.Errorf("%w: limits.sockets: %g is not between %d and %d", ErrMachine, f.Limits.Sockets, socketsLeast, limitMost)
	case !(f.Limits.MemoryMB >= memoryLeast && f.Limits.MemoryMB <= limitMost):
		return m, fmt.Errorf("%w: limits.memory_mb: %g is not between %d and %d", ErrMachine, f.Limits.MemoryMB, memoryLeast, limitMost)
	}
	m.Limits = Limits{Cores: f.Limits.Cores, MemoryMB: int(f.Limits.MemoryMB), Sockets: int(f.Limits.Sockets)}
	var err error
	if m.Settled, err = deployment.Read(f.Settings); err != nil {
		return m, fmt.Errorf("%w: %w", ErrMachine, err)
	}
	if i := slices.Index(m.Settled.Bearers, ""); i >= 0 { // set-ups name their bearer type
		return m, fmt.Errorf("%w: settings: grades[%d].name is empty", ErrMachine, i)
	}
	if m.Settled.Module.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return m, fmt.Errorf("%w: seed: %w", ErrMachine, err)
	}
	if m.Known, err = board.Known(f.Known); err != nil {
		return m, fmt.Errorf("%w: known: %w", ErrMachine, err)
	}
	return m, nil
}
