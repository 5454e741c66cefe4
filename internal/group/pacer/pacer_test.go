package pacer_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/group/pacer"
)

const ms = time.Millisecond

var settings = pacer.Settings{IdleInterval: 100 * ms, FailureInterval: 50 * ms, NoPrimaryInterval: 20 * ms, UrgentInterval: 5 * ms, MinimumInterval: ms / 4}

func TestMain(m *testing.M) {
	flag.Parse()
	set("rapid.seed", "1")
	set("rapid.checks", "2000")
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// set sets a flag to a fixed value unless the command line sets it.
func set(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

// group returns a near primary, a replica in another zone and one in another region, all last
// polled from 990 to 995 ms.
func group() *pacer.State {
	t := &pacer.State{Settings: settings}
	for i, r := range []time.Duration{ms / 2, 3 * ms, 16 * ms} {
		s := pacer.Server{Primary: i == 0, HasAnswered: true, LastPoll: uint64(i + 1), PollStarted: 990 * ms, PollEnded: 995 * ms, LastAnswered: uint64(i + 1), RoundTrip: r}
		s.Delays[pacer.KindAcknowledgement] = time.Duration(i) * 4 * ms
		t.Servers = append(t.Servers, s)
	}
	return t
}

func TestNext(t *testing.T) {
	const now = 1000 * ms
	read := pacer.Demand{Kind: pacer.KindReadIndex, ArrivedAt: now, AfterPoll: 3}
	commit := pacer.Demand{Kind: pacer.KindAcknowledgement, ArrivedAt: now, AfterPoll: 3}
	cover := pacer.Demand{Kind: pacer.KindCover, ArrivedAt: now, AfterPoll: 3, Server: 2}
	rest := pacer.ScheduledPoll{At: 1095 * ms, Cause: pacer.CauseIdle}
	tests := []struct {
		name    string
		change  func(t *pacer.State)
		demands []pacer.Demand
		want    [3]pacer.ScheduledPoll
	}{
		{name: "no request waits", want: [3]pacer.ScheduledPoll{rest, rest, rest}},
		{
			name:   "primary of a busy group",
			change: func(t *pacer.State) { t.Busy = true },
			want:   [3]pacer.ScheduledPoll{{At: 1045 * ms}, rest, rest},
		},
		{
			name:    "a read polls the two nearest, the third one if they do not answer",
			demands: []pacer.Demand{read},
			want:    [3]pacer.ScheduledPoll{{At: now, Cause: pacer.CauseReadIndex}, {At: now, Cause: pacer.CauseReadIndex}, {At: 1010 * ms, Cause: pacer.CauseReadIndex}},
		},
		{
			name: "a read that arrived during a poll of the other zone",
			change: func(t *pacer.State) {
				t.Servers[1].Polling, t.Servers[1].PollStarted, t.Servers[1].LastPoll = true, 999*ms, 3
			},
			demands: []pacer.Demand{read},
			want:    [3]pacer.ScheduledPoll{{At: 1002 * ms, Cause: pacer.CauseReadIndex}, {At: pacer.Never}, {At: 1010 * ms, Cause: pacer.CauseReadIndex}},
		},
		{
			name:    "a read while the nearest one fails",
			change:  func(t *pacer.State) { t.Servers[0].Failures = 2 },
			demands: []pacer.Demand{read},
			want:    [3]pacer.ScheduledPoll{{At: 1045 * ms, Cause: pacer.CauseFailure}, {At: now, Cause: pacer.CauseReadIndex}, {At: now, Cause: pacer.CauseReadIndex}},
		},
		{
			name:    "a read that has two answers",
			change:  func(t *pacer.State) { t.Servers[0].LastAnswered, t.Servers[2].LastAnswered = 4, 5 },
			demands: []pacer.Demand{read},
			want:    [3]pacer.ScheduledPoll{rest, rest, rest},
		},
		{
			name:    "a commit polls the replica when it should hold the commit, and the primary well before",
			demands: []pacer.Demand{commit},
			want:    [3]pacer.ScheduledPoll{{At: 1003 * ms, Cause: pacer.CauseAcknowledgement}, {At: 1004 * ms, Cause: pacer.CauseAcknowledgement}, {At: 1018 * ms, Cause: pacer.CauseAcknowledgement}},
		},
		{
			name: "a commit that the replica did not hold at the first poll",
			change: func(t *pacer.State) {
				s := &t.Servers[1]
				s.LastPoll, s.LastAnswered, s.PollStarted, s.PollEnded = 4, 4, 1005*ms, 1008*ms
			},
			demands: []pacer.Demand{{Kind: pacer.KindAcknowledgement, ArrivedAt: now, AfterPoll: 3, Holders: pacer.Set(0).With(0)}},
			want:    [3]pacer.ScheduledPoll{rest, {At: 1010 * ms, Cause: pacer.CauseAcknowledgement}, {At: 1018 * ms, Cause: pacer.CauseAcknowledgement}},
		},
		{
			name:    "a read that waits for one server",
			demands: []pacer.Demand{cover},
			want:    [3]pacer.ScheduledPoll{rest, rest, {At: now, Cause: pacer.CauseCover}},
		},
		{
			name:   "a server that fails for the first time and for the second",
			change: func(t *pacer.State) { t.Servers[0].Failures, t.Servers[1].Failures = 1, 2 },
			want:   [3]pacer.ScheduledPoll{{At: 1000 * ms, Cause: pacer.CauseFailure}, {At: 1045 * ms, Cause: pacer.CauseFailure}, rest},
		},
		{
			name:    "no primary, and a request waits for one",
			change:  func(t *pacer.State) { t.NoPrimary, t.Busy = true, true },
			demands: []pacer.Demand{{Kind: pacer.KindPrimary, ArrivedAt: now}},
			want:    [3]pacer.ScheduledPoll{{At: now, Cause: pacer.CauseNoPrimary}, {At: now, Cause: pacer.CauseNoPrimary}, {At: now, Cause: pacer.CauseNoPrimary}},
		},
		{
			name:   "no primary, and no request waits",
			change: func(t *pacer.State) { t.NoPrimary = true },
			want:   [3]pacer.ScheduledPoll{{At: 1015 * ms, Cause: pacer.CauseNoPrimary}, {At: 1015 * ms, Cause: pacer.CauseNoPrimary}, {At: 1015 * ms, Cause: pacer.CauseNoPrimary}},
		},
		{
			name:   "promoting, after the primary failed for a request",
			change: func(t *pacer.State) { t.Promoting, t.Servers[0].PollNow = true, true },
			want:   [3]pacer.ScheduledPoll{{At: 995 * ms, Cause: pacer.CauseRequestFailure}, {At: 995250 * time.Microsecond, Cause: pacer.CausePromotion}, {At: 995250 * time.Microsecond, Cause: pacer.CausePromotion}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := group()
			if tt.change != nil {
				tt.change(g)
			}
			g.Demands = tt.demands
			for i, want := range tt.want {
				if got := pacer.Next(g, i); got != want {
					t.Errorf("server %d: %v for %s, want %v for %s", i, got.At, got.Cause, want.At, want.Cause)
				}
			}
		})
	}
}

var spans = rapid.Custom(func(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * ms
})

func drawServer(t *rapid.T) pacer.Server {
	s := pacer.Server{
		HasAnswered: rapid.Bool().Draw(t, "known"),
		Failures:    rapid.IntRange(0, 2).Draw(t, "failures"),
		LastPoll:    uint64(rapid.IntRange(1, 20).Draw(t, "begun")),
		PollStarted: spans.Draw(t, "began"),
		RoundTrip:   spans.Draw(t, "round trip"),
	}
	s.PollEnded = s.PollStarted + spans.Draw(t, "took")
	s.LastAnswered = uint64(rapid.IntRange(0, int(s.LastPoll)).Draw(t, "answered"))
	s.Polling = rapid.Bool().Draw(t, "polling")
	for k := range s.Delays {
		s.Delays[k] = min(spans.Draw(t, "delay"), settings.NoPrimaryInterval)
	}
	return s
}

func drawTable(t *rapid.T) *pacer.State {
	g := &pacer.State{Settings: settings, Busy: rapid.Bool().Draw(t, "busy"), NoPrimary: rapid.Bool().Draw(t, "gap")}
	for range rapid.IntRange(1, 5).Draw(t, "servers") {
		g.Servers = append(g.Servers, drawServer(t))
	}
	return g
}

// Guards against a request that waits forever while some servers lag, fail or are being polled.
// Every server that could still contribute, answers and is not being polled must be polled at the
// latest after twice the usual time, and again within the interval without a primary. No server may
// be polled less often than at the idle interval.
func TestEveryDemandIsPolledFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := drawTable(t)
		d := pacer.Demand{
			Kind:      pacer.Kind(rapid.IntRange(int(pacer.KindAcknowledgement), int(pacer.KindReadIndex)).Draw(t, "kind")),
			ArrivedAt: spans.Draw(t, "since"),
			AfterPoll: uint64(rapid.IntRange(0, 20).Draw(t, "arrived")),
			Server:    rapid.IntRange(0, len(g.Servers)-1).Draw(t, "server"),
			Holders:   pacer.Set(rapid.IntRange(0, 1<<len(g.Servers)-1).Draw(t, "holders")),
		}
		g.Demands = []pacer.Demand{d}
		var longest time.Duration
		contributors := 0
		for i, s := range g.Servers {
			longest = max(longest, s.RoundTrip+settings.NoPrimaryInterval)
			if contributed(d, s, i) {
				contributors++
			}
		}
		met := contributors >= len(g.Servers)/2+1 && d.Kind != pacer.KindCover
		for i, s := range g.Servers {
			n := pacer.Next(g, i)
			if s.Polling || s.Failures > 0 {
				continue
			}
			if n.At > s.PollEnded+settings.IdleInterval {
				t.Errorf("server %d polled at %v, more than the idle interval after %v", i, n.At, s.PollEnded)
			}
			if met || contributed(d, s, i) || d.Kind == pacer.KindCover && d.Server != i {
				continue
			}
			if l := max(d.ArrivedAt+2*longest+16*settings.MinimumInterval, s.PollEnded+max(settings.NoPrimaryInterval, longest), d.ArrivedAt+s.RoundTrip+lastExpectedAnswer(g)); n.At > l {
				t.Errorf("server %d polled at %v, want %v at the latest", i, n.At, l)
			}
		}
	})
}

