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
	sum := sha256.Sum256(body)
	head, _ := json.Marshal(header{s.RulesFile, s.PrefixFile, len(s.Rules), len(s.Prefixes), hex.EncodeToString(sum[:])})
	return append(append([]byte(magic), append(head, '\n')...), body...)
}

// header is the JSON header of a stored version.
type header struct {
	RulesFile    string `json:"Name"`
	PrefixFile   string `json:"CSV"`
	RulesOctets  int    `json:"Rules"`
	PrefixOctets int    `json:"Prefix"`
	Checksum     string `json:"Sum"`
}

// Decode parses a file written by Encode. It rejects any other content.
func Decode(b []byte) (Source, error) {
	rest, ok := bytes.CutPrefix(b, []byte(magic))
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
	if sum := sha256.Sum256(body); hex.EncodeToString(sum[:]) != h.Checksum {
		return Source{}, ErrDamaged
	}
	return Source{RulesFile: h.RulesFile, Rules: body[:h.RulesOctets], PrefixFile: h.PrefixFile, Prefixes: body[h.RulesOctets:]}, nil
}

// Save writes a version atomically.
func (s *Store) Save(version uint64, src Source) error {
	return writeFileAtomically(s.path(version), Encode(src))
}

// writeFileAtomically writes and syncs a temporary file in the same folder, then renames it.
func writeFileAtomically(name string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(name), ".writing-*")
	if err != nil {
		return fmt.Errorf("store table: %w", err)
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), name)
	}
	if err != nil {
		return fmt.Errorf("store table: %w", err)
	}
	return nil
}

// AppendHistory appends a record, completed by the checksum of the version's file, to the history.
func (s *Store) AppendHistory(r Record) error {
	b, err := os.ReadFile(s.path(r.Version))
	if err != nil {
		return fmt.Errorf("append to table history: %w", err)
	}
	sum := sha256.Sum256(b)
	r.Checksum = hex.EncodeToString(sum[:])
	line, err := json.Marshal(r)
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
func (s *Store) History() (all []Record, bad int, err error) {
	f, err := os.Open(filepath.Join(s.dir, "history"))
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read table history: %w", err)
	}
	defer f.Close()
	in := bufio.NewReader(f)
	for {
		line, err := in.ReadBytes('\n')
		var r Record
		if len(bytes.TrimSpace(line)) > 0 {
			if json.Unmarshal(line, &r) == nil {
				all = append(all, r)
			} else {
				bad++
			}
		}
		if errors.Is(err, io.EOF) {
			return all, bad, nil
		}
		if err != nil {
			return all, bad, fmt.Errorf("read table history: %w", err)
		}
	}
}

// Load reads a stored version and builds its table.
func (s *Store) Load(version uint64, exchanges int) (*numbers.Table, error) {
	b, err := os.ReadFile(s.path(version))
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", version, err)
	}
	src, err := Decode(b)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", version, err)
	}
	t, err := src.Table(exchanges)
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
func (s *Store) LoadInForce(exchanges int) (t *numbers.Table, doubts []string, err error) {
	all, bad, err := s.History()
	if err != nil {
		return nil, nil, err
	}
	if bad > 0 {
		doubts = append(doubts, fmt.Sprintf("%d malformed lines in the history", bad))
	}
	tried := map[uint64]bool{}
	for i := len(all) - 1; i >= 0; i-- {
		v := all[i].Version
		if tried[v] {
			continue
		}
		tried[v] = true
		if t, err := s.Load(v, exchanges); err == nil {
			return t, doubts, nil
		} else {
			doubts = append(doubts, err.Error())
		}
	}
	return nil, doubts, nil
}
