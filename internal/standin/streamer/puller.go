package streamer

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/standin/injector"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// Dial opens a connection to the peer with the given name and address, as passed to Follow.
type Dial func(ctx context.Context, name, address string) (net.Conn, error)

// Puller copies the log of the primary that its store follows. Its fields are set before Run.
type Puller struct {
	// Store is the replica's store.
	Store *replicator.Store
	// Faults are the replica's faults.
	Faults *injector.Faults
	// Dial opens connections, plain TCP if nil.
	Dial Dial
	// Truncated is called after records were dropped from the log; may be nil.
	Truncated func()
}

// Run keeps a stream open to the primary that the store follows, until ctx ends.
func (p *Puller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c := p.Store.Changed()
		l, t := p.Store.FollowedPrimary()
		if l == (replicator.PrimaryServer{}) {
			select {
			case <-c:
			case <-ctx.Done():
			}
			continue
		}
		if p.Faults.WaitConnected(ctx) != nil {
			return
		}
		s := &stream{puller: p, primary: l, term: t, wake: make(chan struct{}, 1), applyDone: make(chan struct{})}
		err := s.run(ctx)
		log.WithFields(log.Fields{"backend-server": p.Store.Name, "primary": l.Name, "term": t}).WithError(err).Debug("replication stream ended")
		_ = scheduler.Pause(ctx, retryDelay)
	}
}

// stream is one replication connection to one primary under one term.
type stream struct {
	puller   *Puller
	primary  replicator.PrimaryServer
	term     marker.Term
	frontend *pgproto3.Frontend
	conn     *contactConn
	// parts are the received parts of records that are not complete yet.
	parts []byte
	// wake tells loopApply that the queue has a new entry.
	wake  chan struct{}
	queue delayQueue
	// applyDone is closed when loopApply has returned.
	applyDone chan struct{}
}

// run opens the stream and receives records until the stream ends. It returns only after loopApply
// has returned: otherwise this stream could apply a record after the next stream's hello, the next
// one would drop that record as diverged, and a write that a majority held could lose its majority.
func (s *stream) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go s.loopWatch(ctx, stop)
	c, err := s.dial(ctx)
	if err != nil {
		return errors.Annotatef(err, "dial primary %s at %s", s.primary.Name, s.primary.Address)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	s.conn = &contactConn{Conn: c, stream: s}
	s.frontend = pgproto3.NewFrontend(s.conn, c)
	err = s.open()
	if err != nil {
		return errors.Annotatef(err, "open stream from %s", s.primary.Name)
	}
	go s.loopApply(ctx, stop)
	err = s.loopReceive(ctx)
	stop()
	<-s.applyDone
	return err
}

// dial connects to the primary within idleTimeout.
func (s *stream) dial(ctx context.Context) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, idleTimeout)
	defer stop()
	if s.puller.Dial != nil {
		return s.puller.Dial(ctx, s.primary.Name, s.primary.Address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", s.primary.Address)
}

// open sends the startup message and the hello, which describes the replica's log.
func (s *stream) open() error {
	s.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "replication", "application_name": ApplicationName},
	})
	b, err := encode(hello{Name: s.puller.Store.Name, Term: s.term, History: s.puller.Store.History()})
	if err != nil {
		return err
	}
	s.frontend.Send(&pgproto3.CopyData{Data: b})
	return errors.Trace(s.frontend.Flush())
}

// loopWatch ends the stream, or the attempt to open it, when the store follows another primary or
// another term. A primary that is paused or isolated sends nothing; without loopWatch the replica
// would wait for it until idleTimeout before it connects to the new one.
func (s *stream) loopWatch(ctx context.Context, stop context.CancelFunc) {
	for {
		c := s.puller.Store.Changed()
		l, t := s.puller.Store.FollowedPrimary()
		if l != (replicator.PrimaryServer{}) && (l != s.primary || t != s.term) {
			stop()
			return
		}
		select {
		case <-c:
		case <-ctx.Done():
			return
		}
	}
}