// contributed reports whether server i has contributed to d all that it can.
func contributed(d pacer.Demand, s pacer.Server, i int) bool {
	switch d.Kind {
	case pacer.KindReadIndex:
		return s.LastAnswered > d.AfterPoll
	case pacer.KindAcknowledgement:
		return d.Holders.Has(i)
	default:
		return false
	}
}

// lastExpectedAnswer returns when the last answer to the polls under way is expected.
func lastExpectedAnswer(g *pacer.State) time.Duration {
	var m time.Duration
	for _, s := range g.Servers {
		if s.Polling {
			m = max(m, s.PollStarted+s.RoundTrip)
		}
	}
	return m
}

// Guards against needless polls of a server that cannot contribute further to the demands.
func TestNoNeedlessPoll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := drawTable(t)
		g.NoPrimary = false
		i := rapid.IntRange(0, len(g.Servers)-1).Draw(t, "server")
		without := pacer.Next(g, i)
		g.Demands = []pacer.Demand{
			{Kind: pacer.KindAcknowledgement, ArrivedAt: spans.Draw(t, "commit"), Holders: pacer.Set(0).With(i)},
			{Kind: pacer.KindCover, ArrivedAt: spans.Draw(t, "cover"), Server: i + 1},
			{Kind: pacer.KindPrimary, ArrivedAt: spans.Draw(t, "write")},
		}
		if g.Servers[i].LastAnswered > 0 {
			g.Demands = append(g.Demands, pacer.Demand{Kind: pacer.KindReadIndex, ArrivedAt: spans.Draw(t, "read"), AfterPoll: g.Servers[i].LastAnswered - 1})
		}
		if got := pacer.Next(g, i); got != without {
			t.Errorf("server %d polled at %v for %s, want %v for %s", i, got.At, got.Cause, without.At, without.Cause)
		}
	})
}

// Guards against a usual delay that does not converge: a replica takes 6 ms to hold a commit, and
// the delay must settle around that value from either side.
func TestUpdateDelay(t *testing.T) {
	const actual, step = 6 * ms, ms
	for _, first := range []time.Duration{0, 20 * ms} {
		usual := first
		for range 200 {
			delay := usual
			for delay < actual {
				delay += step
			}
			usual = pacer.UpdateDelay(usual, delay, delay > usual, 20*ms)
		}
		if usual < actual-step || usual > actual+step {
			t.Errorf("from %v: delay %v, want about %v", first, usual, actual)
		}
	}
}
