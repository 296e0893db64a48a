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
	joinInterval = time.Second // mean time between attempts to join one absent peer; each is spread by half of it

	exchangesAfterChange      = 2                     // push/pull exchanges after the last change of the members
	minExchangeInterval       = 2 * time.Second       // between two of them,
	exchangeIntervalPerMember = 50 * time.Millisecond // plus this for each member, since states grow with the fleet
	lossyExchangeMultiplier   = 3                     // of that interval, while loss is high: see take
)

// joinAndExchange joins one peer that is absent, a failed member or a seed: after a partition, or where two parts of a
// fleet start apart, gossip alone wouldn't bring them together. It also exchanges whole states with a present member
// when that is due, for an update may have missed some members.
func (a *Agent) joinAndExchange(list *memberlist.Memberlist) {
	own := list.LocalNode().FullAddress().Addr
	present, absent := a.members.peerAddresses(own)
	for _, seed := range a.config.Join {
		if seed != own && !slices.Contains(present, seed) && !slices.Contains(absent, seed) {
			absent = append(absent, seed)
		}
	}
	if len(present) > 0 && a.exchanges.take(a.config.now(), len(present), a.network.probeLoss.isHigh()) {
		// A failed exchange isn't repeated: there are others, and memberlist's own.
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

// exchangeSchedule decides when this node starts a push/pull exchange besides memberlist's periodic ones.
type exchangeSchedule struct {
	mu          sync.Mutex
	changedAt   time.Time // last change of a member's state or incarnation
	exchangedAt time.Time
	remaining   int // exchanges to come for that change
}

func (s *exchangeSchedule) membersChanged(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changedAt, s.remaining = now, exchangesAfterChange
}

// take reports whether an exchange is due now, and counts it as done. While loss is high, exchanges go on after those
// of the last change. The first call after an exchange then demands the longer interval, and later calls the usual one:
// a known fault, listed under "Open" in docs/membership.md.
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
