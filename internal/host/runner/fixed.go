package runner

import (
	"context"

	file "github.com/cuminwick/cuminwick/internal/config/declarer"
)

// FixedSource is a Source whose configuration never changes.
type FixedSource struct {
	Revision uint64
	File     *file.File
}

// Run implements Source. It returns when ctx ends.
func (f FixedSource) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Current implements Source.
func (f FixedSource) Current() (uint64, *file.File) { return f.Revision, f.File }

// Changed implements Source.
func (f FixedSource) Changed() <-chan struct{} { return nil }
