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
func RunStandin(ctx context.Context, script Script, standinName string, number int, switchAddresses string, onListening func(address string)) error {
	drawn := newPlan(script)
	log := audit.NewLog(io.Discard)
	if number < 0 || number >= script.ExchangeCount {
		return fmt.Errorf("exchange %d is out of range: the day has exchanges below %d", number, script.ExchangeCount)
	}
	listen := func() (net.Listener, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err == nil {
			onListening(listener.Addr().String())
		}
		return listener, err
	}
	switch standinName {
	case "switch":
		sw := standin.NewSwitch(number, drawn.processor, script.Seed, log)
		if err := sw.Start(listen); err != nil {
			return err
		}
		defer sw.Stop()
		<-ctx.Done()
	case "register":
		var simulated []*standin.Switch
		for i := range script.ExchangeCount {
			sw := standin.NewSwitch(i, drawn.processor, script.Seed, log)
			if err := sw.Start(func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }); err != nil {
				return err
			}
			defer sw.Stop()
			simulated = append(simulated, sw)
		}
		listener, err := listen()
		if err != nil {
			return fmt.Errorf("register: %w", err)
		}
		register := standin.NewRegister(simulated, drawn.circuits, script.ListDelay, script.ListInterval, log)
		register.Start(listener)
		defer register.Stop()
		<-ctx.Done()
	case "subscribers":
		addresses := strings.Split(switchAddresses, ",")
		if len(addresses) != script.ExchangeCount {
			return fmt.Errorf("%d switch addresses for %d exchanges", len(addresses), script.ExchangeCount)
		}
		subscribers := standin.NewSubscribers(script.ExchangeCount, drawn.callers, script.Subscribers, script.Seed, func(e int) (net.Conn, error) {
			return net.DialTimeout("tcp", addresses[e], time.Second)
		})
		subscribers.Run(ctx.Done())
		report := countCallers(script, drawn.callers)
		fmt.Printf("offered %d, stood %d, refused %d, failed %d\n", report.Total.Offered, report.Total.Established, report.Total.Refused, report.Total.Failed)
	}
	return nil
}
