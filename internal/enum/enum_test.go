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
	p, err := standin.NewPorted(map[string]string{Name("37129000001", "e164.test."): "37167000000"})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	c := &Client{Servers: [2]string{p.At, p.At}, Zone: "e164.test.", Most: 300 * time.Millisecond}
	for _, k := range []struct {
		how, number string
		port        numbers.Port
		known, fine bool
	}{
		{"", "37129000001", numbers.Port{Ported: true, Number: "37167000000"}, true, true}, {"", "37129000002", numbers.Port{}, false, true},
		{"truncated", "37129000001", numbers.Port{Ported: true, Number: "37167000000"}, true, true}, {"silent", "37129000001", numbers.Port{}, false, false},
		{"wrong", "37129000001", numbers.Port{}, false, false}, {"contradictory", "37129000001", numbers.Port{}, false, false},
		{"other", "37129000001", numbers.Port{}, false, false},
	} {
		p.Set(k.how, 0)
		a, err := c.Ask(context.Background(), 0, k.number)
		if (err == nil) != k.fine || a.Port != k.port || a.Known != k.known {
			t.Errorf("%s %s: %+v, %v", k.how, k.number, a, err)
		}
	}
}

func TestExpressionsOfAnotherForm(t *testing.T) {
	for _, e := range []string{"", "!", "!^.*$!sip:a@b!", "!^(.*)$!tel:\\1!", "!^.*$!tel:+1;rn=x1!"} {
		m := new(dns.Msg)
		m.SetQuestion("1.e164.test.", dns.TypeNAPTR)
		m.Answer = []dns.RR{&dns.NAPTR{Hdr: dns.RR_Header{Name: "1.e164.test."}, Flags: "u", Service: "E2U+pstn:tel", Regexp: e}}
		if _, err := Read(m); !errors.Is(err, ErrAnswer) {
			t.Errorf("%q: %v", e, err)
		}
	}
}
