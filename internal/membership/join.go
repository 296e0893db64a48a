package membership

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	joinInterval = time.Second // mean time between attempts to join an absent peer; each interval varies by up to half of it

	exchangesAfterChange      = 2                     // push/pull exchanges after the latest change of the members
	minExchangeInterval       = 2 * time.Second       // base of the mean interval between two exchanges
	exchangeIntervalPerMember = 50 * time.Millisecond // added to the base for each peer, since states grow with the fleet
	lossyExchangeMultiplier   = 3                     // multiplies the mean interval while loss is high: see take
)

// joinAndExchange joins one absent peer (a dead member or a seed), because gossip alone can't merge two parts of a fleet
// that were partitioned or started separately. If an exchange is due, it also exchanges full states with a present
// member, because a gossiped update may have missed some members.
func (a *Agent) joinAndExchange(list *memberlist.Memberlist) {
	own := list.LocalNode().FullAddress().Addr
	present, absent := a.members.peerAddresses(own)
	for _, seed := range a.config.Join {
		if seed != own && !slices.Contains(present, seed) && !slices.Contains(absent, seed) {
			absent = append(absent, seed)
		}
	}
	if len(present) > 0 && a.exchanges.take(a.config.now(), len(present), a.network.probeLoss.isHigh()) {
		// A failed exchange isn't retried: further exchanges follow, and memberlist runs its own.
		_, _ = list.Join([]string{randomOf(present)})
	}
	if len(absent) == 0 {
		return
	}
	address := randomOf(absent)
	if _, err := list.Join([]string{address}); err != nil {
		a.log.log(slog.LevelInfo, "fleet: join failed, retrying", "address", address, "error", err, "present", len(present)+1)
	}
}

func randomOf(addresses []string) string { return addresses[rand.IntN(len(addresses))] }

// exchangeSchedule decides when this node starts push/pull exchanges in addition to memberlist's periodic ones.
type exchangeSchedule struct {
	mu          sync.Mutex
	changedAt   time.Time // latest change of a member's state or incarnation
	exchangedAt time.Time
	remaining   int // exchanges left for the latest change
}

func (s *exchangeSchedule) membersChanged(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changedAt, s.remaining = now, exchangesAfterChange
}

// take reports whether an exchange is due now, and if so counts it as done. While loss is high, exchanges continue after
// those for the latest change, and should be lossyExchangeMultiplier times as far apart. This has a known fault, listed
// under "Open" in docs/membership.md: only the first call after an exchange requires the longer interval, and later calls
// require the usual one.
func (s *exchangeSchedule) take(now time.Time, peers int, lossIsHigh bool) bool {
	interval := minExchangeInterval + time.Duration(peers)*exchangeIntervalPerMember
	interval = interval/2 + rand.N(interval)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remaining == 0 && lossIsHigh {
		s.remaining, interval = 1, lossyExchangeMultiplier*interval
	}
	if s.remaining == 0 || now.Sub(s.changedAt) < interval || now.Sub(s.exchangedAt) < interval {
		return false
	}
	s.remaining--
	s.exchangedAt = now
	return true
}
