package classifier

import "time"

// Kind is what one statement of a text does.
type Kind uint8

// Kinds of statements. A statement of no other kind is a KindWrite.
const (
	// KindUnparsed is a text that can't be parsed here, or is too long or too deep to be parsed; the
	// server decides whether it is valid.
	KindUnparsed Kind = iota
	// KindEmpty is a text without a statement.
	KindEmpty
	// KindRead reads data; the parser finds nothing in it that writes.
	KindRead
	// KindWrite may change data or requires the primary for another reason.
	KindWrite
	// KindBegin opens a transaction.
	KindBegin
	// KindCommit commits a transaction. With Chain it also opens the next one.
	KindCommit
	// KindRollback rolls a transaction back. With Chain it also opens the next one.
	KindRollback
	// KindSavepoint sets, releases or rolls back to a savepoint.
	KindSavepoint
	// KindSet sets Name to SQLValue for the session or, if Local, the transaction.
	KindSet
	// KindReset resets the setting Name to its default.
	KindReset
	// KindResetAll resets all settings to their defaults.
	KindResetAll
	// KindSetTransaction sets the access mode or isolation of the open transaction.
	KindSetTransaction
	// KindSetCharacteristics sets the access mode or isolation of the session's later transactions.
	KindSetCharacteristics
	// KindShow reads the setting Name.
	KindShow
	// KindPrepare prepares a statement by the SQL command PREPARE.
	KindPrepare
	// KindExecute executes a statement prepared by KindPrepare.
	KindExecute
	// KindDeallocate drops the prepared statement Name, or all if Name is empty.
	KindDeallocate
	// KindCopyIn is a COPY that receives rows from the caller.
	KindCopyIn
	// KindCopyOut is a COPY that sends rows to the caller.
	KindCopyOut
	// KindDeclare opens a cursor.
	KindDeclare
	// KindFetch reads from or moves a cursor.
	KindFetch
	// KindClose closes a cursor.
	KindClose
	// KindListen subscribes to the notifications of a channel.
	KindListen
	// KindUnlisten ends the subscription of a KindListen.
	KindUnlisten
	// KindNotify sends a notification.
	KindNotify
	// KindLock locks a table.
	KindLock
	// KindDiscard drops all of the session's state if Name is "all", else a part of the state.
	KindDiscard
)

// Access is the access mode that a statement sets for a transaction.
type Access uint8

// Access modes of a transaction.
const (
	AccessDefault Access = iota
	AccessReadOnly
	AccessReadWrite
)

// Pin is the reason why a session must keep its connection after the transaction.
type Pin uint8

// Reasons to pin.
const (
	PinNone Pin = iota
	// PinUnparsed is a text of unknown effect. If the server answers with a syntax error, the text had
	// no effect and the session needn't be pinned.
	PinUnparsed
	// PinTemporaryTable is a temporary table, view or sequence.
	PinTemporaryTable
	// PinListen is a LISTEN.
	PinListen
	// PinHoldCursor is a cursor declared WITH HOLD.
	PinHoldCursor
	// PinAdvisoryLock is an advisory lock held by the session.
	PinAdvisoryLock
	// PinPrepare is a statement prepared by the SQL command PREPARE.
	PinPrepare
	// PinSessionFunction is a function, or a library loaded by LOAD, that leaves state on the connection.
	PinSessionFunction
	// PinSetting is a setting that can't be restored on another connection.
	PinSetting
)

var pinNames = [...]string{"", "unparsed", "temporary-table", "listen", "hold-cursor", "advisory-lock", "prepare", "session-function", "setting"}

// String returns the reason in kebab case, or an empty string for PinNone.
func (p Pin) String() string { return pinNames[p] }

// Refusal is the reason why a text is refused without being executed.
type Refusal uint8

// Reasons to refuse.
const (
	RefusalNone Refusal = iota
	// RefusalTwoPhase is a command for a prepared transaction, whose owner may be lost with the primary.
	RefusalTwoPhase
	// RefusalMixedSettings is a cuminwick setting in a text with other statements.
	RefusalMixedSettings
	// RefusalInvalidKey is an idempotency key for which ValidKey is false.
	RefusalInvalidKey
	// RefusalUnknownSetting is a SET or SHOW of a cuminwick setting that doesn't exist.
	RefusalUnknownSetting
	// RefusalSyntaxSetting is a setting with which the server divides texts into other strings and
	// statements than the parser here.
	RefusalSyntaxSetting
	// RefusalReservedName is the SQL name of a prepared statement that all sessions share.
	RefusalReservedName
)

var refusalNames = [...]string{"", "prepared transactions aren't supported", "a cuminwick setting must stand alone in its text", "the idempotency key isn't valid", "there is no such cuminwick setting",
	"standard_conforming_strings must be on, and client_encoding one in which no character holds the byte of an ASCII character",
	"names of prepared statements that begin with cuminwick_ are reserved"}

// String returns the reason as a text for the caller, empty for RefusalNone.
func (r Refusal) String() string { return refusalNames[r] }

// Part is one statement of a text.
type Part struct {
	Kind Kind
	// Name is the name of a setting, prepared statement, cursor, savepoint or channel, or what DISCARD
	// drops.
	Name string
	// Value is the value of a KindSet with a single constant.
	Value string
	// SQLValue is the right side of a SET as SQL, empty if it doesn't only consist of constants.
	SQLValue string
	// Local is set for SET LOCAL, whose setting ends with the transaction.
	Local bool
	// Chain is set for COMMIT AND CHAIN and ROLLBACK AND CHAIN.
	Chain bool
	// Access and Isolation are the transaction modes that the statement sets. Isolation is empty if the
	// statement sets none.
	Access    Access
	Isolation string
	// Deferrable is set for DEFERRABLE, which only has an effect with READ ONLY and ISOLATION LEVEL
	// SERIALIZABLE.
	Deferrable bool
}

// Statement is the classification of one text of a caller, which may hold several statements. It is
// shared between callers and must not be changed.
type Statement struct {
	// Parts are the statements in the order of the text.
	Parts []Part
	// Kind is the kind of the only part. For several parts it is KindRead if ReplicaSafe is set, else
	// KindWrite.
	Kind Kind
	// ReplicaSafe is set if a replica returns the same answer as the primary or a read-only error. A
	// function that isn't known here may write; a replica rejects that with SQLSTATE 25006, and the text
	// is executed again on the primary.
	ReplicaSafe bool
	// Writes is set if the text may write, by itself or at its commit.
	Writes bool
	// Pin is the reason why the session must keep its connection, PinNone if it needn't.
	Pin Pin
	// Refusal is the reason why the text must not be executed, RefusalNone if it may be.
	Refusal Refusal
	// HiddenState is set if the text may leave state on the connection that isn't tracked, as a DO block
	// can.
	HiddenState bool
	// SequenceState is set if the answer depends on the connection's earlier use of sequences (currval,
	// lastval). It is only right on a pinned connection or within the transaction that used them.
	SequenceState bool
	// CuminwickSetting is set if the only part sets, resets or shows a setting of cuminwick itself.
	CuminwickSetting bool
	// Tag, IdempotencyKey and MaximumAge come from the leading comment.
	Tag            string
	IdempotencyKey string
	MaximumAge     time.Duration
	// HasMaximumAge distinguishes a maximum age of zero from none.
	HasMaximumAge bool
}
