package standin

import (
	"net"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// PortabilityServer is an ENUM server for ported numbers. SetFault makes it answer late, wrongly or not at all.
type PortabilityServer struct {
	mu             sync.Mutex
	routingNumbers map[string]string // by domain name
	fault          string
	delay          time.Duration
	queryCount     int
	servers        []*dns.Server
	Address        string
}

// NewPortabilityServer starts a server of routing numbers, by domain name, on one loopback port, UDP and TCP.
func NewPortabilityServer(numbers map[string]string) (*PortabilityServer, error) {
	pc, ln, err := listenUDPAndTCP()
	if err != nil {
		return nil, err
	}
	p := &PortabilityServer{routingNumbers: numbers, Address: pc.LocalAddr().String()}
	p.servers = []*dns.Server{{PacketConn: pc, Handler: p}, {Listener: ln, Handler: p}}
	for _, s := range p.servers {
		up := make(chan struct{})
		s.NotifyStartedFunc = func() { close(up) }
		go s.ActivateAndServe()
		<-up
	}
	return p, nil
}

// maxPortAttempts is the number of ports to try: a port that is free for UDP may be in use for TCP.
const maxPortAttempts = 20

// listenUDPAndTCP listens on one loopback port, UDP and TCP.
func listenUDPAndTCP() (pc net.PacketConn, ln net.Listener, err error) {
	for range maxPortAttempts {
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

// SetFault sets how the server answers from now on, and the delay of each answer. The faults are silent, truncated, wrong,
// contradictory and other (the answer to another question); "" stands for correct answers.
func (p *PortabilityServer) SetFault(how string, late time.Duration) {
	p.mu.Lock()
	p.fault, p.delay = how, late
	p.mu.Unlock()
}

// QueryCount returns the number of queries received.
func (p *PortabilityServer) QueryCount() int { p.mu.Lock(); defer p.mu.Unlock(); return p.queryCount }

// Stop shuts the server down.
func (p *PortabilityServer) Stop() {
	for _, s := range p.servers {
		s.Shutdown()
	}
}

// ServeDNS implements dns.Handler.
func (p *PortabilityServer) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	p.mu.Lock()
	p.queryCount++
	how, late, rn := p.fault, p.delay, p.routingNumbers[strings.ToLower(q.Question[0].Name)]
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
