// Package enum implements portability queries over DNS: ENUM (RFC 6116) with the pstn service of RFC 4769, whose npdi and rn
// parameters say that a number is ported and give its routing number. When to query, which server and how long to wait is up to
// numbers.PortabilityResolver.
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

// Client queries a pair of servers.
type Client struct {
	Servers [2]string // addresses with ports
	Zone    string    // domain suffix such as e164.arpa.
	Timeout time.Duration
}

// Answer is the result of a query.
type Answer struct {
	Porting numbers.Porting
	Known   bool          // the server knows the number
	TTL     policy.Tenths // how long the answer may be cached, 0 if the server does not say
}

// ErrUnusableAnswer is wrapped by every error about an answer that cannot be used.
var ErrUnusableAnswer = errors.New("unusable answer")

// DomainName returns the domain name of a number: its digits in reverse order, each a label (RFC 6116, 3.2).
func DomainName(number, zone string) string {
	var name strings.Builder
	for i := len(number) - 1; i >= 0; i-- {
		name.WriteByte(number[i])
		name.WriteByte('.')
	}
	return name.String() + zone
}

// Query queries a server over UDP, and again over TCP if the answer is truncated. An answer with another ID or to another
// question is ignored over UDP and an error over TCP.
func (c *Client) Query(ctx context.Context, server int, number string) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request := new(dns.Msg)
	request.SetQuestion(DomainName(number, c.Zone), dns.TypeNAPTR) // with a random ID
	request.SetEdns0(1232, false)
	reply, err := c.roundTrip(ctx, "udp", server, request)
	if err == nil && reply.Truncated {
		reply, err = c.roundTrip(ctx, "tcp", server, request)
	}
	if err != nil {
		return Answer{}, err
	}
	return ParseAnswer(reply)
}

func (c *Client) roundTrip(ctx context.Context, network string, server int, request *dns.Msg) (*dns.Msg, error) {
	dialer := dns.Client{Net: network}
	conn, err := dialer.DialContext(ctx, c.Servers[server])
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", c.Servers[server], err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := conn.WriteMsg(request); err != nil {
		return nil, fmt.Errorf("query %s: %w", c.Servers[server], err)
	}
	for { // over UDP, unrelated and malformed messages are ignored until the timeout
		reply, err := conn.ReadMsg()
		var netErr net.Error
		if err != nil {
			if ctx.Err() != nil || errors.As(err, &netErr) || network == "tcp" {
				return nil, fmt.Errorf("read answer of %s: %w", c.Servers[server], err)
			}
			continue
		}
		if reply.Id == request.Id && reply.Response && len(reply.Question) == 1 && strings.EqualFold(reply.Question[0].Name, request.Question[0].Name) &&
			reply.Question[0].Qtype == dns.TypeNAPTR {
			return reply, nil
		}
		if network == "tcp" {
			return nil, fmt.Errorf("%w: %s answered another question", ErrUnusableAnswer, c.Servers[server])
		}
	}
}

// routingNumberPattern matches a routing number of up to numbers.MaxDigits digits.
var routingNumberPattern = regexp.MustCompile(`^\+?[0-9]{1,24}$`)

// ParseAnswer interprets an answer. If the name does not exist, the number is unknown for the negative TTL of the zone.
func ParseAnswer(reply *dns.Msg) (Answer, error) {
	switch reply.Rcode {
	case dns.RcodeNameError:
		answer := Answer{}
		for _, rr := range reply.Ns {
			if soa, ok := rr.(*dns.SOA); ok {
				answer.TTL = policy.Tenths(min(soa.Hdr.Ttl, soa.Minttl)) * 10000
			}
		}
		return answer, nil
	case dns.RcodeSuccess:
	default:
		return Answer{}, fmt.Errorf("%w: %s", ErrUnusableAnswer, dns.RcodeToString[reply.Rcode])
	}
	var best *dns.NAPTR
	for _, rr := range reply.Answer {
		naptr, ok := rr.(*dns.NAPTR)
		if !ok || !strings.EqualFold(naptr.Flags, "u") || !strings.HasPrefix(strings.ToLower(naptr.Service), "e2u+pstn") {
			continue
		}
		if !strings.EqualFold(naptr.Hdr.Name, reply.Question[0].Name) {
			return Answer{}, fmt.Errorf("%w: record for another name, %s", ErrUnusableAnswer, naptr.Hdr.Name)
		}
		if best == nil || naptr.Order < best.Order || naptr.Order == best.Order && naptr.Preference < best.Preference {
			best = naptr
		} else if naptr.Order == best.Order && naptr.Preference == best.Preference && naptr.Regexp != best.Regexp {
			return Answer{}, fmt.Errorf("%w: contradictory records", ErrUnusableAnswer)
		}
	}
	if best == nil {
		return Answer{Known: true}, nil
	}
	uri, err := telURI(best.Regexp)
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{Known: true, TTL: policy.Tenths(best.Hdr.Ttl) * 10000}
	parts := strings.Split(uri, ";")
	for _, parameter := range parts[1:] {
		name, value, _ := strings.Cut(parameter, "=")
		if strings.EqualFold(name, "rn") {
			if !routingNumberPattern.MatchString(value) {
				return Answer{}, fmt.Errorf("%w: routing number %q", ErrUnusableAnswer, value)
			}
			answer.Porting = numbers.Porting{Ported: true, RoutingNumber: strings.TrimPrefix(value, "+")}
		}
	}
	return answer, nil
}

// telURI returns the tel URI, without its scheme, of a NAPTR regular expression of the form in RFC 4769: !^.*$!tel:...!
func telURI(expression string) (string, error) {
	if len(expression) < 2 {
		return "", fmt.Errorf("%w: expression %q", ErrUnusableAnswer, expression)
	}
	parts := strings.Split(expression[1:], expression[:1])
	if len(parts) != 3 || parts[0] != "^.*$" || !strings.HasPrefix(strings.ToLower(parts[1]), "tel:") {
		return "", fmt.Errorf("%w: expression %q", ErrUnusableAnswer, expression)
	}
	return parts[1][len("tel:"):], nil
}
