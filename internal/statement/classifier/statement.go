package classifier

import "time"

// Kind is what one statement of a text does.
type Kind uint8

// Kinds of statement; all that isn't named here is a KindWrite.
const (
	// KindUnparsed is a text that this parser doesn't know; the server judges it.
	KindUnparsed Kind = iota
	// KindEmpty is a text without a statement.
	KindEmpty
	// KindRead changes nothing that the parser can see.
	KindRead
	// KindWrite may change data or needs the primary for another reason.
	KindWrite
	// KindBegin opens a transaction.
	KindBegin
	// KindCommit ends a transaction, with Chain it opens the next one.
	KindCommit
	// KindRollback ends a transaction without effect.
	KindRollback
	// KindSavepoint sets, releases or rolls back to a savepoint.
	KindSavepoint
	// KindSet sets Name to SQLValue for the session or, if Local, the transaction.
	KindSet
	// KindReset gives Name its default back.
	KindReset
	// KindResetAll gives all settings their defaults back.
	KindResetAll
	// KindSetTransaction sets the access mode or isolation of the open transaction.
	KindSetTransaction
	// KindSetCharacteristics sets them for the session's later transactions.
	KindSetCharacteristics
	// KindShow reads the setting Name.
	KindShow
	// KindPrepare prepares a statement by the SQL command of that name.
	KindPrepare
	// KindExecute runs a statement prepared by KindPrepare.
	KindExecute
	// KindDeallocate drops the prepared statement Name, all if it is empty.
	KindDeallocate
	// KindCopyIn takes rows from the caller.
	KindCopyIn
	// KindCopyOut sends rows to the caller.
	KindCopyOut
	// KindDeclare opens a cursor.
	KindDeclare
	// KindFetch reads from or moves a cursor.
	KindFetch
	// KindClose closes a cursor.
	KindClose
	// KindListen asks for notifications.
	KindListen
	// KindUnlisten ends KindListen.
	KindUnlisten
	// KindNotify sends a notification.
	KindNotify
	// KindLock locks a table.
	KindLock
	// KindDiscard drops all of the session's state if Name is "all", else a part of it.
	KindDiscard
)

// Access is the access mode that a statement asks for.
type Access uint8

// Access modes of a transaction.
const (
	AccessDefault Access = iota
	AccessReadOnly
	AccessReadWrite
)

// Pin is why a session must keep its connection beyond the transaction.
type Pin uint8

// Reasons to pin.
const (
	PinNone Pin = iota
	// PinUnparsed is a text of unknown effect; if the server answers with a
	// syntax error, it had none, and the session needn't be pinned.
	PinUnparsed
	// PinTemporaryTable is a temporary table, view or sequence.
	PinTemporaryTable
	// PinListen is a LISTEN.
	PinListen
	// PinHoldCursor is a cursor declared WITH HOLD.
	PinHoldCursor
	// PinAdvisoryLock is an advisory lock held by the session.
	PinAdvisoryLock
	// PinPrepare is a statement prepared by SQL.
	PinPrepare
	// PinSessionFunction is a function that leaves state on the connection.
	PinSessionFunction
	// PinSetting is a setting that can't be carried over to another connection.
	PinSetting
)

var pinNames = [...]string{"", "unparsed", "temporary-table", "listen", "hold-cursor", "advisory-lock", "prepare", "session-function", "setting"}

// String returns the reason in kebab case, empty for PinNone.
func (p Pin) String() string { return pinNames[p] }

// Refusal is why a text is refused as not run.
type Refusal uint8

// Reasons to refuse.
const (
	RefusalNone Refusal = iota
	// RefusalTwoPhase is a prepared transaction, whose owner may be lost with the primary.
	RefusalTwoPhase
	// RefusalMixedSettings is a cuminwick setting in a text with further statements.
	RefusalMixedSettings
	// RefusalInvalidKey is an idempotency key that is too long or holds odd characters.
	RefusalInvalidKey
	// RefusalUnknownSetting is a SET or SHOW of a cuminwick setting that doesn't exist.
	RefusalUnknownSetting
)

var refusalNames = [...]string{"", "prepared transactions aren't supported", "a cuminwick setting must stand alone in its text", "the idempotency key isn't valid", "there is no such cuminwick setting"}

// String returns the reason in words for the caller, empty for RefusalNone.
func (r Refusal) String() string { return refusalNames[r] }

// Part is one statement of a text.
type Part struct {
	Kind Kind
	// Name is a setting, prepared statement, cursor, savepoint or channel.
	Name string
	// Value is the value of a KindSet with a single constant.
	Value string
	// SQLValue is the right side of a SET as it can be sent to a server.
	SQLValue string
	// Local says that a setting ends with its transaction.
	Local bool
	// Chain is set for COMMIT AND CHAIN and ROLLBACK AND CHAIN.
	Chain bool
	// Access and Isolation are those that the statement asks for, Isolation empty if none.
	Access    Access
	Isolation string
	// Deferrable is set for DEFERRABLE, which only BEGIN READ ONLY ISOLATION
	// LEVEL SERIALIZABLE makes use of.
	Deferrable bool
}

// Statement is what one text of a caller holds. It is shared between callers
// and must not be changed.
type Statement struct {
	// Parts are the statements in the order of the text.
	Parts []Part
	// Kind is the kind of the only part, of several the strongest of KindRead
	// and KindWrite.
	Kind Kind
	// ReplicaSafe says that a replica gives the same answer as the primary or a
	// read-only error. A function that the parser doesn't know may write; a
	// replica refuses that with SQLSTATE 25006, and it is run again at the primary.
	ReplicaSafe bool
	// Writes says that the text may write, by itself or at its commit.
	Writes bool
	// Pin says why the session must keep its connection, PinNone if it needn't.
	Pin Pin
	// Refusal says why the text isn't run, RefusalNone if it may be.
	Refusal Refusal
	// HiddenState says that the text may leave state on the connection that
	// can't be seen, as a DO block can.
	HiddenState bool
	// SequenceState says that the answer depends on the connection's earlier
	// use of sequences (currval, lastval), so it is only right on a pinned
	// connection or within the transaction that used them.
	SequenceState bool
	// CuminwickSetting says that the single part is a setting of cuminwick itself.
	CuminwickSetting bool
	// Tag, IdempotencyKey and MaximumAge come from the leading comment.
	Tag            string
	IdempotencyKey string
	MaximumAge     time.Duration
	// HasMaximumAge tells a maximum age of zero from none.
	HasMaximumAge bool
}
