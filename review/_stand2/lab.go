// Command review2 plays the cases 4 to 8 of the review: it runs stand-ins for the platform's store, for runners and for
// clients, and starts the project's own program as the deploy file does. All addresses are loopback addresses.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"merlintiller/internal/standin/sharedstore"
)

// The bounds and limits of the users' pages that the cases use (DEPLOY.md, settings of a process).
const (
	storeParts  = 12
	recordBytes = 262144
	callBytes   = 2097152
	memoryMB    = 294
	finish      = 18 * time.Second
	due         = 18 * time.Second
	settleTime  = 2 * time.Second
)

// The names of the small deployment.
const (
	service   = "runners"
	host      = "reports.example"
	jobPrefix = "/jobs/"
	prefix    = "/notes/"
	key       = "key-of-north"
	tenant    = "north"
	otherKey  = "key-of-south"
)

// lab is one small deployment on loopback addresses.
type lab struct {
	root, dir string
	started   time.Time
	store     *sharedstore.Store
	endpoint  *sharedstore.Endpoint
	storeAddr string
	limits    *limitedStore
	machines  []*machine
	runners   []*runner

	mu     sync.Mutex
	record *os.File
}

// machine is a process of the project with its addresses.
type machine struct {
	name, zone, ip                  string
	front, ready, control, settings string
	cmd                             *exec.Cmd
	log                             *os.File
	exited                          chan struct{}
	peakKB                          atomic.Int64
}

// note writes a line of the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

func newLab(root, recordFile string, zones, machinesPerZone int) (*lab, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	l := &lab{root: root, dir: dir, started: time.Now(), record: record, store: sharedstore.New(storeParts)}
	l.endpoint = l.store.NewEndpoint()
	l.limits = newLimitedStore(l.endpoint)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.storeAddr = listener.Addr().String()
	l.store.SetReadBytesPerSecond(readBytesPerSec)
	go func() { _ = http.Serve(listener, l.limits) }()
	nextCore.Store(int32(os.Getpid()))
	net := freeNet(zones, machinesPerZone)
	for z := range zones {
		for n := range machinesPerZone {
			l.machines = append(l.machines, &machine{name: fmt.Sprintf("edge-z%d-%d", z, n), zone: fmt.Sprintf("z%d", z), ip: machineIP(net, z, n)})
		}
	}
	return l, nil
}

// machineIP returns the address of a machine in one of the networks 127.X.0.0.
func machineIP(net, zone, number int) string { return fmt.Sprintf("127.%d.%d.%d", net, zone, 1+number) }

// metricsPort is the port of the metrics in deploy/settings.yaml.
const metricsPort = "9464"

// freeNet returns the X of a network 127.X.0.0 in which the port of the metrics is free at all machines. Several plays may run
// at the same time.
func freeNet(zones, machinesPerZone int) int {
	const first, count = 20, 200
	for try := range count {
		x := first + (os.Getpid()+try)%count
		free := true
		for z := range zones {
			for n := range machinesPerZone {
				listener, err := net.Listen("tcp", machineIP(x, z, n)+":"+metricsPort)
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return x
		}
	}
	return first
}

// freePort returns an address of an ip that nothing listens on.
func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// putConfig writes the configuration as the operator does.
func (l *lab) putConfig(version int) {
	route := func(name, path, kind string, more map[string]any) map[string]any {
		out := map[string]any{
			"name": name, "host": host, "path_prefix": path, "kind": kind, "timeout_ms": 5000, "target_latency_ms": 500,
			"priority": 0, "service": service, "max_attempts": 2, "public": false, "sticky_sessions": false, "resumable": false,
		}
		for k, v := range more {
			out[k] = v
		}
		return out
	}
	config := map[string]any{
		"version": version,
		"routes": []any{
			route("r-note", prefix, "idempotent", nil),
			route("r-job", jobPrefix, "batch", map[string]any{
				"timeout_ms": 15000, "priority": 2, "max_attempts": 3, "result_due_ms": 18000, "retention_s": 60, "sticky_sessions": true,
			}),
		},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 8, "kv_capacity_tokens": 134354},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1, "rate_per_s": 0, "burst": 0},
			map[string]any{"name": "south", "api_keys": []string{otherKey}, "priority": 1, "rate_per_s": 0, "burst": 0},
		},
	}
	value, _ := json.Marshal(config)
	l.store.Put("keyed.op", "config", value)
	l.note("operator: configuration %d", version)
}

// startMachines starts the project's program on all machines and waits until they are ready.
func (l *lab) startMachines() error {
	var seeds []string
	for _, m := range l.machines {
		for _, address := range []*string{&m.front, &m.ready, &m.control} {
			free, err := freePort(m.ip)
			if err != nil {
				return err
			}
			*address = free
		}
		if len(seeds) < 3 {
			seeds = append(seeds, strconv.Quote(m.control))
		}
	}
	for _, m := range l.machines {
		// deploy/settings.yaml, filled in as DEPLOY.md says.
		text := fmt.Sprintf(`instance: %q
domain: %q
listen:
  callers: %q
  readiness: %q
  peers: %q
  metrics: "%s:9464"
seeds: [%s]
store:
  address: %q
  partitions: %d
  record_bytes: %d
  call_bytes: %d
memory_mb: %d
processor: 0.8
adaptive:
  fair_queue: true
  answer_buffers_percent: 25
grace: 8s
results_readable: 120s
`, m.name, m.zone, m.front, m.ready, m.control, m.ip, strings.Join(seeds, ","), l.storeAddr, storeParts, recordBytes, callBytes, memoryMB)
		m.settings = filepath.Join(l.dir, m.name+".yaml")
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := l.start(m); err != nil {
			return err
		}
	}
	for _, m := range l.machines {
		if err := l.awaitReady(m, 30*time.Second); err != nil {
			return err
		}
	}
	l.note("platform: all machines are ready")
	return nil
}

