package fanin_test

import (
	"testing"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/fanin"
)

// BenchmarkClaimWait finds the place of an instance among 300 for one shard.
func BenchmarkClaimWait(b *testing.B) {
	list := instances(300)
	for b.Loop() {
		fanin.ClaimWait("s1", list[0], list[1:])
	}
}
