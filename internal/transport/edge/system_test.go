package edge

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"

	"merlintiller/internal/coordination/access"
	"merlintiller/internal/coordination/online"
	"merlintiller/internal/coordination/routing"
	"merlintiller/internal/external"
	"merlintiller/internal/protocol"
	"merlintiller/internal/standin/target"
	"merlintiller/internal/transport/targethttp"
)

const (
	testSecret    = "sk-firewater-1"
	testModel     = "report-writer"
	testService   = protocol.ServiceName("tiller-reports")
	plainService  = protocol.ServiceName("code-lookup")
	testDomain    = protocol.Domain("pnw-sea")
	testKey       = protocol.KeyID("k1")
	testOrg       = protocol.OrganisationID("cascadia")
	modelTargets  = 3
	answerTokens  = 12
	plainTargetID = protocol.TargetID("lookup-1")
)

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func testFleet() *protocol.Fleet {
	return &protocol.Fleet{
		Organisations: map[protocol.OrganisationID]protocol.Organisation{testOrg: {ID: testOrg, Rate: 100, Burst: 100}},
		Keys:          map[protocol.KeyID]protocol.Key{testKey: {ID: testKey, Organisation: testOrg, SHA256: hashOf(testSecret)}},
		Models:        map[protocol.ModelName]protocol.Model{testModel: {Name: testModel, Service: testService}},
		Services: map[protocol.ServiceName]protocol.Service{
			testService:  {Name: testService, Kind: protocol.KindModel, Repeatable: true, Slots: 8},
			plainService: {Name: plainService, Kind: protocol.KindPlain},
		},
	}
}

// system is one instance with stand-in targets on the loopback interface.
type system struct {
	fleet atomic.Pointer[protocol.Fleet]
	// configOutdated simulates a journal that has not caught up after a pause.
	configOutdated atomic.Bool
	targets        []*target.Target
	servers        []*httptest.Server
	plain          *target.Target
	router         *routing.Router
	client         *targethttp.Client
	online         *online.Handler
	edge           *Edge
	listing        external.Listing
	url            string
	address        string
	stop           context.CancelFunc
}

type systemOptions struct {
	policy online.Policy
	limits Limits
	once   online.AtMostOnceCaller
	// target replaces the client for the targets.
	target external.Target
	tokens int
	batch  http.Handler
}

func newSystem(t testing.TB, opts systemOptions) *system {
	s := &system{router: routing.NewRouter(routing.Options{Domain: testDomain, Seed: 1})}
	s.fleet.Store(testFleet())
	if opts.tokens == 0 {
		opts.tokens = answerTokens
	}
	s.startTargets(t, opts.tokens)
	s.client = targethttp.New(targethttp.Options{})
	once := targethttp.New(targethttp.Options{FreshConnections: true})
	var calls, onceCalls external.Target = s.client, once
	if opts.target != nil {
		calls, onceCalls = opts.target, opts.target
	}
	s.online = online.New(online.Options{
		Fleet: s.fleet.Load, Keys: access.New(s.fleet.Load), Router: s.router,
		Target: calls, AtMostOnceTarget: onceCalls, AtMostOnce: opts.once, Policy: opts.policy, ConfigCurrent: s.configCurrent,
	})
	s.edge = New(Options{
		Listen: s.listen, Fleet: s.fleet.Load, Keys: access.New(s.fleet.Load),
		Online: s.online, Limits: opts.limits, Batch: opts.batch, Ready: s.configCurrent,
	})
	s.start(t)
	return s
}

func (s *system) configCurrent() bool { return !s.configOutdated.Load() }

func (s *system) startTargets(t testing.TB, tokens int) {
	add := func(id protocol.TargetID, cfg target.Config) *target.Target {
		cfg.ID, cfg.Domain = id, testDomain
		standin := target.New(cfg)
		server := httptest.NewServer(standin)
		t.Cleanup(server.Close)
		// Clearing the faults ends frozen and paused calls, for which
		// server.Close waits.
		t.Cleanup(func() { standin.SetFaults(target.Faults{}) })
		s.servers = append(s.servers, server)
		s.listing.Targets = append(s.listing.Targets, external.ListedTarget{
			ID: id, Service: cfg.Service, Domain: testDomain, Address: strings.TrimPrefix(server.URL, "http://"),
		})
		return standin
	}
	for i := range modelTargets {
		id := protocol.TargetID("runner-" + string(rune('1'+i)))
		s.targets = append(s.targets, add(id, target.Config{Service: testService, Tokens: tokens}))
	}
	s.plain = add(plainTargetID, target.Config{Service: plainService, Kind: protocol.KindPlain})
	s.router.SetServices(s.fleet.Load().Services)
	s.router.ApplyListing(s.listing)
}

func (s *system) listen() (net.Listener, error) {
	return net.Listen("tcp", s.address)
}

func (s *system) start(t testing.TB) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = probe.Addr().String()
	s.url = "http://" + s.address
	listener := probe
	s.edge.opts.Listen = func() (net.Listener, error) { return listener, nil }
	supervisor := suture.NewSimple("test")
	for _, service := range append(s.online.Services(), s.edge.Services()...) {
		supervisor.Add(service)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	ended := supervisor.ServeBackground(ctx)
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// setFaults injects the same faults into all model targets.
func (s *system) setFaults(faults target.Faults) {
	for _, standin := range s.targets {
		standin.SetFaults(faults)
	}
}

// kill stops the instance without draining it.
func (s *system) kill() {
	s.stop()
}

// plainServer returns the HTTP server of the plain target.
func (s *system) plainServer() *httptest.Server { return s.servers[modelTargets] }
