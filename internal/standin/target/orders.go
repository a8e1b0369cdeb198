package target

import (
	"encoding/json"
	"net/http"
	"time"

	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
)

// orderBook is what the target was told to run.
type orderBook struct {
	// highest is the largest fencing number seen.
	highest protocol.Offset
	current external.Order
	taken   []external.Order
	busy    time.Time
}

func (t *Target) giveOrder(w http.ResponseWriter, r *http.Request) {
	var order external.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !t.takeOrder(order) {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	if t.takeFaults().LoseAnswer {
		hangUp()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) takeOrder(order external.Order) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cfg.ChecksFencing && order.Fence < t.order.highest {
		return false
	}
	t.order.highest = max(t.order.highest, order.Fence)
	t.order.current = order
	t.order.taken = append(t.order.taken, order)
	t.order.busy = time.Now().Add(t.cfg.OrderTime)
	return true
}

// AppliedOrders lists the orders that had an effect, oldest first.
func (t *Target) AppliedOrders() []external.Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]external.Order(nil), t.order.taken...)
}

func (t *Target) currentOrder(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	state := external.OrderState{
		Fence: t.order.current.Fence,
		Order: t.order.current,
		Busy:  time.Now().Before(t.order.busy),
	}
	t.mu.Unlock()
	writeJSON(w, state)
}
