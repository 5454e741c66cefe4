package deployer_test

import (
	"errors"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/outcome/inquirer"
)

// Guards against idempotency keys that expire early, after which a write that is sent again would
// run a second time. The clock of the host that expires keys may have jumped; it must detect the
// skew and delete nothing.
func TestExpire(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "/* key=one */ INSERT INTO t (id) VALUES (1)")
	count := func() int64 { return query[int64](t, c, "SELECT count(*) FROM cuminwick_outcome") }
	kept := count()
	x := d.Hosts[0].Director()
	if err := x.Expire(t.Context(), "db", time.Now().Add(time.Hour), time.Minute); !errors.Is(err, inquirer.ErrClockSkew) {
		t.Errorf("with a clock one hour ahead: %v", err)
	}
	if err := x.Expire(t.Context(), "db", time.Now(), time.Hour); err != nil {
		t.Error(err)
	}
	if n := count(); n != kept || kept == 0 {
		t.Errorf("%d rows before they expire, want %d", n, kept)
	}
	if err := x.Expire(t.Context(), "db", time.Now(), -time.Minute); err != nil {
		t.Error(err)
	}
	if n := count(); n != 0 {
		t.Errorf("%d rows after they have expired", n)
	}
}
