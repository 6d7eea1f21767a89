package gateways

import "slices"

// OrphanedConnections returns the connections held by an endpoint that belong to no call, and whether the connection of its call,
// live ("" for none), is missing. The endpoint must be audited while no command to it is outstanding, so that no connection is
// being created.
func OrphanedConnections(held []string, live string) (orphaned []string, liveGone bool) {
	liveGone = live != ""
	for _, id := range held {
		if id == live && live != "" {
			liveGone = false
			continue
		}
		orphaned = append(orphaned, id)
	}
	slices.Sort(orphaned)
	return orphaned, liveGone
}

// Stale reports whether a notification with a request ID was overtaken by one with a later request ID, lastID. Request IDs count up
// and wrap around.
func Stale(id, lastID uint32) bool { return int32(id-lastID) < 0 }
