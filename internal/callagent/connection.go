package callagent

import "fmt"

// ConnectionState is where the one connection of an endpoint stands, as far as is known. connect is the one place that changes it.
//
//	None     -> Making
//	Making   -> Made, None (refused), Unsure (given up unanswered)
//	Made     -> Changing, Deleting, None (the gateway no longer has it)
//	Changing -> Made, None, Deleting (given up unanswered, and the call is over)
//	Deleting -> None, Made (it cannot now), Unsure
//	Unsure   -> None, Deleting: it may be there and is deleted by its call's id
//
// Whatever it is, a gateway that starts anew or is lost makes it None.
type ConnectionState uint8

const (
	ConnectionNone ConnectionState = iota
	ConnectionCreating
	ConnectionCreated
	ConnectionModifying
	ConnectionDeleting
	ConnectionUncertain
)

var connectionNames = [...]string{"none", "making", "made", "changing", "deleting", "unsure"}

func (c ConnectionState) String() string { return connectionNames[c] }

var connectionTransitions = [...][]ConnectionState{ConnectionNone: {ConnectionCreating}, ConnectionCreating: {ConnectionCreated, ConnectionNone, ConnectionUncertain}, ConnectionCreated: {ConnectionModifying, ConnectionDeleting, ConnectionNone},
	ConnectionModifying: {ConnectionCreated, ConnectionNone, ConnectionDeleting}, ConnectionDeleting: {ConnectionNone, ConnectionCreated, ConnectionUncertain}, ConnectionUncertain: {ConnectionDeleting, ConnectionNone}}

// setConnection changes where a line's connection stands.
func (a *Agent) setConnection(i int, next ConnectionState) {
	line := &a.lines[i]
	allowed := line.connection == next || next == ConnectionNone
	for _, state := range connectionTransitions[line.connection] {
		allowed = allowed || state == next
	}
	if !allowed {
		a.Counts.InvalidTransitions++
		a.output.Note(fmt.Sprintf("fault: a connection at %s goes from %v to %v", a.endpointName(i), line.connection, next))
	}
	line.connection = next
}
