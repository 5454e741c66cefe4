package follower

import "github.com/cuminwick/cuminwick/internal/wire/batcher"

// Expects reports whether a message of type t can be the next one of the answer to the batch. It is
// called before Accept. A message that can't be is the answer to something else, and the messages
// after it can't be matched to the batch either.
func (f *Follower) Expects(t byte) bool {
	if !IsAnswer(t) {
		return true
	}
	if f.next >= len(f.Batch.Items) {
		return false
	}
	i := f.Batch.Items[f.next].Type
	if t == ErrorResponse {
		return !f.Failed
	}
	switch i {
	case batcher.Query:
		return f.queryExpects(t, f.Batch.Items[f.next].Results)
	case batcher.Describe:
		return t == ParameterDescription && !f.described || t == RowDescription || t == NoData
	case batcher.Execute:
		return f.executeExpects(t)
	default:
		return completes(i, t)
	}
}

// queryExpects reports whether t can follow in the answer to a Query with the given number of results,
// zero if it isn't known: results, each of which ends with a command tag, then ReadyForQuery, and after
// an error nothing else.
func (f *Follower) queryExpects(t byte, results int) bool {
	if f.Failed {
		return t == ReadyForQuery
	}
	more := results == 0 || f.results < results
	switch t {
	case RowDescription, EmptyQueryResponse, CopyInResponse, CopyOutResponse:
		return f.result == 0 && more
	case DataRow:
		return f.result == RowDescription
	case BackendCopyData, BackendCopyDone:
		return f.result == CopyOutResponse
	case CommandComplete:
		return more
	case ReadyForQuery:
		return f.result == 0 && f.results > 0 && (results == 0 || f.results == results)
	}
	return false
}

// executeExpects reports whether t can follow in the answer to an Execute, which has one result and no
// description.
func (f *Follower) executeExpects(t byte) bool {
	switch t {
	case DataRow, PortalSuspended:
		return f.result == 0 || f.result == DataRow
	case CopyInResponse, CopyOutResponse, EmptyQueryResponse:
		return f.result == 0
	case BackendCopyData, BackendCopyDone:
		return f.result == CopyOutResponse
	case CommandComplete:
		return true
	}
	return false
}

// record keeps what Expects depends on.
func (f *Follower) record(t byte) {
	switch t {
	case ParameterDescription:
		f.described = true
	case RowDescription, DataRow, CopyInResponse, CopyOutResponse:
		if f.result == 0 {
			f.result = t
		}
	case CommandComplete, EmptyQueryResponse:
		f.result = 0
		f.results++
	}
}
