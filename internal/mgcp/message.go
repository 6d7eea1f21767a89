// Package mgcp implements MGCP 1.0 (RFC 3435): encoding and decoding of messages, digit maps, and transactions that execute each
// command at most once. It does no I/O and reads no clock, and has no part in the handling of calls. docs/mgcp.md lists the
// supported parts of the RFC.
package mgcp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Verb is the verb of a command (RFC 3435, 2.3).
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

var verbs = []Verb{
	EndpointConfiguration, CreateConnection, ModifyConnection, DeleteConnection, NotificationRequest, Notify, AuditEndpoint,
	AuditConnection, RestartInProgress,
}

// Limits of messages.
const (
	MaxDatagramSize  = 4096 // octets of all messages in a datagram
	MaxTransactionID = 999_999_999
	maxParams        = 64
	maxNameLength    = 255
)

// Param is a parameter line. Names are in upper case.
type Param struct{ Name, Value string }

// Message is a command if it has a verb, otherwise a response.
type Message struct {
	Verb          Verb
	Transaction   uint32 // 1 to MaxTransactionID
	Endpoint      string // of a command: local name @ domain
	Code          int    // of a response: RFC 3435, 2.4, and RFC 3661
	Comment       string // of a response: text for people
	Params        []Param
	Session       []byte // session description as text, empty for none
	SecondSession []byte // second session description (response to a CRCX for two connections)
}

// ErrMessage is wrapped by every error about a malformed message.
var ErrMessage = errors.New("malformed MGCP message")

// malformed returns an error that wraps ErrMessage.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMessage}, args...)...)
}

// Param returns the value of the first parameter with a name.
func (m *Message) Param(name string) (string, bool) {
	for _, p := range m.Params {
		if p.Name == name {
			return p.Value, true
		}
	}
	return "", false
}

// Set sets the value of a parameter.
func (m *Message) Set(name, value string) {
	for i := range m.Params {
		if m.Params[i].Name == name {
			m.Params[i].Value = value
			return
		}
	}
	m.Params = append(m.Params, Param{name, value})
}

// IsProvisional reports whether m is a provisional response.
func (m *Message) IsProvisional() bool { return m.Verb == "" && m.Code >= 100 && m.Code < 200 }

// IsAcknowledgement reports whether m is the response acknowledgement of a three-way handshake (3.5.6).
func (m *Message) IsAcknowledgement() bool { return m.Verb == "" && m.Code == 0 }

// HasRequiredParams reports whether a command has its mandatory parameters (RFC 3435, 3.2.2). A command that was truncated at the end
// of a line parses without an error; it is better to wait for its retransmission.
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

// Append appends the encoded message to buf.
func Append(buf []byte, msg Message) ([]byte, error) {
	start := len(buf)
	if msg.Transaction == 0 || msg.Transaction > MaxTransactionID {
		return buf, malformed("transaction %d", msg.Transaction)
	}
	if msg.Verb != "" {
		if !isKnownVerb(msg.Verb) {
			return buf, malformed("unknown verb %q", msg.Verb)
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
			if (line == "" || line == ".") && len(session) > 0 { // the decoder would end the session description there
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

// isKnownVerb reports whether v is a verb of RFC 3435.
func isKnownVerb(v Verb) bool {
	for _, known := range verbs {
		if v == known {
			return true
		}
	}
	return false
}

// checkEndpoint checks an endpoint name: a local name of terms separated by slashes, which may be wildcards, and a domain.
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

// Decode decodes a datagram: one message, or several piggybacked messages separated by a line with a dot (3.5.5). The messages before
// a malformed one are returned with the error.
func Decode(datagram []byte) ([]Message, error) {
	if len(datagram) > MaxDatagramSize {
		return nil, malformed("%d octets, %d at most", len(datagram), MaxDatagramSize)
	}
	// Every line has an end (appendix A). Without this check a truncated datagram mostly decodes as another message: with fewer
	// digits, or from an endpoint without a connection.
	if n := len(datagram); n > 0 && datagram[n-1] != '\n' {
		return nil, malformed("truncated line after %d octets", n)
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

// splitLines splits text at LF or CRLF.
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

// decodeMessage decodes the lines of one message.
func decodeMessage(text []string) (Message, error) {
	var msg Message
	if len(text) == 0 {
		return msg, malformed("empty message")
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
			return msg, malformed("more than %d parameters", maxParams)
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
	if len(msg.Session) == 0 && len(msg.SecondSession) > 0 { // it would become the first when encoded again
		return msg, malformed("a second session description without a first")
	}
	if len(rest) > 1 {
		return msg, malformed("%d lines after the session descriptions", len(rest))
	}
	return msg, nil
}

// parseFirstLine parses the command line or the response line.
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
		return malformed("unknown verb %q", fields[0])
	case len(fields) < 5 || !strings.EqualFold(fields[3], "MGCP") || fields[4] != "1.0":
		return malformed("first line %q", line)
	}
	m.Endpoint = fields[2]
	return checkEndpoint(m.Endpoint)
}
