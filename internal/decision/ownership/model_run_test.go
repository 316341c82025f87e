package ownership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelSeeds are the fixed seeds of the model test.
var modelSeeds = []uint64{1, 2, 3}

// modelConfig returns the default configuration with a shorter MaxIsolation and RebalanceDelay,
// so that both pass within the simulated time.
func modelConfig() Config {
	config := DefaultConfig()
	config.MaxIsolation = 30 * time.Second
	config.RebalanceDelay = 15 * time.Second
	return config
}

// livenessBound is the longest time from the end of all faults until a member has
// authority: late messages, the suspicion timeout or a promise, the claim delays of
// four members, the wait after a late join, and the reads and writes in between.
func livenessBound(config Config) time.Duration {
	return 8*time.Second + config.SuspicionTimeout + config.AuthorityTerm + 4*config.ClaimStagger + config.waitWithDrift(config.MaxIsolation) + 10*time.Second
}

// drawFaults draws up to 16 faults that all end by the horizon.
func drawFaults(t *rapid.T, horizon time.Duration) []fault {
	seconds := func(low, high int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(low*10, high*10), func(tenths int) time.Duration {
			return time.Duration(tenths) * 100 * time.Millisecond
		})
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		f := fault{
			Kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			Instance: rapid.IntRange(0, 3).Draw(t, "node"),
			Other:    rapid.IntRange(0, 3).Draw(t, "other"),
			At:       seconds(0, int(horizon/time.Second)).Draw(t, "at"),
			Duration: seconds(0, 45).Draw(t, "duration"),
		}
		f.Duration = min(f.Duration, horizon-f.At)
		return f
	}), 0, 16).Draw(t, "faults")
}

// checkModel guards against two members with authority at once, epochs that decrease,
// and shards that stay without an owner after the faults end.
func checkModel(t *rapid.T) {
	const horizon = 90 * time.Second
	rates := rapid.SliceOfN(rapid.SampledFrom([]float64{0.99, 0.995, 1, 1.005, 1.01}), 2, 4).Draw(t, "rates")
	m := newModel(rapid.Uint64().Draw(t, "seed"), rates, modelConfig(), drawFaults(t, horizon))
	for m.now < horizon {
		m.advance()
		if m.failure != nil {
			t.Fatalf("%v", m.failure)
		}
	}
	end := horizon + livenessBound(m.config)
	held := false
	for m.now < end && !held {
		held = len(m.advance()) == 1
		if m.failure != nil {
			t.Fatalf("%v", m.failure)
		}
	}
	if !held {
		t.Fatalf("no member had authority within %v after the faults ended; row %+v, members %+v", livenessBound(m.config), m.shard, m.members)
	}
}

func TestModel(t *testing.T) {
	for _, seed := range modelSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			if err := flag.Set("rapid.seed", fmt.Sprint(seed)); err != nil {
				t.Fatal(err)
			}
			t.Logf("rapid seed %d", seed)
			rapid.Check(t, checkModel)
		})
	}
}
