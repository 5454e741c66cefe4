package switcher

// state holds the conditions that decide a host's part in a group.
type state struct {
	// appointed says that this host is among the serving hosts.
	appointed bool
	// useDriver says that requests are passed to the driver.
	useDriver bool
	// driverReady says that the driver runs and has observed a majority, or that
	// driverReadyTimeout has passed since its start.
	driverReady bool
	// hostsUnreachable says that the serving hosts failed to answer and that the follower has
	// not been stable since.
	hostsUnreachable bool
	// followerStable says that the follower runs and that the serving hosts have answered it for
	// followerStableTime.
	followerStable bool
}

// plan says whether to run a driver and a follower, and which one requests are passed to.
type plan struct {
	runDriver, runFollower bool
	// useDriver passes requests to the driver, else to the follower.
	useDriver bool
}

// decide returns the plan for a state. Requests are switched over only once the driver or
// follower that takes over is usable, so that no request waits for it. A host that gets no
// answer from the serving hosts serves the group itself until they answer again.
func decide(x state) plan {
	p := plan{runDriver: x.appointed || x.hostsUnreachable || x.useDriver && !x.followerStable, runFollower: !x.appointed || !x.useDriver}
	p.useDriver = p.runDriver && (x.useDriver || x.driverReady)
	return p
}