// start starts the process of a machine with the command of the deploy file.
func (l *lab) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(l.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.log = log
	cmd := exec.Command("target/tillerd", "--routed", "--settings", m.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = l.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MERLINTILLER_NODE_FILE=" + m.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(cmd); err != nil {
		return err
	}
	m.cmd, m.exited = cmd, make(chan struct{})
	go func(done chan struct{}) { _ = cmd.Wait(); close(done) }(m.exited)
	return nil
}

// cpuMask is a set of processor cores, as sched_setaffinity takes it.
type cpuMask [128]byte

// startOnOneCore starts a process that sees one core, as on a machine of the platform.
func startOnOneCore(cmd *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one cpuMask
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(all), uintptr(unsafe.Pointer(&all))); errno != 0 {
		return errno
	}
	var cores []int
	for n := range 8 * len(all) {
		if all[n/8]&(1<<(n%8)) != 0 {
			cores = append(cores, n)
		}
	}
	core := cores[int(uint32(nextCore.Add(1)))%len(cores)]
	one[core/8] = 1 << (core % 8)
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(one), uintptr(unsafe.Pointer(&one))); errno != 0 {
		return errno
	}
	err := cmd.Start()
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(all), uintptr(unsafe.Pointer(&all))); errno != 0 {
		return errno
	}
	return err
}

// nextCore spreads the processes over the cores.
var nextCore atomic.Int32

func (l *lab) awaitReady(m *machine, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if isReady(m) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", m.name, limit)
}

var probe = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func isReady(m *machine) bool {
	response, err := probe.Get("http://" + m.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// alive reports whether the process of a machine runs.
func (m *machine) alive() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// residentKB returns the resident memory of a machine's process.
func (m *machine) residentKB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			n, _ := strconv.Atoi(fields[1])
			return n
		}
	}
	return 0
}

// stop ends all processes and removes the temporary folder.
func (l *lab) stop() {
	for _, m := range l.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	for _, r := range l.runners {
		r.close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println(l.dir)
	}
	_ = l.record.Close()
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// call sends a request on a connection of its own.
func call(method, address, path string, header map[string]string, body []byte, limit time.Duration) answer {
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, data, err}
}

// item is an item of a batch job on the wire.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// item returns an ordinary item.
func (l *lab) item(id string) item {
	return item{
		ID: id, Path: jobPrefix + "3/91c4", Body: []byte("report"), Tokens: 300,
		Headers: map[string]string{"Model": "m", "Token-Count": "200,100", "Prompt-Prefix": "9c2e41:100," + id + ":100"},
	}
}

// submit sends a batch job, again at the next machine after no promise or a refusal, and returns the last answer.
func (l *lab) submit(key, id string, items []item, tries int) answer {
	return l.submitFrom(0, key, id, items, tries, time.Now().Add(time.Minute))
}

// submitFrom is submit that begins at some machine, and ends at some time.
func (l *lab) submitFrom(first int, key, id string, items []item, tries int, end time.Time) answer {
	body, _ := json.Marshal(map[string]any{"items": items})
	var got answer
	for n := range tries {
		m := l.machines[(first+n)%len(l.machines)]
		got = call(http.MethodPost, m.front, jobPrefix+id[:6], map[string]string{
			"Authorization": "Bearer " + key, "Request-Id": id, "Content-Type": "application/json", "Deadline-Ms": "4000",
		}, body, 6*time.Second)
		l.note("client: job %s of %d items, %d bytes, at %s: status %d %s", id, len(items), len(body), m.name, got.status, errText(got.err))
		if got.status == http.StatusAccepted || time.Now().After(end) {
			return got
		}
		time.Sleep(300 * time.Millisecond)
	}
	return got
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// results reads all results of a job from the start, each page at the next machine that answers.
func (l *lab) results(key, id string) (out page, status int) {
	for try := 0; try < 3*len(l.machines); try++ {
		m := l.machines[try%len(l.machines)]
		got := call(http.MethodGet, m.front, fmt.Sprintf("/lots/%s?after=%d", id, len(out.Results)), map[string]string{"Authorization": "Bearer " + key}, nil, 5*time.Second)
		status = got.status
		var p page
		if got.err != nil || got.status != http.StatusOK || json.Unmarshal(got.body, &p) != nil {
			continue
		}
		out.Total = p.Total
		out.Results = append(out.Results, p.Results...)
		if len(p.Results) == 0 || len(out.Results) == out.Total {
			return out, status
		}
		try = -1
	}
	return out, status
}

// noteRuns writes what runners ran: each request, or their numbers if there are many.
func (l *lab) noteRuns() {
	const most = 100
	all := l.ranAll()
	for _, r := range all[:min(len(all), most)] {
		l.note("run at %s: %s, %s %q, tenant %s, body of %d bytes", r.runner, r.id, r.method, r.uri, r.tenant, r.bodyBytes)
	}
	if len(all) > most {
		l.note("runs in all: %d", len(all))
	}
}

// exitWith writes the verdict, ends what was started and exits.
func exitWith(l *lab, code int, why string) {
	l.noteRuns()
	l.note("verdict: %s (exit %d)", why, code)
	fmt.Println(why)
	l.stop()
	os.Exit(code)
}

// rawCall sends the bytes of a request and returns all bytes of the answer.
func rawCall(address, request string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return err.Error()
	}
	data, _ := io.ReadAll(conn)
	return string(data)
}
