package target

import (
	"encoding/json"
	"net/http"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// orderState holds the orders that the target has received.
type orderState struct {
	// highest is the largest fencing number seen.
	highest protocol.Offset
	current external.Order
	// applied lists the accepted orders, oldest first.
	applied []external.Order
	// busyUntil is when the current order is carried out.
	busyUntil time.Time
}

func (t *Target) postOrder(w http.ResponseWriter, r *http.Request) {
	var order external.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !t.applyOrder(order) {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	if t.takeFaults().LoseAnswer {
		abortConnection()
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyOrder makes an order the current one. It returns false if the target checks
// fencing numbers and the number of the order is outdated.
func (t *Target) applyOrder(order external.Order) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cfg.ChecksFencing && order.Fence < t.order.highest {
		return false
	}
	t.order.highest = max(t.order.highest, order.Fence)
	t.order.current = order
	t.order.applied = append(t.order.applied, order)
	t.order.busyUntil = time.Now().Add(t.cfg.OrderTime)
	return true
}

// AppliedOrders returns the orders that took effect, oldest first.
func (t *Target) AppliedOrders() []external.Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]external.Order(nil), t.order.applied...)
}

func (t *Target) currentOrder(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	state := external.OrderState{
		Fence: t.order.current.Fence,
		Order: t.order.current,
		Busy:  time.Now().Before(t.order.busyUntil),
	}
	t.mu.Unlock()
	writeJSON(w, state)
}
