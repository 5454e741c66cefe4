package assembler

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/proxy/cachesyncer"
	"github.com/cuminwick/cuminwick/platform"
)

// Guards against an order by priority in deployments whose settings don't call for one: their
// configurations give priority 0 to routes that nobody uses.
func TestOrderByPriorityNeedsSetting(t *testing.T) {
	for contracts, setting := range map[string]bool{"": false, "base,quota,platform": false, "base,pressure,platform": true, "pressured": false} {
		s, err := platform.ParseSettings(minimalSettings + "contracts=" + contracts + "\n")
		if err != nil {
			t.Fatal(err)
		}
		f := &feeder{ranks: s.RanksRequests}
		for value, highest := range map[string]bool{`{"version":1,"routes":[{"host":"a","priority":0}]}`: true, `{"version":1,"routes":[{"host":"a","priority":1}]}`: false} {
			c, err := f.parseConfiguration(cachesyncer.Entry{Name: "main", Value: []byte(value)})
			if err != nil {
				t.Fatal(err)
			}
			if want := setting && highest; c.Ranked != want {
				t.Errorf("contracts %q, configuration %s: ranked %t, want %t", contracts, value, c.Ranked, want)
			}
		}
	}
	if c, err := (&feeder{ranks: true}).parseConfiguration(cachesyncer.Entry{Name: "main", Value: []byte("{")}); err == nil || c != nil {
		t.Errorf("configuration that can't be decoded: %v, %v", c, err)
	}
}

// minimalSettings are the settings that a host needs.
const minimalSettings = `node_name=h
zone=z
region=r
ip=127.0.0.1
listen.front=127.0.0.1:1
listen.readiness=127.0.0.1:2
internal_ports=3,9
platform.address=127.0.0.1:4
cloud.address=127.0.0.1:5
bounds.grace_s=6
bounds.drain_ms=7000
bounds.config_apply_ms=3000
limits.memory_mb=256
`
