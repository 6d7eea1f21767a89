package day

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"indigodrift/internal/audit"
	"indigodrift/internal/standin"
)

// RunStandin runs one stand-in of a day by itself until ctx ends: a switch, a register whose switches are all ready, or the
// subscribers of switches that run elsewhere.
func RunStandin(ctx context.Context, s Script, part string, number int, switches string, listening func(address string)) error {
	p := newPlan(s)
	log := audit.NewLog(io.Discard)
	if number < 0 || number >= s.ExchangeCount {
		return fmt.Errorf("exchange %d is out of range: the day has exchanges below %d", number, s.ExchangeCount)
	}
	open := func() (net.Listener, error) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err == nil {
			listening(ln.Addr().String())
		}
		return ln, err
	}
	switch part {
	case "switch":
		sw := standin.NewSwitch(number, p.processor, s.Seed, log)
		if err := sw.Start(open); err != nil {
			return err
		}
		defer sw.Stop()
		<-ctx.Done()
	case "register":
		var all []*standin.Switch
		for i := range s.ExchangeCount {
			sw := standin.NewSwitch(i, p.processor, s.Seed, log)
			if err := sw.Start(func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }); err != nil {
				return err
			}
			defer sw.Stop()
			all = append(all, sw)
		}
		ln, err := open()
		if err != nil {
			return fmt.Errorf("register: %w", err)
		}
		r := standin.NewRegister(all, p.circuits, s.ListDelay, s.ListInterval, log)
		r.Start(ln)
		defer r.Stop()
		<-ctx.Done()
	case "subscribers":
		at := strings.Split(switches, ",")
		if len(at) != s.ExchangeCount {
			return fmt.Errorf("%d switch addresses for %d exchanges", len(at), s.ExchangeCount)
		}
		subs := standin.NewSubscribers(s.ExchangeCount, p.callers, s.Subscribers, s.Seed, func(e int) (net.Conn, error) {
			return net.DialTimeout("tcp", at[e], time.Second)
		})
		subs.Run(ctx.Done())
		rep := countCallers(s, p.callers)
		fmt.Printf("offered %d, stood %d, refused %d, failed %d\n", rep.Total.Offered, rep.Total.Established, rep.Total.Refused, rep.Total.Failed)
	}
	return nil
}
