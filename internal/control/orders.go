package control

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"indigodrift/internal/exchange"
	"indigodrift/policy"
)

// Command is a command to a running exchange, sent as one line of JSON.
type Command struct {
	Name           string `json:"do"` // load, rollback, versions
	File           string `json:"file,omitempty"`
	ActivationTime int64  `json:"at,omitempty"` // seconds since 1970; 0: at once
	Reason         string `json:"why,omitempty"`
}

// Reply is the answer to a command, sent as one line of JSON.
type Reply struct {
	Exchange       int    `json:"exchange"`
	Error          string `json:"error,omitempty"`
	Version        uint64 `json:"version"` // in force after the command
	Name           string `json:"name"`
	PendingVersion uint64 `json:"waiting,omitempty"` // version that is to come into force
	ActivationTime int64  `json:"at,omitempty"`      // and when, in seconds since 1970
	HeldVersions   int    `json:"held"`              // versions in memory
}

// orderMost is the maximum length of a command, in octets.
const orderMost = 1 << 16

// takeOrders serves commands on the control socket until ctx ends.
func (s *Server) takeOrders(ctx context.Context, ln net.Listener) {
	var all sync.WaitGroup
	defer all.Wait()
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		all.Go(func() {
			defer c.Close()
			stop := context.AfterFunc(ctx, func() { c.Close() })
			defer stop()
			in := bufio.NewScanner(c)
			in.Buffer(nil, orderMost)
			out := json.NewEncoder(c)
			for in.Scan() {
				var o Command
				var r Reply
				if err := json.Unmarshal(in.Bytes(), &o); err != nil {
					r.Error = "read command: " + err.Error()
				} else {
					r = s.obey(o)
				}
				if out.Encode(r) != nil {
					return
				}
			}
		})
	}
}

// obey runs a command.
func (s *Server) obey(o Command) Reply {
	var err error
	switch o.Name {
	case "load":
		at := time.Now()
		if o.ActivationTime != 0 {
			at = time.Unix(o.ActivationTime, 0)
		}
		_, err = s.Load(o.File, at)
	case "rollback":
		why := o.Reason
		if why == "" {
			why = "by order"
		}
		_, err = s.Rollback(why)
	case "versions":
	default:
		err = fmt.Errorf("unknown command %q; there are load, rollback, versions", o.Name)
	}
	r := Reply{Exchange: s.site.Deployment.OwnExchange}
	if asked := s.change(func(n *exchange.Numbering, _ policy.Tenths) error {
		r.Version, r.Name, r.HeldVersions = n.Versions.Current().Version, n.Versions.Current().Name, n.Versions.Held()
		if t, at := n.Versions.Waiting(); t != nil {
			r.PendingVersion, r.ActivationTime = t.Version, at
		}
		return nil
	}); err == nil {
		err = asked
	}
	if err != nil {
		r.Error = err.Error()
	}
	return r
}

// SendCommand sends a command to a running exchange and returns its reply.
func SendCommand(address string, o Command) (Reply, error) {
	c, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return Reply{}, fmt.Errorf("connect to exchange: %w", err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(5 * time.Minute)); err != nil { // loading ten million prefixes takes time
		return Reply{}, fmt.Errorf("set deadline: %w", err)
	}
	if err := json.NewEncoder(c).Encode(o); err != nil {
		return Reply{}, fmt.Errorf("send command: %w", err)
	}
	var r Reply
	if err := json.NewDecoder(c).Decode(&r); err != nil {
		return r, fmt.Errorf("read reply of %s: %w", address, err)
	}
	return r, nil
}
