package b2bua

// Bounds are what the agent may hold.
type Bounds struct {
	Calls   int // neither standing nor over
	Octets  int // of descriptions
	Callers int // connections of callers
	Links   int // connections to switches, with those being dialled
}

// Closing is how many connections of either kind may be on their way to be closed beside those that are held.
const Closing = 8

// descriptorsKept are kept for the standard streams, the listener, the system's poller, the configuration, and the notice board: its
// connection and one dialled beside it when its address changes.
const descriptorsKept = 10

// Descriptors divides what a process may hold between callers and switches, after what it needs for itself. The platform's callers
// hold a third at most, and must have it; where the rest allows, as much again is for others that connect.
func Descriptors(all int) (callers, links int) {
	free := all - descriptorsKept - 2*Closing
	callers = max(all/3, free/2)
	return callers, max(1, free-callers)
}
