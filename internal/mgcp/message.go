// Package mgcp speaks MGCP 1.0 (RFC 3435): messages to text and back, digit maps, and the rules by which a command is
// carried out at most once however often it is sent. It holds no socket and no clock; what a gateway's endpoint or a call
// does with a message is not decided here. docs/mgcp.md lists what of the RFC is spoken.
package mgcp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Verb of a command (RFC 3435, 2.3).
type Verb string

const (
	EndpointConfiguration Verb = "EPCF"
	CreateConnection      Verb = "CRCX"
	ModifyConnection      Verb = "MDCX"
	DeleteConnection      Verb = "DLCX"
	NotificationRequest   Verb = "RQNT"
	Notify                Verb = "NTFY"
	AuditEndpoint         Verb = "AUEP"
	AuditConnection       Verb = "AUCX"
	RestartInProgress     Verb = "RSIP"
)

var verbs = []Verb{EndpointConfiguration, CreateConnection, ModifyConnection, DeleteConnection, NotificationRequest, Notify,
	AuditEndpoint, AuditConnection, RestartInProgress}

// Bounds of what is taken.
const (
	DatagramMost    = 4096 // octets of a datagram, all messages in it together
	TransactionMost = 999_999_999
	paramsMost      = 64
	nameMost        = 255
)

// Param is one parameter line; names are kept as they are written in the RFC's tables, in upper case.
type Param struct{ Name, Value string }

// Message is a command, if it has a verb, or a response.
type Message struct {
	Verb        Verb
	Transaction uint32 // 1 to TransactionMost
	Endpoint    string // commands: local name and @ domain
	Code        int    // responses: RFC 3435, 2.4, and RFC 3661
	Comment     string // responses: words for people
	Params      []Param
	Session     []byte // session descriptions as they stand, "" none; pion/sdp reads them
	Second      []byte // a second one after an empty line (responses to CRCX for two connections)
}

// ErrMessage is wrapped by every error about text that is no message.
var ErrMessage = errors.New("malformed MGCP message")

func bad(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMessage}, args...)...)
}

// Param is the value of the first parameter of a name.
func (m *Message) Param(name string) (string, bool) {
	for _, p := range m.Params {
		if p.Name == name {
			return p.Value, true
		}
	}
	return "", false
}

// Set adds a parameter, or changes it.
func (m *Message) Set(name, value string) {
	for i := range m.Params {
		if m.Params[i].Name == name {
			m.Params[i].Value = value
			return
		}
	}
	m.Params = append(m.Params, Param{name, value})
}

// IsProvisional tells whether a response says only that the command is being carried out.
func (m *Message) IsProvisional() bool { return m.Verb == "" && m.Code >= 100 && m.Code < 200 }

// IsAcknowledgement tells whether it is the response acknowledgement that ends a three-way handshake (3.5.6).
func (m *Message) IsAcknowledgement() bool { return m.Verb == "" && m.Code == 0 }

// Complete tells whether a command has the parameters without which it says nothing (RFC 3435, 3.2.2): one cut short at the end
// of a line reads well, and is better repeated than taken.
func (m *Message) Complete() bool {
	need := []string{}
	switch m.Verb {
	case Notify:
		need = []string{"X", "O"}
	case RestartInProgress:
		need = []string{"RM"}
	}
	for _, name := range need {
		if _, ok := m.Param(name); !ok {
			return false
		}
	}
	return true
}

// Append adds the text of a message to buf.
func Append(buf []byte, m Message) ([]byte, error) {
	at := len(buf)
	if m.Transaction == 0 || m.Transaction > TransactionMost {
		return buf, bad("transaction %d", m.Transaction)
	}
	if m.Verb != "" {
		if !known(m.Verb) {
			return buf, bad("verb %q", m.Verb)
		}
		if err := checkEndpoint(m.Endpoint); err != nil {
			return buf, err
		}
		buf = fmt.Appendf(buf, "%s %d %s MGCP 1.0\r\n", m.Verb, m.Transaction, m.Endpoint)
	} else {
		if m.Code < 0 || m.Code > 999 || strings.ContainsAny(m.Comment, "\r\n") {
			return buf, bad("response %d %q", m.Code, m.Comment)
		}
		buf = fmt.Appendf(buf, "%03d %d", m.Code, m.Transaction)
		if m.Comment != "" {
			buf = append(append(buf, ' '), m.Comment...)
		}
		buf = append(buf, "\r\n"...)
	}
	for _, p := range m.Params {
		if p.Name == "" || strings.ContainsAny(p.Name, ": \t\r\n") || strings.ContainsAny(p.Value, "\r\n") || p.Value != strings.TrimSpace(p.Value) {
			return buf[:at], bad("parameter %q: %q", p.Name, p.Value)
		}
		buf = append(append(append(append(buf, p.Name...), ": "...), p.Value...), "\r\n"...)
	}
	if len(m.Session) == 0 && len(m.Second) > 0 {
		return buf[:at], bad("a second session description without a first")
	}
	for _, s := range [][]byte{m.Session, m.Second} {
		for _, l := range lines(string(s)) {
			if (l == "" || l == ".") && len(s) > 0 { // it would end there for the reader
				return buf[:at], bad("session description with a line %q", l)
			}
		}
		if len(s) > 0 {
			buf = append(append(buf, "\r\n"...), s...)
		}
	}
	if len(buf)-at > DatagramMost {
		return buf[:at], bad("%d octets, %d at most", len(buf)-at, DatagramMost)
	}
	return buf, nil
}

