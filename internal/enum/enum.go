// Package enum asks about portability over DNS: ENUM (RFC 6116) with the pstn service of RFC 4769, whose npdi and rn tell
// that a number was ported and what to route by. It sends and reads; when to ask, whom, and how long to wait is
// internal/numbers' Inquirer's.
package enum

import (
	"context"
	"errors"
	"fmt"
	"net"
	"regexp"
	"strings"
	"time"

	"indigodrift/internal/numbers"
	"indigodrift/policy"

	"github.com/miekg/dns"
)

// Client asks a pair of servers.
type Client struct {
	Servers [2]string // addresses with ports
	Zone    string    // such as e164.arpa.
	Most    time.Duration
}

// Answer is what came of one query.
type Answer struct {
	Port  numbers.Port
	Known bool          // the server knows the number
	Age   policy.Tenths // how long that may be believed
}

// ErrAnswer is wrapped by every error about an answer that cannot be used.
var ErrAnswer = errors.New("unusable answer")

// Name is the domain name of a number: its digits reversed, each a label (RFC 6116, 3.2).
func Name(number, zone string) string {
	var b strings.Builder
	for i := len(number) - 1; i >= 0; i-- {
		b.WriteByte(number[i])
		b.WriteByte('.')
	}
	return b.String() + zone
}

// Ask sends one query and waits for its answer, over UDP and, where that is truncated, over TCP. An answer to another
// question or with another id is not taken for this one's.
func (c *Client) Ask(ctx context.Context, server int, number string) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Most)
	defer cancel()
	q := new(dns.Msg)
	q.SetQuestion(Name(number, c.Zone), dns.TypeNAPTR) // its id is random
	q.SetEdns0(1232, false)
	reply, err := c.exchange(ctx, "udp", server, q)
	if err == nil && reply.Truncated {
		reply, err = c.exchange(ctx, "tcp", server, q)
	}
	if err != nil {
		return Answer{}, err
	}
	return Read(reply)
}

func (c *Client) exchange(ctx context.Context, network string, server int, q *dns.Msg) (*dns.Msg, error) {
	d := dns.Client{Net: network}
	conn, err := d.DialContext(ctx, c.Servers[server])
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", c.Servers[server], err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := conn.WriteMsg(q); err != nil {
		return nil, fmt.Errorf("ask %s: %w", c.Servers[server], err)
	}
	for { // what answers something else is passed over until the time is up
		m, err := conn.ReadMsg()
		var broken net.Error
		if err != nil {
			if ctx.Err() != nil || errors.As(err, &broken) || network == "tcp" {
				return nil, fmt.Errorf("answer of %s: %w", c.Servers[server], err)
			}
			continue
		}
		if m.Id == q.Id && m.Response && len(m.Question) == 1 && strings.EqualFold(m.Question[0].Name, q.Question[0].Name) &&
			m.Question[0].Qtype == dns.TypeNAPTR {
			return m, nil
		}
		if network == "tcp" {
			return nil, fmt.Errorf("%w: %s answers another question", ErrAnswer, c.Servers[server])
		}
	}
}

var digits = regexp.MustCompile(`^\+?[0-9]{1,24}$`)

// Read takes what an answer says. A name that does not exist is known not to be ported for as long as its zone says.
func Read(m *dns.Msg) (Answer, error) {
	switch m.Rcode {
	case dns.RcodeNameError:
		a := Answer{}
		for _, rr := range m.Ns {
			if soa, ok := rr.(*dns.SOA); ok {
				a.Age = policy.Tenths(min(soa.Hdr.Ttl, soa.Minttl)) * 10000
			}
		}
		return a, nil
	case dns.RcodeSuccess:
	default:
		return Answer{}, fmt.Errorf("%w: %s", ErrAnswer, dns.RcodeToString[m.Rcode])
	}
	var best *dns.NAPTR
	for _, rr := range m.Answer {
		n, ok := rr.(*dns.NAPTR)
		if !ok || !strings.EqualFold(n.Flags, "u") || !strings.HasPrefix(strings.ToLower(n.Service), "e2u+pstn") {
			continue
		}
		if !strings.EqualFold(n.Hdr.Name, m.Question[0].Name) {
			return Answer{}, fmt.Errorf("%w: a record of %s", ErrAnswer, n.Hdr.Name)
		}
		if best == nil || n.Order < best.Order || n.Order == best.Order && n.Preference < best.Preference {
			best = n
		} else if n.Order == best.Order && n.Preference == best.Preference && n.Regexp != best.Regexp {
			return Answer{}, fmt.Errorf("%w: two records contradict each other", ErrAnswer)
		}
	}
	if best == nil {
		return Answer{Known: true}, nil
	}
	uri, err := uriOf(best.Regexp)
	if err != nil {
		return Answer{}, err
	}
	a := Answer{Known: true, Age: policy.Tenths(best.Hdr.Ttl) * 10000}
	parts := strings.Split(uri, ";")
	for _, p := range parts[1:] {
		name, value, _ := strings.Cut(p, "=")
		if strings.EqualFold(name, "rn") {
			if !digits.MatchString(value) {
				return Answer{}, fmt.Errorf("%w: routing number %q", ErrAnswer, value)
			}
			a.Port = numbers.Port{Ported: true, Number: strings.TrimPrefix(value, "+")}
		}
	}
	return a, nil
}

// uriOf takes the tel URI out of a NAPTR's expression, of the one form that RFC 4769 gives: !^.*$!tel:...!
func uriOf(expression string) (string, error) {
	if len(expression) < 2 {
		return "", fmt.Errorf("%w: expression %q", ErrAnswer, expression)
	}
	parts := strings.Split(expression[1:], expression[:1])
	if len(parts) != 3 || parts[0] != "^.*$" || !strings.HasPrefix(strings.ToLower(parts[1]), "tel:") {
		return "", fmt.Errorf("%w: expression %q", ErrAnswer, expression)
	}
	return parts[1][len("tel:"):], nil
}
