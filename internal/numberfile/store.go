package numberfile

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"indigodrift/internal/numbers"
)

// Store keeps the versions that a controller has loaded in a folder: a file for each version, and a history with a line for each
// change of the version in force. If the process is killed during a write, what was stored before stays intact.
type Store struct{ dir string }

// Record is one line of the history.
type Record struct {
	Version  uint64    `json:"version"`
	Name     string    `json:"name"`
	Time     time.Time `json:"at"`
	Event    string    `json:"what"` // "in force", "in force again"
	Reason   string    `json:"why,omitempty"`
	Checksum string    `json:"sum"` // SHA-256 of the version's file
}

// ErrDamaged is wrapped by errors about a stored version that is malformed or fails its checksum.
var ErrDamaged = errors.New("damaged file or checksum mismatch")

const magic = "indigodrift numbers 1\n"

// OpenStore opens a store and creates its folder if necessary.
func OpenStore(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("open table store: %w", err)
	}
	return &Store{dir}, nil
}

func (s *Store) path(version uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("table-%010d", version))
}

// Encode returns a source as one file: a line that identifies the format, a JSON header with the sizes of the parts and their
// checksum, then the parts.
func Encode(s Source) []byte {
	body := append(append([]byte{}, s.Rules...), s.Prefixes...)
	checksum := sha256.Sum256(body)
	headerLine, _ := json.Marshal(header{s.RulesFile, s.PrefixFile, len(s.Rules), len(s.Prefixes), hex.EncodeToString(checksum[:])})
	return append(append([]byte(magic), append(headerLine, '\n')...), body...)
}

// header is the JSON header of a stored version.
type header struct {
	RulesFile    string `json:"Name"`
	PrefixFile   string `json:"CSV"`
	RulesOctets  int    `json:"Rules"`  // size of the rules
	PrefixOctets int    `json:"Prefix"` // size of the prefixes
	Checksum     string `json:"Sum"`
}

// Decode parses a file written by Encode. It rejects any other content.
func Decode(content []byte) (Source, error) {
	rest, ok := bytes.CutPrefix(content, []byte(magic))
	if !ok {
		return Source{}, fmt.Errorf("%w: unknown format", ErrDamaged)
	}
	line, body, ok := bytes.Cut(rest, []byte("\n"))
	var h header
	if err := json.Unmarshal(line, &h); !ok || err != nil {
		return Source{}, fmt.Errorf("%w: invalid header", ErrDamaged)
	}
	if h.RulesOctets < 0 || h.PrefixOctets < 0 || len(body) != h.RulesOctets+h.PrefixOctets {
		return Source{}, fmt.Errorf("%w: body has %d octets, header has %d and %d", ErrDamaged, len(body), h.RulesOctets, h.PrefixOctets)
	}
	if checksum := sha256.Sum256(body); hex.EncodeToString(checksum[:]) != h.Checksum {
		return Source{}, ErrDamaged
	}
	return Source{RulesFile: h.RulesFile, Rules: body[:h.RulesOctets], PrefixFile: h.PrefixFile, Prefixes: body[h.RulesOctets:]}, nil
}

// Save writes a version atomically.
func (s *Store) Save(version uint64, src Source) error {
	return writeFileAtomically(s.path(version), Encode(src))
}

// writeFileAtomically writes and syncs a temporary file in the same folder, then renames it.
func writeFileAtomically(path string, content []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".writing-*")
	if err != nil {
		return fmt.Errorf("store table: %w", err)
	}
	defer os.Remove(f.Name())
	_, err = f.Write(content)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("store table: %w", err)
	}
	return nil
}

// AppendHistory appends a record, completed by the checksum of the version's file, to the history.
func (s *Store) AppendHistory(record Record) error {
	content, err := os.ReadFile(s.path(record.Version))
	if err != nil {
		return fmt.Errorf("append to table history: %w", err)
	}
	checksum := sha256.Sum256(content)
	record.Checksum = hex.EncodeToString(checksum[:])
	line, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("append to table history: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(s.dir, "history"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("append to table history: %w", err)
	}
	_, err = f.Write(append(line, '\n'))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("append to table history: %w", err)
	}
	return nil
}

// History reads the history. It skips and counts malformed lines, as the last one may be after a kill.
func (s *Store) History() (records []Record, malformed int, err error) {
	f, err := os.Open(filepath.Join(s.dir, "history"))
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read table history: %w", err)
	}
	defer f.Close()
	reader := bufio.NewReader(f)
	for {
		line, err := reader.ReadBytes('\n')
		var record Record
		if len(bytes.TrimSpace(line)) > 0 {
			if json.Unmarshal(line, &record) == nil {
				records = append(records, record)
			} else {
				malformed++
			}
		}
		if errors.Is(err, io.EOF) {
			return records, malformed, nil
		}
		if err != nil {
			return records, malformed, fmt.Errorf("read table history: %w", err)
		}
	}
}

// Load reads a stored version and builds its table.
func (s *Store) Load(version uint64, exchangeCount int) (*numbers.Table, error) {
	content, err := os.ReadFile(s.path(version))
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", version, err)
	}
	src, err := Decode(content)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", version, err)
	}
	t, err := src.Table(exchangeCount)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", version, err)
	}
	if t.Version != version {
		return nil, fmt.Errorf("version %d: the file contains version %d", version, t.Version)
	}
	return t, nil
}

// LoadInForce loads the version that was last in force or, if that cannot be loaded, the latest one before it that can.
// warnings say what was skipped and why. A store without a version is not an error: the table is nil.
func (s *Store) LoadInForce(exchangeCount int) (t *numbers.Table, warnings []string, err error) {
	records, malformed, err := s.History()
	if err != nil {
		return nil, nil, err
	}
	if malformed > 0 {
		warnings = append(warnings, fmt.Sprintf("%d malformed lines in the history", malformed))
	}
	tried := map[uint64]bool{}
	for i := len(records) - 1; i >= 0; i-- {
		version := records[i].Version
		if tried[version] {
			continue
		}
		tried[version] = true
		if t, err := s.Load(version, exchangeCount); err == nil {
			return t, warnings, nil
		} else {
			warnings = append(warnings, err.Error())
		}
	}
	return nil, warnings, nil
}
