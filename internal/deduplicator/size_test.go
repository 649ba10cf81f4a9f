package deduplicator_test

import (
	"testing"

	"github.com/google/uuid"

	"github.com/coltsfootlane/coltsfootlane/internal/deduplicator"
	"github.com/coltsfootlane/coltsfootlane/internal/linker"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

// TestSizeOfClaim logs the encoded sizes of a claim, a reply and a settlement.
func TestSizeOfClaim(t *testing.T) {
	size := func(v any) int {
		frame, err := linker.EncodeFrame(v)
		if err != nil {
			t.Fatal(err)
		}
		return len(frame)
	}
	holders := []string{"zilina-0007", "zilina-0113", "zilina-0404", "zilina-0511", "zilina-0862"}
	claim := deduplicator.Claim{
		Key:                "renewal/" + uuid.NewString(),
		RequestFingerprint: "3571786a9e3820c1d5f61fe8f660916a",
		Token:              uuid.NewString(),
		Holders:            holders,
		HomesPublished:     start,
	}
	settlement := deduplicator.Settlement{
		Key:   claim.Key,
		Token: claim.Token,
		Answer: &deduplicator.Answer{
			Status: 200,
			Body:   make([]byte, 200),
		},
	}
	reply := deduplicator.Reply{State: deduplicator.Granted}
	t.Logf("claim %d B, reply %d B, settlement with 200 B of body %d B", size(claim), size(reply), size(settlement))
}

// BenchmarkClaim claims a new key at one holder and settles the claim.
func BenchmarkClaim(b *testing.B) {
	clock := timekeeper.NewVirtual(start)
	h := deduplicator.NewHolder(clock, window)
	clock.Advance(window)
	holders := []string{"a", "b", "c", "d", "e"}
	for b.Loop() {
		token := uuid.NewString()
		h.Claim(deduplicator.Claim{
			Key:     token,
			Token:   token,
			Holders: holders,
		}, deduplicator.View{Holders: holders})
		h.Settle(deduplicator.Settlement{
			Key:   token,
			Token: token,
		})
		clock.Advance(window / 10_000)
	}
}
