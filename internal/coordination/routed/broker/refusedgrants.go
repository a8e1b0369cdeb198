package broker

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination/routed/placement"
)

// maxRefusedGrants is the number of slots at targets that have left which one broker may grant to
// a request before the next broker is asked.
const maxRefusedGrants = 4

// errOldList: a broker grants slots at targets that have left. It has not read the list of targets
// for a while, for example because its machine was paused.
var errOldList = errors.New("broker has an old list of targets")

var refusedGrants = metrics.NewCounter(`broker_grants_refused_total`)

// HasLeft reports whether the target of a choice has left: this instance does not use it, and no newer
// list has it. A target that only the newer list of the broker has may have just started.
func (c *Client) HasLeft(choice placement.Choice) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, usable := c.targets[choice.ID]
	listedLater := choice.Lists.Broker.Mark > c.listMark && !choice.Lists.BrokerLapsed
	return !usable && !listedLater
}

// refuseGrant gives back a granted slot at a target that has left, and excludes the target from the
// request.
func (c *Client) refuseGrant(request *PlaceRequest, choice placement.Choice) {
	refusedGrants.Inc()
	fields := []any{"event", "grant_refused", "request", request.Want.Run, "target", choice.ID, "broker", choice.Broker}
	_ = level.Info(c.opts.Logger).Log(append(fields, choice.Lists.LogFields()...)...)
	c.Done(choice, placement.Cancelled)
	request.Want.Exclude = append(request.Want.Exclude, choice.ID)
	request.Number = c.nextNumber()
}
