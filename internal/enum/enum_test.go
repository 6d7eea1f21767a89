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

func TestAnswersOfEverySort(t *testing.T) {
	p, err := standin.NewPorted(map[string]string{DomainName("37129000001", "e164.test."): "37167000000"})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	c := &Client{Servers: [2]string{p.At, p.At}, Zone: "e164.test.", Timeout: 300 * time.Millisecond}
	for _, k := range []struct {
		how, number string
		port        numbers.Porting
		known, fine bool
	}{
		{"", "37129000001", numbers.Porting{Ported: true, RoutingNumber: "37167000000"}, true, true}, {"", "37129000002", numbers.Porting{}, false, true},
		{"truncated", "37129000001", numbers.Porting{Ported: true, RoutingNumber: "37167000000"}, true, true}, {"silent", "37129000001", numbers.Porting{}, false, false},
		{"wrong", "37129000001", numbers.Porting{}, false, false}, {"contradictory", "37129000001", numbers.Porting{}, false, false},
		{"other", "37129000001", numbers.Porting{}, false, false},
	} {
		p.Set(k.how, 0)
		a, err := c.Query(context.Background(), 0, k.number)
		if (err == nil) != k.fine || a.Porting != k.port || a.Known != k.known {
			t.Errorf("%s %s: %+v, %v", k.how, k.number, a, err)
		}
	}
}

func TestExpressionsOfAnotherForm(t *testing.T) {
	for _, e := range []string{"", "!", "!^.*$!sip:a@b!", "!^(.*)$!tel:\\1!", "!^.*$!tel:+1;rn=x1!"} {
		m := new(dns.Msg)
		m.SetQuestion("1.e164.test.", dns.TypeNAPTR)
		m.Answer = []dns.RR{&dns.NAPTR{Hdr: dns.RR_Header{Name: "1.e164.test."}, Flags: "u", Service: "E2U+pstn:tel", Regexp: e}}
		if _, err := ParseAnswer(m); !errors.Is(err, ErrUnusableAnswer) {
			t.Errorf("%q: %v", e, err)
		}
	}
}
