package callagent

import "fmt"

// Connection is where the one connection of an endpoint stands, as far as is known. connect is the one place that changes it.
//
//	None     -> Making
//	Making   -> Made, None (refused), Unsure (given up unanswered)
//	Made     -> Changing, Deleting, None (the gateway no longer has it)
//	Changing -> Made, None, Deleting (given up unanswered, and the call is over)
//	Deleting -> None, Made (it cannot now), Unsure
//	Unsure   -> None, Deleting: it may be there and is deleted by its call's id
//
// Whatever it is, a gateway that starts anew or is lost makes it None.
type Connection uint8

const (
	None Connection = iota
	Making
	Made
	Changing
	Deleting
	Unsure
)

var connectionNames = [...]string{"none", "making", "made", "changing", "deleting", "unsure"}

func (c Connection) String() string { return connectionNames[c] }

var connectionMay = [...][]Connection{None: {Making}, Making: {Made, None, Unsure}, Made: {Changing, Deleting, None},
	Changing: {Made, None, Deleting}, Deleting: {None, Made, Unsure}, Unsure: {Deleting, None}}

// connect changes where a line's connection stands.
func (a *Agent) connect(i int, to Connection) {
	l := &a.lines[i]
	fits := l.conn == to || to == None
	for _, may := range connectionMay[l.conn] {
		fits = fits || may == to
	}
	if !fits {
		a.Counts.Faults++
		a.out.Note(fmt.Sprintf("fault: a connection at %s goes from %v to %v", a.endpoint(i), l.conn, to))
	}
	l.conn = to
}
