package broker

import "merlintiller/internal/coordination/routed/placement"

// listsFor returns what this instance's list says of a target.
func (c *Client) listsFor(id string) (lists placement.Lists) {
	if c.opts.ListAge != nil {
		lists.Own.Age = c.opts.ListAge()
	}
	if c.opts.ListedAs != nil {
		lists.ListedAs = c.opts.ListedAs(id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	lists.Own.Mark = c.listMark
	return lists
}

// withLists adds what this instance's list says of the target to a choice without a broker.
func (c *Client) withLists(choice placement.Choice) placement.Choice {
	choice.Lists = c.listsFor(choice.ID)
	return choice
}
