package checker

import (
	"cmp"
	"slices"
)

// configurationCheck compares the revisions in force at entry hosts with the outcomes that operators received.
type configurationCheck struct {
	check *check
	// observations are ordered by time.
	observations []ObservedRevision
}

// checkConfigurations finds returns to a lower revision, revisions that not all entry hosts have
// with the same content, and revisions that contradict the outcomes that operators received.
func (c *check) checkConfigurations() {
	l := slices.Clone(c.history.ObservedRevisions)
	slices.SortStableFunc(l, func(a, b ObservedRevision) int { return cmp.Compare(a.At, b.At) })
	x := &configurationCheck{check: c, observations: l}
	x.checkOrder()
	x.checkContents()
	x.checkEnd()
	for i := range c.history.Applies {
		x.checkApply(&c.history.Applies[i])
	}
	x.checkBases()
}

func (x *configurationCheck) addViolation(format string, args ...any) {
	x.check.addViolation(&x.check.verdict.Violations.ConfigurationReversions, format, args...)
}

// checkOrder finds entry hosts that returned to a lower revision.
func (x *configurationCheck) checkOrder() {
	highest := map[string]uint64{}
	for _, r := range x.observations {
		if r.Revision < highest[r.EntryHost] {
			x.addViolation("%s went from revision %d to %d at %v", r.EntryHost, highest[r.EntryHost], r.Revision, r.At)
		}
		highest[r.EntryHost] = max(highest[r.EntryHost], r.Revision)
	}
}

// checkContents finds revisions whose content differs between entry hosts, and contents that no
// operator has applied, such as a mixture of two files.
func (x *configurationCheck) checkContents() {
	first := map[uint64]ObservedRevision{}
	for _, r := range x.observations {
		f, ok := first[r.Revision]
		if !ok {
			first[r.Revision] = r
			x.checkOrigin(r)
			continue
		}
		if r.Digest != f.Digest {
			x.addViolation("revision %d is %s at %s and %s at %s", r.Revision, f.Digest, f.EntryHost, r.Digest, r.EntryHost)
		}
	}
}

// checkOrigin detects that no operator has applied the content of r.
func (x *configurationCheck) checkOrigin(r ObservedRevision) {
	l := x.check.history.Applies
	if len(l) > 0 && !slices.ContainsFunc(l, func(a Apply) bool { return a.Digest == r.Digest }) {
		x.addViolation("revision %d at %s is %s, which nobody applied", r.Revision, r.EntryHost, r.Digest)
	}
}

// checkEnd finds entry hosts whose revision differs from that of the others at the end of the run.
func (x *configurationCheck) checkEnd() {
	if len(x.observations) == 0 {
		return
	}
	z := x.observations[len(x.observations)-1]
	for _, r := range x.observations {
		if r.At == z.At && r.Revision != z.Revision {
			x.addViolation("in the end %s has revision %d and %s has %d", r.EntryHost, r.Revision, z.EntryHost, z.Revision)
		}
	}
}

// checkApply compares the outcome that an operator received with all observations and reports at
// most one contradiction per entry host.
func (x *configurationCheck) checkApply(a *Apply) {
	reported := map[string]bool{}
	for _, r := range x.observations {
		if reported[r.EntryHost] || !x.contradicts(r, a) {
			continue
		}
		reported[r.EntryHost] = true
		x.addViolation("%s was told that revision %d, %s, is %s at %v; %s had revision %d, %s, at %v",
			a.Operator, a.Revision, a.Digest, a.Outcome, a.To, r.EntryHost, r.Revision, r.Digest, r.At)
	}
}

// contradicts reports whether the observation r contradicts the outcome that an operator received.
func (x *configurationCheck) contradicts(r ObservedRevision, a *Apply) bool {
	sameRevision := a.Revision != 0 && r.Revision == a.Revision
	sameContent := a.Digest != "" && r.Digest == a.Digest
	atEnd := r.At == x.observations[len(x.observations)-1].At
	switch a.Outcome {
	case ApplyInForce:
		return sameRevision && a.Digest != "" && !sameContent || r.At > a.To && r.Revision < a.Revision
	case ApplyAccepted:
		return sameRevision && a.Digest != "" && !sameContent || atEnd && r.Revision < a.Revision
	case ApplyRefused:
		return sameRevision || sameContent
	default:
		return false
	}
}

// checkBases finds two accepted changes that were edited from the same revision, so that the
// later one silently reverted the earlier one.
func (x *configurationCheck) checkBases() {
	last := map[uint64]*Apply{}
	for i := range x.check.history.Applies {
		a := &x.check.history.Applies[i]
		if a.Base == 0 || a.Outcome != ApplyInForce && a.Outcome != ApplyAccepted {
			continue
		}
		if b := last[a.Base]; b != nil {
			x.addViolation("%s and %s both changed revision %d", b.Operator, a.Operator, a.Base)
		}
		last[a.Base] = a
	}
}
