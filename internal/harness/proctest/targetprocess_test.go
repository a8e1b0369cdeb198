package proctest

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"merlintiller/internal/harness"
	"merlintiller/internal/standin/engine"
	"merlintiller/internal/wait"
)

// targetSettingsVariable is the environment variable with the settings of a target. With it, the test program is
// a target.
const targetSettingsVariable = "PROCTEST_TARGET"

const (
	// crashesPrefix begins the ids of requests and items that crash targets, failsPrefix those of items that targets
	// answer with 500, and impossiblePrefix those that they answer with 422.
	crashesPrefix    = "crashes-"
	failsPrefix      = "fails-"
	impossiblePrefix = "impossible-"
	// crashesPart is the part of a prompt that crashes targets.
	crashesPart = "dead:100"
	// heartbeatInterval is how often a target renews its entry, entryTTL when it leaves the list after the last time.
	heartbeatInterval = 1200 * time.Millisecond
	entryTTL          = 3 * heartbeatInterval
)

// targetSettings are the settings of a target process. Its listener is inherited if Address is empty.
type targetSettings struct {
	ID, Address string
	Born        int64
	// CrashAt is the event instead of which it crashes.
	CrashAt int
}

// targetRun is a run that a target logs when it begins.
type targetRun struct {
	ID       string
	Target   string
	Born, At int64
	// Deadline is the time that the instance allows, in milliseconds, as the header has it.
	Deadline string
}

// serveTarget is the main function of a target process.
func serveTarget(encoded string) {
	var s targetSettings
	if err := json.Unmarshal([]byte(encoded), &s); err != nil {
		panic(err)
	}
	var deadlines sync.Map
	answers := engine.New(engine.Options{
		ID: s.ID, Born: s.Born, Slots: 8, QueueSize: 24, EventInterval: 20 * time.Millisecond,
		FaultFor: func(id string) engine.Fault {
			deadline, _ := deadlines.Load(id)
			line, _ := json.Marshal(targetRun{ID: id, Target: s.ID, Born: s.Born, At: time.Now().UnixNano(), Deadline: deadline.(string)})
			fmt.Println(string(line))
			switch {
			case strings.HasPrefix(id, failsPrefix):
				return engine.Fault{Status: http.StatusInternalServerError}
			case strings.HasPrefix(id, impossiblePrefix):
				return engine.Fault{Status: http.StatusUnprocessableEntity}
			}
			return engine.Fault{}
		},
		Crashes:   func(prompt string) bool { return strings.Contains(prompt, crashesPart) },
		CrashesAt: func(run *engine.Run, n int) bool { return n == s.CrashAt && strings.HasPrefix(run.ID, crashesPrefix) },
		OnCrash:   func() { os.Exit(3) },
	})
	listener, err := s.listen()
	if err != nil {
		panic(err)
	}
	panic(http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		deadlines.Store(r.Header.Get("Request-Id"), r.Header.Get("Deadline-Ms"))
		answers.ServeHTTP(w, r)
	})))
}

func (s *targetSettings) listen() (net.Listener, error) {
	if s.Address != "" {
		return net.Listen("tcp", s.Address)
	}
	return net.FileListener(os.NewFile(3, "listener"))
}

// targetRestart is how target processes are started again after they have crashed.
type targetRestart struct {
	// back is the time from the crash until another process is started, listed the time from then until it is listed.
	back, listed time.Duration
	// portStaysOpen is set if the listener outlives the process, as with a supervisor that holds it: connections are
	// accepted while no process serves them.
	portStaysOpen bool
	// newIDs is set if each process has another id.
	newIDs bool
}

// supervisedTarget starts target processes at one address, one after the other.
type supervisedTarget struct {
	fleet   *routedFleet
	name    string
	domain  string
	dir     string
	restart targetRestart
	address string
	// listener is held open for the processes if the port stays open.
	listener *os.File
	starts   int
}

// superviseTarget starts a target whose process is replaced when it has crashed, until the test ends.
func (f *routedFleet) superviseTarget(dir string, n, crashAt int, restart targetRestart) {
	address, err := harness.FreeAddress()
	require.NoError(f.t, err)
	s := &supervisedTarget{fleet: f, name: fmt.Sprint("t-", n), domain: string(domains[n%len(domains)]), dir: dir, restart: restart, address: address}
	if restart.portStaysOpen {
		s.holdPort()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for f.ctx.Err() == nil {
			s.runOnce(crashAt)
		}
	}()
	f.t.Cleanup(func() { <-done })
}

