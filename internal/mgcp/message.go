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
	MaxDatagramSize  = 4096 // octets of a datagram, all messages in it together
	MaxTransactionID = 999_999_999
	maxParams        = 64
	maxNameLength    = 255
)

// Param is one parameter line; names are kept as they are written in the RFC's tables, in upper case.
type Param struct{ Name, Value string }

// Message is a command, if it has a verb, or a response.
type Message struct {
	Verb          Verb
	Transaction   uint32 // 1 to MaxTransactionID
	Endpoint      string // commands: local name and @ domain
	Code          int    // responses: RFC 3435, 2.4, and RFC 3661
	Comment       string // responses: words for people
	Params        []Param
	Session       []byte // session descriptions as they stand, "" none; pion/sdp reads them
	SecondSession []byte // a second one after an empty line (responses to CRCX for two connections)
}

// ErrMessage is wrapped by every error about text that is no message.
var ErrMessage = errors.New("malformed MGCP message")

func malformed(format string, args ...any) error {
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

// HasRequiredParams tells whether a command has the parameters without which it says nothing (RFC 3435, 3.2.2): one cut short at the end
// of a line reads well, and is better repeated than taken.
func (m *Message) HasRequiredParams() bool {
	required := []string{}
	switch m.Verb {
	case Notify:
		required = []string{"X", "O"}
	case RestartInProgress:
		required = []string{"RM"}
	}
	for _, name := range required {
		if _, ok := m.Param(name); !ok {
			return false
		}
	}
	return true
}

// Append adds the text of a message to buf.
func Append(buf []byte, msg Message) ([]byte, error) {
	start := len(buf)
	if msg.Transaction == 0 || msg.Transaction > MaxTransactionID {
		return buf, malformed("transaction %d", msg.Transaction)
	}
	if msg.Verb != "" {
		if !isKnownVerb(msg.Verb) {
			return buf, malformed("verb %q", msg.Verb)
		}
		if err := checkEndpoint(msg.Endpoint); err != nil {
			return buf, err
		}
		buf = fmt.Appendf(buf, "%s %d %s MGCP 1.0\r\n", msg.Verb, msg.Transaction, msg.Endpoint)
	} else {
		if msg.Code < 0 || msg.Code > 999 || strings.ContainsAny(msg.Comment, "\r\n") {
			return buf, malformed("response %d %q", msg.Code, msg.Comment)
		}
		buf = fmt.Appendf(buf, "%03d %d", msg.Code, msg.Transaction)
		if msg.Comment != "" {
			buf = append(append(buf, ' '), msg.Comment...)
		}
		buf = append(buf, "\r\n"...)
	}
	for _, p := range msg.Params {
		if p.Name == "" || strings.ContainsAny(p.Name, ": \t\r\n") || strings.ContainsAny(p.Value, "\r\n") || p.Value != strings.TrimSpace(p.Value) {
			return buf[:start], malformed("parameter %q: %q", p.Name, p.Value)
		}
		buf = append(append(append(append(buf, p.Name...), ": "...), p.Value...), "\r\n"...)
	}
	if len(msg.Session) == 0 && len(msg.SecondSession) > 0 {
		return buf[:start], malformed("a second session description without a first")
	}
	for _, session := range [][]byte{msg.Session, msg.SecondSession} {
		for _, line := range splitLines(string(session)) {
			if (line == "" || line == ".") && len(session) > 0 { // it would end there for the reader
				return buf[:start], malformed("session description with a line %q", line)
			}
		}
		if len(session) > 0 {
			buf = append(append(buf, "\r\n"...), session...)
		}
	}
	if len(buf)-start > MaxDatagramSize {
		return buf[:start], malformed("%d octets, %d at most", len(buf)-start, MaxDatagramSize)
	}
	return buf, nil
}

func isKnownVerb(v Verb) bool {
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
	if !ok || local == "" || domain == "" || len(local) > maxNameLength || len(domain) > maxNameLength || strings.ContainsAny(name, " \t\r\n") {
		return malformed("endpoint name %q", name)
	}
	for _, term := range strings.Split(local, "/") {
		if term == "" || len(term) > 1 && strings.ContainsAny(term, "*$") {
			return malformed("endpoint name %q: term %q", name, term)
		}
	}
	return nil
}

// Decode reads a datagram: one message, or several piggy-backed, parted by a line with a dot (3.5.5). The messages before
// one at fault are returned with the error.
func Decode(datagram []byte) ([]Message, error) {
	if len(datagram) > MaxDatagramSize {
		return nil, malformed("%d octets, %d at most", len(datagram), MaxDatagramSize)
	}
	// Every line has its end (appendix A). A datagram that was cut short reads, at most places, as another message: fewer digits,
	// or an endpoint that holds no connection.
	if n := len(datagram); n > 0 && datagram[n-1] != '\n' {
		return nil, malformed("no end of line after %d octets", n)
	}
	var messages []Message
	var lines []string
	for _, line := range splitLines(string(datagram)) {
		if line != "." {
			lines = append(lines, line)
			continue
		}
		msg, err := decodeMessage(lines)
		if err != nil {
			return messages, err
		}
		messages, lines = append(messages, msg), nil
	}
	msg, err := decodeMessage(lines)
	if err != nil {
		return messages, err
	}
	return append(messages, msg), nil
}

// splitLines parts text at LF or CRLF.
func splitLines(text string) []string {
	split := strings.Split(text, "\n")
	for i := range split {
		split[i] = strings.TrimSuffix(split[i], "\r")
	}
	if split[len(split)-1] == "" {
		split = split[:len(split)-1]
	}
	return split
}

func decodeMessage(text []string) (Message, error) {
	var msg Message
	if len(text) == 0 {
		return msg, malformed("no line")
	}
	if err := msg.parseFirstLine(text[0]); err != nil {
		return msg, err
	}
	rest := text[1:]
	for len(rest) > 0 && rest[0] != "" {
		name, value, ok := strings.Cut(rest[0], ":")
		name = strings.ToUpper(strings.TrimSpace(name))
		if !ok || name == "" || strings.ContainsAny(name, " \t\r") || strings.Contains(value, "\r") {
			return msg, malformed("parameter line %q", rest[0])
		}
		if msg.Params = append(msg.Params, Param{name, strings.TrimSpace(value)}); len(msg.Params) > maxParams {
			return msg, malformed("over %d parameters", maxParams)
		}
		rest = rest[1:]
	}
	for _, session := range []*[]byte{&msg.Session, &msg.SecondSession} {
		if len(rest) == 0 {
			break
		}
		rest = rest[1:] // the empty line
		for len(rest) > 0 && rest[0] != "" {
			*session = append(append(*session, rest[0]...), "\r\n"...)
			rest = rest[1:]
		}
	}
	if len(msg.Session) == 0 && len(msg.SecondSession) > 0 { // it read as the first when sent on
		return msg, malformed("a second session description without a first")
	}
	if len(rest) > 1 {
		return msg, malformed("%d lines after the session descriptions", len(rest))
	}
	return msg, nil
}

func (m *Message) parseFirstLine(line string) error {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return malformed("first line %q", line)
	}
	id, err := strconv.ParseUint(fields[1], 10, 32)
	if err != nil || id == 0 || id > MaxTransactionID {
		return malformed("transaction %q", fields[1])
	}
	m.Transaction = uint32(id)
	if len(fields[0]) == 3 && fields[0][0] >= '0' && fields[0][0] <= '9' {
		if m.Code, err = strconv.Atoi(fields[0]); err != nil {
			return malformed("response code %q", fields[0])
		}
		m.Comment = strings.Join(fields[2:], " ")
		return nil
	}
	m.Verb = Verb(strings.ToUpper(fields[0]))
	switch {
	case !isKnownVerb(m.Verb):
		return malformed("verb %q", fields[0])
	case len(fields) < 5 || !strings.EqualFold(fields[3], "MGCP") || fields[4] != "1.0":
		return malformed("first line %q", line)
	}
	m.Endpoint = fields[2]
	return checkEndpoint(m.Endpoint)
}
