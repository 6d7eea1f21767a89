package control

import (
	"context"
	"fmt"
	"log/slog"

	"indigodrift/internal/exchange"
	"indigodrift/internal/isup"
	"indigodrift/internal/lag"
	"indigodrift/internal/m3ua"
	"indigodrift/internal/membership"
	"indigodrift/internal/trunk"
)

// inputHandler receives what happens on the links and at the register client, each on its own goroutine, and queues it for the
// event loop.
type inputHandler Server

// enqueue queues an event, waiting while the queue is full.
func (h *inputHandler) enqueue(ev event) {
	select {
	case h.inbox <- ev:
	case <-h.done:
	}
}

// LinkUp reports that a link came up.
func (h *inputHandler) LinkUp(link int, handshake trunk.Handshake) {
	// A restarted switch has a new clock. With the estimate of the old one every call seemed to have waited for as long as
	// the switch had run before, and none was accepted.
	h.messageLags[link] = lag.Estimator{}
	if handshake.HasClock {
		h.messageLags[link] = lag.NewEstimator(handshake.SentAt, handshake.ReceivedAt, handshake.Clock)
	}
	h.enqueue(event{kind: evLinkUp, link: link, incarnation: handshake.Incarnation})
}

// LinkDown reports that a link went down.
func (h *inputHandler) LinkDown(link int, err error) {
	h.enqueue(event{kind: evLinkDown, link: link, err: err})
}

// HandleList reports a list of switches from the register.
func (h *inputHandler) HandleList(l membership.List) { h.enqueue(event{kind: evList, list: l}) }

// HandleAdvice reports the tandems that the register advises.
func (h *inputHandler) HandleAdvice(advice map[int]int) {
	h.enqueue(event{kind: evAdvice, advice: advice})
}

// RegisterLost reports that the connection to the register ended.
func (h *inputHandler) RegisterLost(err error) { h.enqueue(event{kind: evRegisterLost, err: err}) }

// HandleFrame queues a message from a link. If the queue has no capacity for a new call, the call is refused here, at once.
func (h *inputHandler) HandleFrame(link int, frame m3ua.Frame) error {
	message, err := isup.Decode(frame.UserData)
	if err != nil {
		return err
	}
	hop := exchange.Hop{Side: exchange.Succeeding, Peer: link}
	if own := len(h.links) - 1; link == own {
		if peer, ok := h.neighbourByPoint[frame.OPC]; ok {
			hop = exchange.Hop{Side: exchange.Preceding, Peer: peer}
		} else if frame.OPC >= exchange.FirstSubscriberPoint && frame.OPC < 1<<14 {
			hop = exchange.Hop{Side: exchange.Line, Point: uint16(frame.OPC)}
		} else {
			return fmt.Errorf("point code %d is not known", frame.OPC)
		}
	}
	ev := event{kind: evMessage, link: link, hop: hop, message: message}
	if message.UserInfo.Present&isup.PartTimeLeft != 0 {
		ev.age = h.messageLags[link].Age(h.clock.Now(), message.UserInfo.SentAt)
	}
	if message.Type == isup.IAM && !exchange.QueueAcceptsCall(len(h.inbox), cap(h.inbox)) {
		(*Server)(h).transmit(nil, hop, isup.Message{CIC: message.CIC, Type: isup.REL, Cause: isup.Congestion, Location: isup.LocalNetwork})
		return nil
	}
	h.enqueue(ev)
	return nil
}

// transmit encodes and sends a message. buf is scratch memory and may be nil.
func (s *Server) transmit(buf []byte, to exchange.Hop, message isup.Message) []byte {
	buf, err := isup.Append(buf[:0], message)
	if err != nil {
		s.log.Error("cannot encode message", "why", err)
		return buf
	}
	own := len(s.links) - 1
	frame := m3ua.Frame{Kind: m3ua.Data, OPC: uint32(exchange.PointCode(s.config.Deployment.OwnExchange)), UserData: buf, SLS: uint8(message.CIC)}
	link := own
	switch to.Side {
	case exchange.Line:
		frame.DPC = uint32(to.Point)
	default:
		frame.DPC = uint32(exchange.PointCode(s.config.Neighbours[to.Peer].Number))
		if to.Side == exchange.Succeeding {
			link = to.Peer
		}
	}
	s.links[link].Send(frame)
	return buf
}

// outputHandler carries out what the exchange asks for.
type outputHandler Server

// Transmit sends a message to a line or a neighbour.
func (h *outputHandler) Transmit(to exchange.Hop, m isup.Message) {
	s := (*Server)(h)
	if to.Side == exchange.Line && s.agent.deliver(to.Point, m) {
		return
	}
	if s.InterceptSend != nil {
		s.InterceptSend(to, m, func(to exchange.Hop, m isup.Message) { s.sendBuffer = s.transmit(s.sendBuffer, to, m) })
		return
	}
	s.sendBuffer = s.transmit(s.sendBuffer, to, m)
}

// RequestSwitchList requests the full list of switches from the register.
func (h *outputHandler) RequestSwitchList() { h.register.RequestList() }

// Log logs a notable event.
func (h *outputHandler) Log(text string) { h.log.Info(text) }

// ReportAnswer logs the final answer of a call.
func (h *outputHandler) ReportAnswer(a exchange.Answer) {
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("answer", "call", a.Ref.Identity, "from", a.Ref.Point, "outcome", a.Outcome.String(), "dest", a.Dest,
			"tries", a.Tries, "took", trunk.Duration(a.Duration), "transit", a.Transit, "come_back", trunk.Duration(a.RetryAfter))
	}
}
