package callagent

import "fmt"

// ConnectionState is the state of the connection of an endpoint, as far as the agent knows. Only setConnection changes it.
//
//	None      -> Creating
//	Creating  -> Created, None (refused), Uncertain (abandoned unanswered)
//	Created   -> Modifying, Deleting, None (the gateway no longer has it)
//	Modifying -> Created, None, Deleting (abandoned unanswered, and the call has ended)
//	Deleting  -> None, Created (transient error), Uncertain
//	Uncertain -> None, Deleting: the connection may exist and is deleted by its call ID
//
// A restart or loss of the gateway changes any state to None.
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

// String returns the name of the state for the log.
func (c ConnectionState) String() string { return connectionNames[c] }

var connectionTransitions = [...][]ConnectionState{
	ConnectionNone:      {ConnectionCreating},
	ConnectionCreating:  {ConnectionCreated, ConnectionNone, ConnectionUncertain},
	ConnectionCreated:   {ConnectionModifying, ConnectionDeleting, ConnectionNone},
	ConnectionModifying: {ConnectionCreated, ConnectionNone, ConnectionDeleting},
	ConnectionDeleting:  {ConnectionNone, ConnectionCreated, ConnectionUncertain},
	ConnectionUncertain: {ConnectionDeleting, ConnectionNone},
}

// setConnection changes the connection state of a line. An invalid transition is logged and counted.
func (a *Agent) setConnection(i int, next ConnectionState) {
	line := &a.lines[i]
	allowed := line.connection == next || next == ConnectionNone
	for _, state := range connectionTransitions[line.connection] {
		allowed = allowed || state == next
	}
	if !allowed {
		a.Counts.InvalidTransitions++
		a.output.Log(fmt.Sprintf("fault: invalid transition of the connection at %s from %v to %v", a.endpointName(i), line.connection, next))
	}
	line.connection = next
}
