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

// maxCommandLength is the maximum length of a command, in octets.
const maxCommandLength = 1 << 16

// serveCommands serves commands on the control socket until ctx ends.
func (s *Server) serveCommands(ctx context.Context, listener net.Listener) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() {
			defer conn.Close()
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			defer stop()
			scanner := bufio.NewScanner(conn)
			scanner.Buffer(nil, maxCommandLength)
			encoder := json.NewEncoder(conn)
			for scanner.Scan() {
				var command Command
				var reply Reply
				if err := json.Unmarshal(scanner.Bytes(), &command); err != nil {
					reply.Error = "read command: " + err.Error()
				} else {
					reply = s.execute(command)
				}
				if encoder.Encode(reply) != nil {
					return
				}
			}
		})
	}
}

// execute runs a command.
func (s *Server) execute(command Command) Reply {
	var err error
	switch command.Name {
	case "load":
		at := time.Now()
		if command.ActivationTime != 0 {
			at = time.Unix(command.ActivationTime, 0)
		}
		_, err = s.Load(command.File, at)
	case "rollback":
		reason := command.Reason
		if reason == "" {
			reason = "by order"
		}
		_, err = s.Rollback(reason)
	case "versions":
	default:
		err = fmt.Errorf("unknown command %q; there are load, rollback, versions", command.Name)
	}
	reply := Reply{Exchange: s.config.Deployment.OwnExchange}
	if readErr := s.changeNumbering(func(n *exchange.Numbering, _ policy.Tenths) error {
		reply.Version, reply.Name, reply.HeldVersions = n.Versions.Current().Version, n.Versions.Current().Name, n.Versions.HeldCount()
		if t, at := n.Versions.Pending(); t != nil {
			reply.PendingVersion, reply.ActivationTime = t.Version, at
		}
		return nil
	}); err == nil {
		err = readErr
	}
	if err != nil {
		reply.Error = err.Error()
	}
	return reply
}

// SendCommand sends a command to a running exchange and returns its reply.
func SendCommand(address string, command Command) (Reply, error) {
	conn, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return Reply{}, fmt.Errorf("connect to exchange: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Minute)); err != nil { // loading ten million prefixes takes time
		return Reply{}, fmt.Errorf("set deadline: %w", err)
	}
	if err := json.NewEncoder(conn).Encode(command); err != nil {
		return Reply{}, fmt.Errorf("send command: %w", err)
	}
	var reply Reply
	if err := json.NewDecoder(conn).Decode(&reply); err != nil {
		return reply, fmt.Errorf("read reply of %s: %w", address, err)
	}
	return reply, nil
}
