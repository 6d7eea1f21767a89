package b2bua

// Bounds limits what the agent may hold.
type Bounds struct {
	Calls   int // calls that are neither established nor ended
	Octets  int // of session descriptions
	Callers int // connections of callers
	Links   int // connections to switches, dials included
	Memory  int // octets that the process may use, defaultMemory if 0; it sets the limits of what is held beyond open calls
}

// defaultMemory is the memory limit of a process if none is given.
const defaultMemory = 64 << 20

// Octets of the memory limit for each entry that may be held. docs/bounds.md lists what an entry takes at most.
const (
	octetsPerEstablished  = 4 << 10
	octetsPerAnnounced    = 8 << 10
	octetsPerRetained     = 8 << 10
	octetsPerForeign      = 16 << 10
	octetsPerTurnedAway   = 16 << 10
	octetsPerSwitch       = 16 << 10
	minLimitOfHeldEntries = 256
)

// heldLimits limits the calls that are held although none of their callers waits for an answer, and the switches.
type heldLimits struct {
	established int // answered by a switch; further set-ups are refused
	announced   int // announced by callers as established, but not set up here
	retained    int // over, and set up here at a switch
	foreign     int // over, released by a switch, but not known here
	turnedAway  int // over, and known to no switch
	switches    int // listed
}

// heldLimits returns the limits for the memory of the process.
func (b Bounds) heldLimits() heldLimits {
	memory := b.Memory
	if memory == 0 {
		memory = defaultMemory
	}
	limit := func(octetsPerEntry int) int { return max(minLimitOfHeldEntries, memory/octetsPerEntry) }
	return heldLimits{established: limit(octetsPerEstablished), announced: limit(octetsPerAnnounced), retained: limit(octetsPerRetained),
		foreign: limit(octetsPerForeign), turnedAway: limit(octetsPerTurnedAway), switches: limit(octetsPerSwitch)}
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
