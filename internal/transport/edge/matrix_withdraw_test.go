package edge

import (
	"context"
	"errors"

	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
)

const (
	withdrawInLog = "what a withdrawal survives on its way is shown at the steps apply and read back; the edge serves by the configuration in force"
	withdrawTold  = "the operator's answer is not the edge's"
)

// withdrawCells: a key is withdrawn while it is in use.
func withdrawCells() []cell {
	const step = "withdraw"
	return []cell{
		{step, "kill-before", withdrawInLog, systemOptions{}, nil},
		{step, "kill-after", withdrawInLog, systemOptions{}, nil},
		{step, "pause-past-lease", "The instance is paused while the key is withdrawn. It wakes with requests and tokens waiting, and serves none of them by the keys of before.", systemOptions{}, withdrawWhilePaused},
		{step, "log-down", withdrawInLog, systemOptions{}, nil},
		{step, "answer-lost", withdrawTold, systemOptions{}, nil},
		{step, "duplicate", "The withdrawal arrives twice. The key stays refused.", systemOptions{}, withdrawTwice},
		{step, "late", "The key is withdrawn in the middle of a stream and before the end of a whole answer. Neither shows anything more.", systemOptions{}, withdrawMidway},
		{step, "crossed", "Answers are crossed while the key is withdrawn. The retry must not run for a withdrawn key.", systemOptions{}, withdrawBeforeRetry},
		{step, "cut-from-log", withdrawInLog, systemOptions{}, nil},
		{step, "cut-from-domain", withdrawInLog, systemOptions{}, nil},
		{step, "target-dead", "The target dies in the middle of a stream whose key is withdrawn. The stream is not resumed elsewhere.", systemOptions{}, withdrawBeforeResume},
		{step, "operators-racing", "One operator withdraws a key while another publishes its secret under a new id. The secret stays refused.", systemOptions{}, withdrawRacing},
	}
}

func (s *system) refusesKey() error {
	got := s.call(context.Background(), testPath, chatBody("riser", false), nil)
	plain := s.plainCall("valve", nil)
	return first(
		got.refused(protocol.CodeKeyWithdrawn, protocol.NotRun),
		plain.refused(protocol.CodeKeyWithdrawn, protocol.NotRun),
		s.ran("valve", 0),
	)
}

func withdrawnIsRefused(s *system) error {
	if err := s.chatWhole("before"); err != nil {
		return err
	}
	s.change(withdraw)
	return s.refusesKey()
}

func withdrawTwice(s *system) error {
	s.change(withdraw)
	s.change(withdraw)
	return s.refusesKey()
}

func withdrawMidway(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	stream := begin(func() error { return s.brokenStream("riser") })
	if err := s.held(1); err != nil {
		return err
	}
	s.change(withdraw)
	s.setFaults(target.Faults{})
	if err := <-stream; err != nil {
		return err
	}
	s.change(func(*protocol.Fleet) {})
	s.setFaults(target.Faults{Freeze: true})
	whole := begin(func() error {
		got := s.call(context.Background(), testPath, chatBody("pump", false), nil)
		return got.refused(protocol.CodeKeyWithdrawn, protocol.MayHaveRun)
	})
	if err := s.dispatched(1); err != nil {
		return err
	}
	s.change(withdraw)
	s.setFaults(target.Faults{})
	return <-whole
}

func withdrawBeforeRetry(s *system) error {
	s.setFaults(target.Faults{Freeze: true})
	asked := begin(func() error {
		got := s.call(context.Background(), testPath, chatBody("riser", false), nil)
		return got.refused(protocol.CodeKeyWithdrawn, protocol.MayHaveRun)
	})
	if err := s.dispatched(1); err != nil {
		return err
	}
	s.change(withdraw)
	s.setFaults(target.Faults{Cross: true})
	if err := <-asked; err != nil {
		return err
	}
	return s.calls(1)
}

// calls checks how many calls reached the model targets.
func (s *system) calls(most int) error {
	n := 0
	for _, standin := range s.targets {
		n += len(standin.Counted().ByCall)
	}
	if n > most {
		return errors.New("a call ran for a withdrawn key")
	}
	return nil
}

func withdrawBeforeResume(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	stream := begin(func() error { return s.brokenStream("riser") })
	if err := s.held(1); err != nil {
		return err
	}
	s.change(withdraw)
	for _, server := range s.servers {
		server.CloseClientConnections()
	}
	return first(<-stream, s.calls(1))
}

func withdrawWhilePaused(s *system) error {
	s.setFaults(target.Faults{HoldAfter: 3})
	stream := begin(func() error { return s.brokenStream("riser") })
	if err := s.held(1); err != nil {
		return err
	}
	s.outdated.Store(true)
	s.setFaults(target.Faults{})
	got := s.call(context.Background(), testPath, chatBody("pump", false), nil)
	if s.edge.InFlight() != 1 {
		return errors.New("the stream went on by the keys of before the pause")
	}
	s.change(withdraw)
	s.outdated.Store(false)
	return first(got.refused(protocol.CodeInstanceStarting, protocol.NotRun), <-stream, s.refusesKey())
}

func withdrawRacing(s *system) error {
	s.change(func(fleet *protocol.Fleet) {
		withdraw(fleet)
		for _, id := range []protocol.KeyID{"a", "k2", "z"} {
			fleet.Keys[id] = protocol.Key{ID: id, Organisation: testOrg, SHA256: hashOf(testSecret)}
		}
	})
	return s.refusesKey()
}
