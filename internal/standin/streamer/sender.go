package streamer

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/standin/injector"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// Sender serves one replica's stream on the primary. Its fields are set before Run.
type Sender struct {
	// Store is the primary's store.
	Store *replicator.Store
	// Faults are the primary's faults.
	Faults *injector.Faults
	// Conn is the replica's connection after the startup message, Backend its message codec.
	Conn    net.Conn
	Backend *pgproto3.Backend

	term     marker.Term
	position marker.Position
}

// Run sends records until the connection, the primary's term or ctx ends, and returns the reason.
// It closes Conn.
func (s *Sender) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer s.Conn.Close()
	h, err := s.receiveHello()
	if err != nil {
		return err
	}
	err = s.open(ctx, h)
	if err != nil {
		return err
	}
	go s.loopReports(stop)
	return s.loopRecords(ctx)
}

// receiveHello returns the first message of the replica.
func (s *Sender) receiveHello() (hello, error) {
	var h hello
	m, err := s.Backend.Receive()
	if err != nil {
		return h, errors.Annotate(err, "receive hello")
	}
	d, ok := m.(*pgproto3.CopyData)
	if !ok {
		return h, errors.Errorf("receive hello: got %T", m)
	}
	return h, decode(d.Data, &h)
}

// open sends the position up to which both logs are equal. It returns ErrTermRefused if the replica
// has another term or this server is not primary.
func (s *Sender) open(ctx context.Context, h hello) error {
	s.Store.LearnTerm(h.Term, time.Now())
	isPrimary, t := s.Store.IsPrimary()
	if !isPrimary || h.Term != t {
		return errors.Annotatef(replicator.ErrTermRefused, "replica %s under %d, %s under %d leads %t", h.Name, h.Term, s.Store.Name, t, isPrimary)
	}
	s.term = t
	s.position = replicator.CommonPosition(h.History, s.Store.History())
	return s.send(ctx, frame{Term: t, Truncate: true, Common: s.position})
}

// send sends one frame, once the server is not paused.
func (s *Sender) send(ctx context.Context, f frame) error {
	if err := s.Faults.WaitUnpaused(ctx); err != nil {
		return err
	}
	b, err := encode(f)
	if err != nil {
		return err
	}
	s.Backend.Send(&pgproto3.CopyData{Data: b})
	return errors.Annotate(s.Backend.Flush(), "send records")
}

// loopRecords sends new records, and a heartbeat in each interval without any.
func (s *Sender) loopRecords(ctx context.Context) error {
	t := time.NewTicker(HeartbeatInterval)
	defer t.Stop()
	for {
		f, g := s.Faults.Get()
		if f.Isolated {
			return errors.Errorf("%s is isolated", s.Store.Name)
		}
		a := &recordFetch{store: s.Store, term: s.term, from: s.position, done: make(chan struct{})}
		go a.run()
		err := s.sendFetched(ctx, a, t.C)
		if err != nil {
			return err
		}
		if a.count == maximumBatchRecords {
			continue
		}
		select {
		case <-a.changed:
		case <-g:
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendFetched sends the records of a, and heartbeats until they are fetched.
func (s *Sender) sendFetched(ctx context.Context, a *recordFetch, tick <-chan time.Time) error {
	for {
		select {
		case <-a.done:
			if a.err != nil {
				return a.err
			}
			s.position += marker.Position(a.count)
			return s.sendParts(ctx, a.bytes)
		case <-tick:
			if err := s.send(ctx, frame{Term: s.term}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendParts sends encoded records in parts, or a heartbeat if there are none.
func (s *Sender) sendParts(ctx context.Context, b []byte) error {
	for {
		n := min(len(b), maximumPartBytes)
		f := frame{Term: s.term, Part: b[:n], LastPart: n > 0 && n == len(b)}
		b = b[n:]
		err := s.send(ctx, f)
		if err != nil || len(b) == 0 {
			return err
		}
	}
}

// loopReports passes the terms that the replica reports to the store and ends the stream when the
// connection ends.
func (s *Sender) loopReports(stop context.CancelFunc) {
	defer stop()
	for {
		m, err := s.Backend.Receive()
		if err != nil {
			return
		}
		d, ok := m.(*pgproto3.CopyData)
		if !ok {
			return
		}
		var r report
		if err := decode(d.Data, &r); err != nil {
			return
		}
		s.Store.LearnTerm(r.Term, time.Now())
	}
}
