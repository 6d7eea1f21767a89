package callagent

import (
	"strconv"

	"indigodrift/internal/exchange"
	"indigodrift/internal/gateways"
	"indigodrift/internal/isup"
	"indigodrift/policy"
)

// circuitKey identifies a call between the agent and the exchange by the circuit on the exchange's line side.
type circuitKey struct{ point, cic uint16 }

// queuedISUP is a message from the exchange that has not been handled yet.
type queuedISUP struct {
	circuit circuitKey
	message isup.Message
}

// HandleISUP queues a message that the exchange sends to its line side, and reports whether it is for a line at a gateway.
// ProcessQueue must follow.
func (a *Agent) HandleISUP(point, cic uint16, msg isup.Message) bool {
	circuit := circuitKey{point, cic}
	if point >= exchange.FirstGatewayPoint && point < exchange.FirstCalledPoint {
		a.queue = append(a.queue, queuedISUP{circuit, msg})
		return true
	}
	if _, found := a.lineByCircuit[circuit]; found {
		a.queue = append(a.queue, queuedISUP{circuit, msg})
		return true
	}
	if msg.Type != isup.IAM {
		return false
	}
	number, err := strconv.Atoi(msg.Digits)
	if err != nil || number/1000000 != a.config.OwnExchange {
		return false
	}
	i, found := a.lineByNumber[number%1000000]
	if found {
		a.lineByCircuit[circuit] = i
		a.queue = append(a.queue, queuedISUP{circuit, msg})
	}
	return found
}

// HasCircuit reports whether a circuit of the exchange's line side belongs to a line at a gateway.
func (a *Agent) HasCircuit(point, cic uint16) bool {
	_, found := a.lineByCircuit[circuitKey{point, cic}]
	return found || point >= exchange.FirstGatewayPoint && point < exchange.FirstCalledPoint
}

// ProcessQueue handles the messages queued by HandleISUP.
func (a *Agent) ProcessQueue(now policy.Tenths) {
	a.now = now
	a.processQueue()
}

// processQueue handles the queued messages. A nested invocation returns at once; the outer one handles its
// messages.
func (a *Agent) processQueue() {
	if a.processing {
		return
	}
	a.processing = true
	defer func() { a.processing = false }()
	for len(a.queue) > 0 {
		queued := a.queue[0]
		a.queue = a.queue[1:]
		i, incoming := a.lineByCircuit[queued.circuit]
		if !incoming { // a call from a line: the circuit is that of the line
			i = int(queued.circuit.point-exchange.FirstGatewayPoint)<<12 + int(queued.circuit.cic)
		}
		if i >= len(a.lines) {
			continue
		}
		call := a.lines[i].call
		switch queued.message.Type {
		case isup.IAM:
			if a.gateways[a.lines[i].gateway].suspect || a.gateways[a.lines[i].gateway].presence.State() != gateways.Serving {
				a.sendToExchange(queued.circuit, isup.Message{Type: isup.REL, Cause: isup.OutOfOrder, Location: isup.User})
				continue
			}
			a.handleEvent(i, incomingCall, eventData{circuit: queued.circuit, message: queued.message})
		case isup.ANM:
			if call != nil && call.circuit == queued.circuit {
				a.handleEvent(i, callAnswered, eventData{message: queued.message})
			}
		case isup.REL:
			if incoming {
				delete(a.lineByCircuit, queued.circuit)
			}
			if call != nil && call.circuit == queued.circuit {
				a.handleEvent(i, callReleased, eventData{message: queued.message})
			}
		}
	}
}

// sendToExchange passes a message from a line to the exchange.
func (a *Agent) sendToExchange(circuit circuitKey, msg isup.Message) {
	if msg.Type == isup.REL {
		delete(a.lineByCircuit, circuit)
	}
	msg.CIC = circuit.cic
	a.output.Offer(circuit.point, circuit.cic, msg)
}

// pointOf and cicOf return the circuit of calls from a line.
func (a *Agent) pointOf(i int) uint16 { return exchange.FirstGatewayPoint + uint16(i>>12) }
func (a *Agent) cicOf(i int) uint16   { return uint16(i & isup.MaxCIC) }
