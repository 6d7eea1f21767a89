package b2bua

// Bounds limits what the agent may hold.
type Bounds struct {
	Calls   int // calls that are neither established nor ended
	Octets  int // of session descriptions
	Callers int // connections of callers
	Links   int // connections to switches, dials included
}

// MaxClosing is how many connections of each kind may be closing in addition to those that are held.
const MaxClosing = 8

// reservedDescriptors is reserved for the standard streams, the listener, the system's poller, the configuration and
// the notice board, which uses two connections while its address changes.
const reservedDescriptors = 10

// Descriptors divides the descriptors of the process between callers and switches, after its own needs. The
// platform's callers hold a third at most and must have it; where the rest allows, as much again is for other
// callers.
func Descriptors(total int) (callers, links int) {
	free := total - reservedDescriptors - 2*MaxClosing
	callers = max(total/3, free/2)
	return callers, max(1, free-callers)
}
