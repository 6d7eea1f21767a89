package policy

// HeldCounts counts what a Controller holds, for the log.
type HeldCounts struct {
	Calls           int // calls that have not ended
	RejectedNumbers int // numbers called by rejected callers
	Destinations    int // destinations with a count of their traffic
	Switches        int // switches that were listed
}

// Held counts what the controller holds.
func (c *Controller) Held() HeldCounts {
	return HeldCounts{Calls: len(c.calls), RejectedNumbers: len(c.rejected.order), Destinations: len(c.traffic), Switches: len(c.remotes)}
}
