package node

import (
	"strings"
	"testing"
	"time"
)

// Guards against a file of which a part is used though a key is missing: while a class lacks a key that it needs, another class
// left the servers that drop its repeats.
func TestRepeatStaysInItsCellAfterADamagedFile(t *testing.T) {
	t.Parallel()
	const order = `,{"name":"order","aim":4000,"deadline":9000,"repeat":"guarded","group":"all","window":4000}`
	for _, missing := range []string{`,"window":4000`, `,"group":"all"`} {
		t.Run(missing, func(t *testing.T) {
			t.Parallel()
			n := startReloadableNode(t, ","+keyedCellCharge+order, 3)
			n.changes <- n.reload(","+keyedCharge+strings.Replace(order, missing, "", 1), 3)
			time.Sleep(formerClassPeriod + 100*time.Millisecond) // the former class binds no new request from then on
			status := n.send([]string{chargeHead("POST", "r", 0, "Idempotency-Key: k")}, nil)
			if ran := n.ran.Load(); ran != 1 {
				t.Errorf("status %d after the request ran at %d servers, each of another cell; want one", status, ran)
			}
		})
	}
}
