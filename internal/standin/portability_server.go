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
	packetConn, listener, err := listenUDPAndTCP()
	if err != nil {
		return nil, err
	}
	server := &PortabilityServer{routingNumbers: numbers, Address: packetConn.LocalAddr().String()}
	server.servers = []*dns.Server{{PacketConn: packetConn, Handler: server}, {Listener: listener, Handler: server}}
	for _, transport := range server.servers {
		started := make(chan struct{})
		transport.NotifyStartedFunc = func() { close(started) }
		go transport.ActivateAndServe()
		<-started
	}
	return server, nil
}

// maxPortAttempts is the number of ports to try: a port that is free for UDP may be in use for TCP.
const maxPortAttempts = 20

// listenUDPAndTCP listens on one loopback port, UDP and TCP.
func listenUDPAndTCP() (packetConn net.PacketConn, listener net.Listener, err error) {
	for range maxPortAttempts {
		if packetConn, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
			return nil, nil, err
		}
		if listener, err = net.Listen("tcp", packetConn.LocalAddr().String()); err == nil {
			return packetConn, listener, nil
		}
		packetConn.Close()
	}
	return nil, nil, err
}

// SetFault sets how the server answers from now on, and the delay of each answer. The faults are silent, truncated, wrong,
// contradictory and other (the answer to another question); "" stands for correct answers.
func (p *PortabilityServer) SetFault(fault string, delay time.Duration) {
	p.mu.Lock()
	p.fault, p.delay = fault, delay
	p.mu.Unlock()
}

// QueryCount returns the number of queries received.
func (p *PortabilityServer) QueryCount() int { p.mu.Lock(); defer p.mu.Unlock(); return p.queryCount }

// Stop shuts the server down.
func (p *PortabilityServer) Stop() {
	for _, server := range p.servers {
		server.Shutdown()
	}
}

// ServeDNS implements dns.Handler.
func (p *PortabilityServer) ServeDNS(w dns.ResponseWriter, query *dns.Msg) {
	p.mu.Lock()
	p.queryCount++
	fault, delay, routingNumber := p.fault, p.delay, p.routingNumbers[strings.ToLower(query.Question[0].Name)]
	p.mu.Unlock()
	time.Sleep(delay)
	reply := new(dns.Msg)
	reply.SetReply(query)
	_, tcp := w.RemoteAddr().(*net.TCPAddr)
	name := query.Question[0].Name
	addRecord := func(uri string) {
		reply.Answer = append(reply.Answer, &dns.NAPTR{Hdr: dns.RR_Header{Name: name, Rrtype: dns.TypeNAPTR, Class: dns.ClassINET, Ttl: 60},
			Order: 10, Preference: 10, Flags: "u", Service: "E2U+pstn:tel", Regexp: "!^.*$!tel:" + uri + "!", Replacement: "."})
	}
	switch {
	case fault == "silent":
		return
	case fault == "truncated" && !tcp:
		reply.Truncated = true
	case fault == "wrong":
		reply.Rcode = dns.RcodeServerFailure
	case fault == "contradictory":
		addRecord("+1;npdi;rn=111")
		addRecord("+1;npdi;rn=222")
	case fault == "other":
		reply.Question[0].Name = "1.2.3." + name
		addRecord("+1;npdi;rn=999")
	case routingNumber != "":
		addRecord("+1;npdi;rn=" + routingNumber)
	default:
		reply.Rcode = dns.RcodeNameError
	}
	w.WriteMsg(reply)
}
