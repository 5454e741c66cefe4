package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// mix holds the shares of a customer's operations by level.
var mix = [...]float64{0.13, 0.24, 0.63}

// drawLevel returns a random level of mix.
func drawLevel(r *rand.Rand) uint8 {
	x := r.Float64()
	for i, p := range mix {
		if x < p {
			return uint8(i)
		}
		x -= p
	}
	return uint8(len(mix) - 1)
}

// Guards against a customer far beyond its limit whose most important operations are refused as often as
// the least important ones, and against a limit that isn't used up because tokens are kept.
func TestImportantOperationsOfHotCustomerAreGranted(t *testing.T) {
	const hot = 5.6
	for _, usual := range []float64{12, 75} {
		t.Run(fmt.Sprint(usual), func(t *testing.T) {
			m := Limit{Rate: 1.6 * usual, Burst: 1.6 * usual}
			d := newDeployment(1)
			r := rand.New(rand.NewPCG(1, 0))
			var asked, granted [len(mix)]int
			for d.now < 60*time.Second {
				d.now += time.Duration(r.ExpFloat64() / (hot * usual) * float64(time.Second))
				level := drawLevel(r)
				asked[level]++
				if d.takeAt(level, 0, m) {
					granted[level]++
				}
			}
			if granted[0]*100 < asked[0]*99 {
				t.Errorf("%d of %d most important operations granted", granted[0], asked[0])
			}
			if n := granted[0] + granted[1] + granted[2]; float64(n) < 0.98*m.Rate*60 {
				t.Errorf("%d operations granted, the limit allows %g", n, m.Rate*60)
			}
			if granted[2] == 0 {
				t.Error("no least important operation granted, though the limit has room for some")
			}
		})
	}
}

// Guards against other decisions for a customer whose operations are all of one level than without levels.
func TestOneLevelIsDecidedAsWithoutLevels(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := Limit{Rate: rapid.Float64Range(0.5, 200).Draw(r, "rate"), Burst: rapid.Float64Range(0, 200).Draw(r, "burst")}
		level := uint8(rapid.IntRange(0, LevelCount+1).Draw(r, "level"))
		a, b := newDeployment(1).parts[0], newDeployment(1).parts[0]
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(r, "operations") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(r, "ms")) * time.Millisecond
			if x, y := a.Take("c", m, now), b.TakeAt(level, "c", m, now); x != y {
				r.Fatalf("%+v without levels, %+v at level %d", x, y, level)
			}
		}
	})
}

// Guards against less important operations that are kept out by a demand that has ended.
func TestKeptTokensAreReleased(t *testing.T) {
	m := Limit{Rate: 10, Burst: 10}
	l := newDeployment(1).parts[0]
	now := time.Duration(0)
	for range 500 {
		l.TakeAt(0, "c", m, now)
		now += 10 * time.Millisecond
	}
	x := l.TakeAt(2, "c", m, now)
	if x.Granted {
		t.Fatal("granted while the more important demand uses up the limit")
	}
	if x.RetryAfter <= 0 {
		t.Errorf("retry after %v", x.RetryAfter)
	}
	now += x.RetryAfter
	if x := l.TakeAt(2, "c", m, now); !x.Granted {
		t.Errorf("refused at the time told, without demand since: %+v", x)
	}
}