func known(v Verb) bool {
	for _, k := range verbs {
		if v == k {
			return true
		}
	}
	return false
}

// checkEndpoint checks a name: a local name of terms between slashes, each perhaps a wildcard, and a domain.
func checkEndpoint(name string) error {
	local, domain, ok := strings.Cut(name, "@")
	if !ok || local == "" || domain == "" || len(local) > nameMost || len(domain) > nameMost || strings.ContainsAny(name, " \t\r\n") {
		return bad("endpoint name %q", name)
	}
	for _, term := range strings.Split(local, "/") {
		if term == "" || len(term) > 1 && strings.ContainsAny(term, "*$") {
			return bad("endpoint name %q: term %q", name, term)
		}
	}
	return nil
}

// Decode reads a datagram: one message, or several piggy-backed, parted by a line with a dot (3.5.5). The messages before
// one at fault are returned with the error.
func Decode(datagram []byte) ([]Message, error) {
	if len(datagram) > DatagramMost {
		return nil, bad("%d octets, %d at most", len(datagram), DatagramMost)
	}
	// Every line has its end (appendix A). A datagram that was cut short reads, at most places, as another message: fewer digits,
	// or an endpoint that holds no connection.
	if n := len(datagram); n > 0 && datagram[n-1] != '\n' {
		return nil, bad("no end of line after %d octets", n)
	}
	var all []Message
	var part []string
	for _, line := range lines(string(datagram)) {
		if line != "." {
			part = append(part, line)
			continue
		}
		m, err := decode(part)
		if err != nil {
			return all, err
		}
		all, part = append(all, m), nil
	}
	m, err := decode(part)
	if err != nil {
		return all, err
	}
	return append(all, m), nil
}

// lines parts text at LF or CRLF.
func lines(text string) []string {
	all := strings.Split(text, "\n")
	for i := range all {
		all[i] = strings.TrimSuffix(all[i], "\r")
	}
	if all[len(all)-1] == "" {
		all = all[:len(all)-1]
	}
	return all
}

func decode(text []string) (Message, error) {
	var m Message
	if len(text) == 0 {
		return m, bad("no line")
	}
	if err := m.first(text[0]); err != nil {
		return m, err
	}
	rest := text[1:]
	for len(rest) > 0 && rest[0] != "" {
		name, value, ok := strings.Cut(rest[0], ":")
		name = strings.ToUpper(strings.TrimSpace(name))
		if !ok || name == "" || strings.ContainsAny(name, " \t\r") || strings.Contains(value, "\r") {
			return m, bad("parameter line %q", rest[0])
		}
		if m.Params = append(m.Params, Param{name, strings.TrimSpace(value)}); len(m.Params) > paramsMost {
			return m, bad("over %d parameters", paramsMost)
		}
		rest = rest[1:]
	}
	for _, to := range []*[]byte{&m.Session, &m.Second} {
		if len(rest) == 0 {
			break
		}
		rest = rest[1:] // the empty line
		for len(rest) > 0 && rest[0] != "" {
			*to = append(append(*to, rest[0]...), "\r\n"...)
			rest = rest[1:]
		}
	}
	if len(m.Session) == 0 && len(m.Second) > 0 { // it read as the first when sent on
		return m, bad("a second session description without a first")
	}
	if len(rest) > 1 {
		return m, bad("%d lines after the session descriptions", len(rest))
	}
	return m, nil
}

func (m *Message) first(line string) error {
	word := strings.Fields(line)
	if len(word) < 2 {
		return bad("first line %q", line)
	}
	id, err := strconv.ParseUint(word[1], 10, 32)
	if err != nil || id == 0 || id > TransactionMost {
		return bad("transaction %q", word[1])
	}
	m.Transaction = uint32(id)
	if len(word[0]) == 3 && word[0][0] >= '0' && word[0][0] <= '9' {
		if m.Code, err = strconv.Atoi(word[0]); err != nil {
			return bad("response code %q", word[0])
		}
		m.Comment = strings.Join(word[2:], " ")
		return nil
	}
	m.Verb = Verb(strings.ToUpper(word[0]))
	switch {
	case !known(m.Verb):
		return bad("verb %q", word[0])
	case len(word) < 5 || !strings.EqualFold(word[3], "MGCP") || word[4] != "1.0":
		return bad("first line %q", line)
	}
	m.Endpoint = word[2]
	return checkEndpoint(m.Endpoint)
}
