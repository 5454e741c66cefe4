package switcher

// situation is what a host's part in a group depends on.
type situation struct {
	// appointed says that this host is among the serving hosts.
	appointed bool
	// driving says that requests go to the driver.
	driving bool
	// ready says that the driver runs and has seen a majority, or has had the time.
	ready bool
	// lost says that the serving hosts didn't answer, and haven't been steady since.
	lost bool
	// steady says that the follower runs and has been answered for a while.
	steady bool
}

// plan is what is to run, and which of both requests go to.
type plan struct {
	drive, follow bool
	// driving sends requests to the driver.
	driving bool
}

// decide returns what a host does for a group. A change is made only once what
// takes over is of use, so that no request waits for it; and a host whose serving
// hosts don't answer serves itself until they do.
func decide(x situation) plan {
	p := plan{drive: x.appointed || x.lost || x.driving && !x.steady, follow: !x.appointed || !x.driving}
	p.driving = p.drive && (x.driving || x.ready)
	return p
}
