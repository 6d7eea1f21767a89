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

// Config is the configuration of one call controller, as the platform provides it.
type Config struct {
	Name, Listen, Board string
	Limits              Limits
	InitialEvents       []board.Event // the list of switches at the start
	Settings            deployment.Settings
	injectedFault       string // fault to inject, "" for none
}

// ErrConfig reports a configuration that cannot be used.
var ErrConfig = errors.New("platform configuration")

const (
	minSockets  = 64
	minMemoryMB = 16
	maxLimit    = 1 << 24
)

// ReadConfig reads the platform's configuration file.
func ReadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	config, err := ParseConfig(text)
	if err != nil {
		return config, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// ParseConfig parses the text of the platform's configuration.
func ParseConfig(text []byte) (Config, error) {
	var file struct {
		Name, Listen, Seed, Board string
		Limits                    struct {
			Cores, Sockets float64
			MemoryMB       float64 `json:"memory_mb"`
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	config := Config{Name: file.Name, Listen: file.Listen, Board: file.Board}
	switch {
	case file.Listen == "" || file.Board == "":
		return config, fmt.Errorf("%w: neither listen nor board may be empty: %q, %q", ErrConfig, file.Listen, file.Board)
	case !(file.Limits.Sockets >= minSockets && file.Limits.Sockets <= maxLimit):
		return config, fmt.Errorf("%w: limits.sockets: %g is not between %d and %d", ErrConfig, file.Limits.Sockets, minSockets, maxLimit)
	case !(file.Limits.MemoryMB >= minMemoryMB && file.Limits.MemoryMB <= maxLimit):
		return config, fmt.Errorf("%w: limits.memory_mb: %g is not between %d and %d", ErrConfig, file.Limits.MemoryMB, minMemoryMB, maxLimit)
	}
	config.Limits = Limits{Cores: file.Limits.Cores, MemoryMB: int(file.Limits.MemoryMB), Sockets: int(file.Limits.Sockets)}
	var err error
	if config.Settings, err = deployment.Parse(file.Settings); err != nil {
		return config, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	if i := slices.Index(config.Settings.BearerNames, ""); i >= 0 { // set-ups name their bearer type
		return config, fmt.Errorf("%w: settings: grades[%d].name is empty", ErrConfig, i)
	}
	if config.Settings.Policy.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return config, fmt.Errorf("%w: seed: %w", ErrConfig, err)
	}
	if config.InitialEvents, err = board.ParseInitialEvents(file.Known); err != nil {
		return config, fmt.Errorf("%w: known: %w", ErrConfig, err)
	}
	return config, nil
}
