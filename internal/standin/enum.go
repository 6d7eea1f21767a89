package standin

import (
	"net"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// Ported answers for portability, honestly or as a trouble has it.
type Ported struct {
	mu      sync.Mutex
	numbers map[string]string // domain name: routing number
	how     string
	late    time.Duration
	asked   int
	all     []*dns.Server
	At      string
}

// NewPorted serves numbers (by domain name) on one loopback port, UDP and TCP.
func NewPorted(numbers map[string]string) (*Ported, error) {
	pc, ln, err := listenBoth()
	if err != nil {
		return nil, err
	}
	p := &Ported{numbers: numbers, At: pc.LocalAddr().String()}
	p.all = []*dns.Server{{PacketConn: pc, Handler: p}, {Listener: ln, Handler: p}}
	for _, s := range p.all {
		up := make(chan struct{})
		s.NotifyStartedFunc = func() { close(up) }
		go s.ActivateAndServe()
		<-up
	}
	return p, nil
}

// portTries is how many ports are tried: one that is free for UDP may be another program's for TCP.
const portTries = 20

// listenBoth listens on one loopback port, UDP and TCP.
func listenBoth() (pc net.PacketConn, ln net.Listener, err error) {
	for range portTries {
		if pc, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
			return nil, nil, err
		}
		if ln, err = net.Listen("tcp", pc.LocalAddr().String()); err == nil {
			return pc, ln, nil
		}
		pc.Close()
	}
	return nil, nil, err
}

// Set changes how it answers: "" well, late, silent, truncated, wrong, contradictory, other (another question's answer).
func (p *Ported) Set(how string, late time.Duration) {
	p.mu.Lock()
	p.how, p.late = how, late
	p.mu.Unlock()
}

// Asked counts the queries.
func (p *Ported) Asked() int { p.mu.Lock(); defer p.mu.Unlock(); return p.asked }

// Stop ends it.
func (p *Ported) Stop() {
	for _, s := range p.all {
		s.Shutdown()
	}
}

// ServeDNS answers one query.
func (p *Ported) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	p.mu.Lock()
	p.asked++
	how, late, rn := p.how, p.late, p.numbers[strings.ToLower(q.Question[0].Name)]
	p.mu.Unlock()
	time.Sleep(late)
	m := new(dns.Msg)
	m.SetReply(q)
	_, tcp := w.RemoteAddr().(*net.TCPAddr)
	name := q.Question[0].Name
	record := func(text string) {
		m.Answer = append(m.Answer, &dns.NAPTR{Hdr: dns.RR_Header{Name: name, Rrtype: dns.TypeNAPTR, Class: dns.ClassINET, Ttl: 60},
			Order: 10, Preference: 10, Flags: "u", Service: "E2U+pstn:tel", Regexp: "!^.*$!tel:" + text + "!", Replacement: "."})
	}
	switch {
	case how == "silent":
		return
	case how == "truncated" && !tcp:
		m.Truncated = true
	case how == "wrong":
		m.Rcode = dns.RcodeServerFailure
	case how == "contradictory":
		record("+1;npdi;rn=111")
		record("+1;npdi;rn=222")
	case how == "other":
		m.Question[0].Name = "1.2.3." + name
		record("+1;npdi;rn=999")
	case rn != "":
		record("+1;npdi;rn=" + rn)
	default:
		m.Rcode = dns.RcodeNameError
	}
	w.WriteMsg(m)
}