// loopReceive queues records and records contact with the primary.
//
// After each frame it checks that the store still follows this primary under this term: a server that
// accepted a higher term takes no more records of a lower one and reports the higher term to the
// sender, which fences a primary that was replaced.
func (s *stream) loopReceive(ctx context.Context) error {
	for {
		f, err := s.receive()
		if err != nil {
			return err
		}
		if err := s.puller.Faults.WaitUnpaused(ctx); err != nil {
			return err
		}
		l, t := s.puller.Store.FollowedPrimary()
		if l != s.primary || t != s.term || f.Term != s.term {
			return errors.Annotatef(replicator.ErrTermRefused, "stream of term %d ended by term %d, report error %v", s.term, t, s.sendTerm(t))
		}
		g, _ := s.puller.Faults.Get()
		if g.Isolated {
			return errors.Errorf("%s is isolated", s.puller.Store.Name)
		}
		s.conn.termConfirmed.Store(true)
		s.noteContact()
		s.enqueue(f)
	}
}

// noteContact records contact with the primary, unless this server is paused or isolated: the kernel
// of a paused server still accepts bytes.
func (s *stream) noteContact() {
	f, _ := s.puller.Faults.Get()
	if f.Paused || f.Isolated {
		return
	}
	s.puller.Store.NoteContact(s.term, time.Now())
}

// enqueue queues the content of f, records only once they are complete. loopApply decodes them,
// because no contact is recorded while this goroutine is busy.
func (s *stream) enqueue(f frame) {
	if f.Truncate {
		s.queue.push(entry{truncate: true, common: f.Common, received: time.Now()})
		s.wakeApply()
		return
	}
	s.parts = append(s.parts, f.Part...)
	if !f.LastPart {
		return
	}
	s.queue.push(entry{records: s.parts, received: time.Now()})
	s.parts = nil
	s.wakeApply()
}

// receive returns the next frame.
func (s *stream) receive() (frame, error) {
	var f frame
	m, err := s.frontend.Receive()
	if err != nil {
		return f, errors.Annotate(err, "receive records")
	}
	d, ok := m.(*pgproto3.CopyData)
	if !ok {
		return f, errors.Errorf("receive records: got %T", m)
	}
	return f, decode(d.Data, &f)
}

// sendTerm reports the accepted term t to the primary.
func (s *stream) sendTerm(t marker.Term) error {
	b, err := encode(report{Term: t})
	if err != nil {
		return err
	}
	s.frontend.Send(&pgproto3.CopyData{Data: b})
	return errors.Trace(s.frontend.Flush())
}

// wakeApply wakes loopApply after an entry was queued.
func (s *stream) wakeApply() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// loopApply applies queued entries when the replication lag has passed since they were received.
func (s *stream) loopApply(ctx context.Context, stop context.CancelFunc) {
	defer close(s.applyDone)
	defer stop()
	for {
		e, ok := s.queue.pop()
		if !ok {
			select {
			case <-s.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if s.puller.Faults.WaitReplicationLag(ctx, e.received) != nil || s.puller.Faults.WaitReplicating(ctx) != nil {
			return
		}
		if err := s.apply(e); err != nil {
			log.WithField("backend-server", s.puller.Store.Name).WithError(err).Debug("apply records")
			return
		}
	}
}

// apply truncates the log or appends records to it.
func (s *stream) apply(e entry) error {
	if !e.truncate {
		return s.appendRecords(e.records)
	}
	d, err := s.puller.Store.Truncate(s.term, e.common)
	if d && s.puller.Truncated != nil {
		s.puller.Truncated()
	}
	return err
}

// appendRecords decodes records and appends them to the log.
func (s *stream) appendRecords(b []byte) error {
	var r []replicator.Record
	if err := decode(b, &r); err != nil {
		return err
	}
	return s.puller.Store.Append(s.term, r)
}
