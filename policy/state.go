package policy

const (
	// maxUnservedDestinations bounds the destinations that callers named and no switch serves, for which state is held.
	maxUnservedDestinations = 1024

	// maxRemotes is how many switches are held before the place of one that is gone is used again.
	maxRemotes = 1024
)

// trafficTo returns the count of the traffic to a destination, nil if too many that no switch serves have one.
func (c *Controller) trafficTo(dest int) *decayingStats {
	traffic := c.traffic[dest]
	if traffic != nil {
		return traffic
	}
	if _, served := c.serving[dest]; !served && len(c.traffic) >= len(c.serving)+maxUnservedDestinations {
		return nil
	}
	traffic = &decayingStats{}
	c.traffic[dest] = traffic
	return traffic
}

// rememberTandem remembers the tandem last used to a destination whose traffic is counted.
func (c *Controller) rememberTandem(dest, tandem int) {
	if c.traffic[dest] != nil {
		c.lastTandem[dest] = tandem
	}
}

// recordTurnBack records that a tandem turned back a call to a destination whose traffic is counted.
func (c *Controller) recordTurnBack(now Tenths, remote *remoteSwitch, dest int) {
	if c.traffic[dest] != nil {
		remote.turnedBackAt[dest] = now
	}
}

// withdrawUnlisted withdraws every switch that a complete list leaves out.
func (c *Controller) withdrawUnlisted(list []Switch) {
	listed := map[uint32]bool{}
	for _, sw := range list {
		listed[sw.ID] = true
	}
	for i := range c.remotes {
		c.remotes[i].ready = c.remotes[i].ready && listed[c.remotes[i].id]
	}
}

// remoteIndex returns the index of a remote switch in remotes and adds the switch if it is unknown.
func (c *Controller) remoteIndex(id uint32) int {
	if i, known := c.byID[id]; known {
		return i
	}
	i := len(c.remotes)
	if unused, found := c.unusedRemote(); found {
		c.forgetRemote(unused)
		i = unused
	} else {
		c.remotes = append(c.remotes, remoteSwitch{})
	}
	c.remotes[i] = remoteSwitch{id: id, number: -1, turnedBackAt: map[int]Tenths{}}
	c.byID[id] = i
	return i
}

// unusedRemote returns the index of a switch that is out of service and has no calls, once there are maxRemotes.
func (c *Controller) unusedRemote() (int, bool) {
	if len(c.remotes) < maxRemotes {
		return 0, false
	}
	inUse := make([]bool, len(c.remotes))
	for _, call := range c.calls {
		inUse[call.remote] = true
	}
	for i := range c.remotes {
		if !c.remotes[i].ready && !inUse[i] {
			return i, true
		}
	}
	return 0, false
}

// forgetRemote removes what refers to a remote switch by its id or index.
func (c *Controller) forgetRemote(index int) {
	delete(c.byID, c.remotes[index].id)
	for dest, tandem := range c.lastTandem {
		if tandem == index {
			delete(c.lastTandem, dest)
		}
	}
	for number, serving := range c.serving {
		if serving == index {
			delete(c.serving, number)
		}
	}
}
