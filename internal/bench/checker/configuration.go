package checker

import (
	"cmp"
	"slices"
)

// configurations compares what entry hosts had in force with what operators were told.
type configurations struct {
	check *check
	// sights are in order of time.
	sights []ObservedRevision
}

// checkConfigurations finds configurations that went back, were in force in part,
// or weren't what their operators were told.
func (c *check) checkConfigurations() {
	l := slices.Clone(c.history.ObservedRevisions)
	slices.SortStableFunc(l, func(a, b ObservedRevision) int { return cmp.Compare(a.At, b.At) })
	x := &configurations{check: c, sights: l}
	x.checkOrder()
	x.checkContents()
	x.checkEnd()
	for i := range c.history.Applies {
		x.checkApply(&c.history.Applies[i])
	}
	x.checkBases()
}

func (x *configurations) found(format string, args ...any) {
	x.check.found(&x.check.verdict.Violations.ConfigurationReversions, format, args...)
}

// checkOrder finds entry hosts that went back to a lower revision.
func (x *configurations) checkOrder() {
	highest := map[string]uint64{}
	for _, r := range x.sights {
		if r.Revision < highest[r.EntryHost] {
			x.found("%s went from revision %d to %d at %v", r.EntryHost, highest[r.EntryHost], r.Revision, r.At)
		}
		highest[r.EntryHost] = max(highest[r.EntryHost], r.Revision)
	}
}

// checkContents finds revisions of which entry hosts have different contents, and
// contents that no operator has applied, such as parts of two files.
func (x *configurations) checkContents() {
	first := map[uint64]ObservedRevision{}
	for _, r := range x.sights {
		f, ok := first[r.Revision]
		if !ok {
			first[r.Revision] = r
			x.checkOrigin(r)
			continue
		}
		if r.Digest != f.Digest {
			x.found("revision %d is %s at %s and %s at %s", r.Revision, f.Digest, f.EntryHost, r.Digest, r.EntryHost)
		}
	}
}

func (x *configurations) checkOrigin(r ObservedRevision) {
	l := x.check.history.Applies
	if len(l) > 0 && !slices.ContainsFunc(l, func(a Apply) bool { return a.Digest == r.Digest }) {
		x.found("revision %d at %s is %s, which nobody applied", r.Revision, r.EntryHost, r.Digest)
	}
}

// checkEnd finds a revision that is in force at some entry hosts only at the end.
func (x *configurations) checkEnd() {
	if len(x.sights) == 0 {
		return
	}
	z := x.sights[len(x.sights)-1]
	for _, r := range x.sights {
		if r.At == z.At && r.Revision != z.Revision {
			x.found("in the end %s has revision %d and %s has %d", r.EntryHost, r.Revision, z.EntryHost, z.Revision)
		}
	}
}

// checkApply compares what an operator was told with all that was seen.
func (x *configurations) checkApply(a *Apply) {
	wronged := map[string]bool{}
	for _, r := range x.sights {
		if wronged[r.EntryHost] || !x.contradicts(r, a) {
			continue
		}
		wronged[r.EntryHost] = true
		x.found("%s was told that revision %d, %s, is %s at %v; %s had revision %d, %s, at %v",
			a.Operator, a.Revision, a.Digest, a.Outcome, a.To, r.EntryHost, r.Revision, r.Digest, r.At)
	}
}

// contradicts reports whether what an operator was told can't be true if r was seen.
func (x *configurations) contradicts(r ObservedRevision, a *Apply) bool {
	mine := a.Revision != 0 && r.Revision == a.Revision
	same := a.Digest != "" && r.Digest == a.Digest
	end := r.At == x.sights[len(x.sights)-1].At
	switch a.Outcome {
	case ApplyInForce:
		return mine && a.Digest != "" && !same || r.At > a.To && r.Revision < a.Revision
	case ApplyAccepted:
		return mine && a.Digest != "" && !same || end && r.Revision < a.Revision
	case ApplyRefused:
		return mine || same
	default:
		return false
	}
}

// checkBases finds two changes that were both made from one revision, so that
// the later one undid the earlier one unseen.
func (x *configurations) checkBases() {
	last := map[uint64]*Apply{}
	for i := range x.check.history.Applies {
		a := &x.check.history.Applies[i]
		if a.Base == 0 || a.Outcome != ApplyInForce && a.Outcome != ApplyAccepted {
			continue
		}
		if b := last[a.Base]; b != nil {
			x.found("%s and %s both changed revision %d", b.Operator, a.Operator, a.Base)
		}
		last[a.Base] = a
	}
}
