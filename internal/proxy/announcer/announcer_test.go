package announcer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// ledger records which hosts are told, and when.
type ledger struct {
	mu   sync.Mutex
	told map[string]time.Duration
	// dark holds the hosts that don't answer.
	dark map[string]bool
}

func (l *ledger) tell(ctx context.Context, h declarer.Host, began time.Time) error {
	if l.dark[h.Name] {
		<-ctx.Done()
		return ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[h.Name] = time.Since(began)
	return nil
}

// Guards against hosts that are told late since others, before them in the order, have no power.
func TestHostsWithoutPowerDelayFewOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, darkCount = 149, 50
		l := &ledger{told: map[string]time.Duration{}, dark: map[string]bool{}}
		var hosts []declarer.Host
		for i := range count {
			n := fmt.Sprint("h", i)
			hosts = append(hosts, declarer.Host{Name: n})
			l.dark[n] = i < darkCount
		}
		began := time.Now()
		a := &Announcer{
			Hosts: func() []declarer.Host { return hosts },
			Tell:  func(ctx context.Context, h declarer.Host) error { return l.tell(ctx, h, began) },
			Log:   &log.Logger{Handler: discard.New()},
		}
		a.Announce()
		a.Announce() // while the first one is in progress
		time.Sleep(2 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.told) != count-darkCount {
			t.Errorf("%d hosts told, want %d", len(l.told), count-darkCount)
		}
		for n, d := range l.told {
			if d > (darkCount/parallelism+1)*tellTimeout {
				t.Errorf("%s told after %v", n, d)
			}
		}
	})
}
