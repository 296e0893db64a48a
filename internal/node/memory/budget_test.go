package memory

import "testing"

// Guards against bytes that stay counted, or are freed twice, when the owners of a request's memory end in any order.
func TestReservationIsFreedByItsLastOwner(t *testing.T) {
	var b Budget
	b.SetLimit(1000)
	r := b.NewReservation()
	r.AddOwner()
	if !r.Take(400, ReadAhead) || r.Take(200, ReadAhead) || !r.Take(400, Admission) || r.Take(100, Admission) || !r.Take(200, Ongoing) {
		t.Errorf("bytes taken by priority: got %d held of 1000, want 400, 400 and 200 taken, and nothing over 500, 800 and 1000", b.Held())
	}
	r.Release()
	if b.Held() != 1000 {
		t.Errorf("bytes held after the first of two owners has released them: got %d, want 1000", b.Held())
	}
	r.Return(100)
	r.Release()
	r.Return(100)
	r.Add(100)
	if b.Held() != 0 || r.Take(1, Ongoing) {
		t.Errorf("bytes held after the last owner has released them: got %d, want 0 and no more taken", b.Held())
	}
}
