package runner

import (
	"context"

	file "github.com/cuminwick/cuminwick/internal/config/declarer"
)

// Fixed is a Source whose configuration doesn't change.
type Fixed struct {
	Revision uint64
	File     *file.File
}

// Run implements Source.
func (f Fixed) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Current implements Source.
func (f Fixed) Current() (uint64, *file.File) { return f.Revision, f.File }

// Changed implements Source.
func (f Fixed) Changed() <-chan struct{} { return nil }