// holdPort opens a listener that the processes inherit, one after the other.
func (s *supervisedTarget) holdPort() {
	t := s.fleet.t
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = listener.Addr().String()
	s.listener, err = listener.(*net.TCPListener).File()
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	t.Cleanup(func() { _ = s.listener.Close() })
}

// runOnce runs one process until it has crashed or the test ends, and waits until the next one is due.
func (s *supervisedTarget) runOnce(crashAt int) {
	settings := targetSettings{ID: s.name, Address: s.address, Born: time.Now().UnixMilli(), CrashAt: crashAt}
	if s.restart.newIDs {
		settings.ID = fmt.Sprintf("%s-%d", s.name, s.starts)
	}
	exited := s.startProcess(settings)
	listed := time.Now().Add(s.restart.listed)
	if s.starts == 0 {
		listed = time.Now()
	}
	s.starts++
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for nextHeartbeat := listed; ; {
		select {
		case <-exited:
			crashed := time.Now()
			time.AfterFunc(entryTTL, func() { s.fleet.expireEntry(settings.ID, crashed) })
			wait.For(s.fleet.ctx, s.restart.back)
			return
		case <-ticker.C:
			if !time.Now().Before(nextHeartbeat) {
				s.fleet.listTarget(settings, s.address, s.domain)
				nextHeartbeat = time.Now().Add(heartbeatInterval)
			}
		}
	}
}

// startProcess starts a process and returns a channel that is closed when it has ended. It is ended with the test.
func (s *supervisedTarget) startProcess(settings targetSettings) <-chan struct{} {
	out, err := os.OpenFile(filepath.Join(s.dir, s.name+".runs"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(s.fleet.t, err)
	defer func() { _ = out.Close() }()
	if s.listener != nil {
		settings.Address = ""
	}
	encoded, err := json.Marshal(settings)
	require.NoError(s.fleet.t, err)
	cmd := exec.CommandContext(s.fleet.ctx, os.Args[0])
	cmd.Env = append(os.Environ(), targetSettingsVariable+"="+string(encoded), "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if s.listener != nil {
		cmd.ExtraFiles = []*os.File{s.listener}
	}
	exited := make(chan struct{})
	if err := cmd.Start(); err != nil {
		close(exited)
		return exited
	}
	go func() {
		defer close(exited)
		_ = cmd.Wait()
	}()
	return exited
}

// listTarget writes the entry of a target.
func (f *routedFleet) listTarget(s targetSettings, address, domain string) {
	now := time.Now()
	data, _ := json.Marshal(map[string]any{
		"service": "svc", "address": address, "zone": domain, "version": "v1", "slots": 8, "state": "ready", "born": s.Born, "seq": now.UnixMilli(),
	})
	f.listedMu.Lock()
	defer f.listedMu.Unlock()
	f.listedAt[s.ID] = now
	f.store.Put("keyed.servers", s.ID, data)
}

// expireEntry removes the entry of a target that was not renewed since some time.
func (f *routedFleet) expireEntry(id string, since time.Time) {
	f.listedMu.Lock()
	defer f.listedMu.Unlock()
	if f.listedAt[id].Before(since) {
		f.store.Put("keyed.servers", id, nil)
	}
}

// runsIn returns the runs that targets have logged, the oldest first.
func (f *routedFleet) runsIn(dir string) (out []targetRun) {
	files, err := filepath.Glob(filepath.Join(dir, "*.runs"))
	require.NoError(f.t, err)
	for _, name := range files {
		file, err := os.Open(name)
		require.NoError(f.t, err)
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var run targetRun
			if json.Unmarshal(lines.Bytes(), &run) == nil && run.ID != "" {
				out = append(out, run)
			}
		}
		_ = file.Close()
	}
	slices.SortFunc(out, func(a, b targetRun) int { return cmp.Compare(a.At, b.At) })
	return out
}

// deadline returns until when a run may take, in Unix milliseconds, false if the instance did not say.
func (r *targetRun) deadline() (int64, bool) {
	left, err := strconv.ParseInt(r.Deadline, 10, 64)
	return r.At/int64(time.Millisecond) + left, err == nil
}
