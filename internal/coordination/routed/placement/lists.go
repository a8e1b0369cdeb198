package placement

import "merlintiller/internal/state/roster"

// Lists describe the lists of targets when a target was chosen.
type Lists struct {
	// Own is the list of the instance that sends the request, and ListedAs the state in which
	// it has the target, empty if that is not known.
	Own      roster.ListState
	ListedAs roster.ListedState
	// Broker is the list of the broker that granted the slot. It is zero if no broker was
	// involved, or the broker's release does not send it.
	Broker roster.ListState
	// BrokerLapsed is set if the broker's list has no entry of the target, and the broker takes it
	// for one that lapsed.
	BrokerLapsed bool
}

// LogFields returns the fields of a log line about a choice.
func (l Lists) LogFields() []any {
	return []any{
		"listed", l.ListedAs, "list_mark", l.Own.Mark, "list_age_ms", l.Own.Age.Milliseconds(),
		"broker_list_mark", l.Broker.Mark, "broker_list_age_ms", l.Broker.Age.Milliseconds(),
		"broker_lapsed", l.BrokerLapsed,
	}
}
