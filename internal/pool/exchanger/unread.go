package exchanger

import (
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/wire/follower"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// unreadTimeout bounds the wait for the rest of a message of which a part has arrived before a batch
// is sent.
const unreadTimeout = 250 * time.Millisecond

// ErrSurplus is returned for a message that answers nothing that was sent. The connection must be
// closed, because the answers that follow can't be told apart from it.
const ErrSurplus = errors.ConstError("message of the backend server answers nothing")

// receiveUnread forwards the messages that the server sent by itself since the last answer, such as
// notifications. It returns ErrSurplus for any other message: an answer that is unread before the
// batch is sent would be taken for the batch's.
func (x *Exchange) receiveUnread() error {
	if x.Conn.Quiet() {
		return nil
	}
	x.Conn.SetReadDeadline(time.Now().Add(unreadTimeout))
	defer x.Conn.SetReadDeadline(time.Time{})
	for !x.Conn.Quiet() {
		f, err := x.Conn.Reader.Next()
		if err != nil {
			return errors.Annotatef(err, "unread message of backend server %s", x.Conn.Address)
		}
		if follower.IsAnswer(f.Type) {
			return errors.Annotatef(ErrSurplus, "unread message %q of backend server %s, SQLSTATE %q", f.Type, x.Conn.Address, codeOf(f))
		}
		if err := x.forwardUnread(f); err != nil {
			return err
		}
	}
	return nil
}

// forwardUnread delivers a whole message before the batch is sent.
func (x *Exchange) forwardUnread(f framer.Frame) error {
	if err := x.Output.Frame(f.Type, f.Raw, true, f.Whole()); err != nil {
		return err
	}
	for f.Remaining > 0 {
		p, err := x.Conn.Reader.Rest(&f)
		if err != nil {
			return errors.Annotatef(err, "unread message of backend server %s", x.Conn.Address)
		}
		if err := x.Output.Frame(f.Type, p, false, f.Whole()); err != nil {
			return err
		}
	}
	return nil
}

// codeOf returns the SQLSTATE of an ErrorResponse, empty for other messages.
func codeOf(f framer.Frame) string {
	if f.Type != follower.ErrorResponse {
		return ""
	}
	return Code(f.Body())
}
