package enum

import (
	"context"
	"errors"
	"testing"
	"time"

	"indigodrift/internal/numbers"
	"indigodrift/internal/standin"

	"github.com/miekg/dns"
)

func TestQuery(t *testing.T) {
	server, err := standin.NewPortabilityServer(map[string]string{DomainName("37129000001", "e164.test."): "37167000000"})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	client := &Client{Servers: [2]string{server.Address, server.Address}, Zone: "e164.test.", Timeout: 300 * time.Millisecond}
	for _, c := range []struct {
		fault, number string
		porting       numbers.Porting
		known, valid  bool
	}{
		{"", "37129000001", numbers.Porting{Ported: true, RoutingNumber: "37167000000"}, true, true}, {"", "37129000002", numbers.Porting{}, false, true},
		{"truncated", "37129000001", numbers.Porting{Ported: true, RoutingNumber: "37167000000"}, true, true}, {"silent", "37129000001", numbers.Porting{}, false, false},
		{"wrong", "37129000001", numbers.Porting{}, false, false}, {"contradictory", "37129000001", numbers.Porting{}, false, false},
		{"other", "37129000001", numbers.Porting{}, false, false},
	} {
		server.SetFault(c.fault, 0)
		answer, err := client.Query(context.Background(), 0, c.number)
		if (err == nil) != c.valid || answer.Porting != c.porting || answer.Known != c.known {
			t.Errorf("%s %s: %+v, %v", c.fault, c.number, answer, err)
		}
	}
}

func TestUnsupportedExpressionsAreRejected(t *testing.T) {
	for _, expression := range []string{"", "!", "!^.*$!sip:a@b!", "!^(.*)$!tel:\\1!", "!^.*$!tel:+1;rn=x1!"} {
		reply := new(dns.Msg)
		reply.SetQuestion("1.e164.test.", dns.TypeNAPTR)
		reply.Answer = []dns.RR{&dns.NAPTR{Hdr: dns.RR_Header{Name: "1.e164.test."}, Flags: "u", Service: "E2U+pstn:tel", Regexp: expression}}
		if _, err := ParseAnswer(reply); !errors.Is(err, ErrUnusableAnswer) {
			t.Errorf("%q: %v", expression, err)
		}
	}
}
