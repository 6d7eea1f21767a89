package policy

import "testing"

// Guards against a rejected caller who redials at once making the controller's memory grow: each number is held once.
func TestRejectedNumberIsHeldOnce(t *testing.T) {
	r := newRejectedNumbers()
	for i := range 1000 {
		r.add(7, Tenths(i))
	}
	if len(r.order) != 1 || r.firstDialledAt[7] != 999 {
		t.Fatalf("%d entries, first dialled at %d", len(r.order), r.firstDialledAt[7])
	}
}

// Guards against a flood of rejected calls to ever new numbers making the controller's memory grow.
func TestRejectedNumbersAreBounded(t *testing.T) {
	r := newRejectedNumbers()
	const flood = 3 * maxRejectedNumbers
	for number := range uint64(flood) {
		r.add(number, Tenths(number))
		if len(r.order) != len(r.firstDialledAt) || len(r.order) > maxRejectedNumbers {
			t.Fatalf("%d and %d entries after %d numbers", len(r.order), len(r.firstDialledAt), number+1)
		}
	}
	if _, known := r.firstDialledAt[flood-1]; !known {
		t.Error("the last number is not known")
	}
	if _, known := r.firstDialledAt[flood-maxRejectedNumbers-1]; known {
		t.Error("an older number is still known")
	}
	r.expire(flood+100, 100)
	if len(r.order)+len(r.firstDialledAt) != 0 {
		t.Errorf("%d entries after they expired", len(r.order))
	}
}

// Guards against clients that ask again as soon as they are turned away: what the controller holds of them must not
// grow with the number of their calls, neither if each call has another number nor if all have the same.
func TestFloodOfRejectedCallsLeavesBoundedState(t *testing.T) {
	const unknownExchange = 900
	for name, number := range map[string]func(id uint32) uint64{
		"new numbers": func(id uint32) uint64 { return uint64(id) },
		"one number":  func(uint32) uint64 { return 7 },
	} {
		t.Run(name, func(t *testing.T) {
			h := newMesh(3, 50)
			for id := range uint32(3 * maxRejectedNumbers) {
				call := newCall(id+1, 0, unknownExchange)
				call.Number = number(id + 1)
				if got := h.offer(call); got != "block" {
					t.Fatalf("call %d: %s", id, got)
				}
			}
			if held := h.controller.Held(); held.RejectedNumbers > maxRejectedNumbers || held.Calls > 0 {
				t.Fatalf("held %+v", held)
			}
		})
	}
}
