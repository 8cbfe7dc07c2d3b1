package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/clock"
	"kumquathitch.example/kumquathitch/configuration"
	"kumquathitch.example/kumquathitch/standin"
)

const (
	// memoryMB is the memory of the VM in the settings, and the bound of the process.
	memoryMB = 96
	// fileDescriptors are those of maxDescriptors that the platform reserves for files.
	fileDescriptors = 200
	// patience is how long an ordinary caller goes on trying. It is no bound of the product.
	patience = 30 * time.Second
	// bigResponseBytes is the size of the responses of the upstream for callers that do not read.
	bigResponseBytes = 8 << 20
	ordinaryBody     = `{"model":"rigging","max_tokens":1,"messages":[{"role":"user","content":"Plan."}]}`
)

var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "kumquathitch-crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries = directory
	build := exec.Command("go", "build", "-o", directory, "kumquathitch.example/kumquathitch/cmd/kumquathitch-entry", "kumquathitch.example/kumquathitch/cmd/kumquathitchd")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", output, err)
		return 1
	}
	return m.Run()
}

// process is a process of the system with lowered limits.
type process struct {
	name           string
	address        string // Listener for callers.
	ready          string // Listener for readiness checks; empty if there is none of its own.
	head           string // Fields of an ordinary request that a crowd sends too.
	path           string // Of an ordinary request.
	bigRequest     string // A request with a response of bigResponseBytes.
	maxDescriptors int
	command        *exec.Cmd
	ended          chan struct{}
	log            bytes.Buffer // Read after the end of the process.
}

// start starts a program with at most maxDescriptors descriptors.
func (p *process) start(t *testing.T, environment []string, program string, arguments ...string) {
	t.Helper()
	script := fmt.Sprintf("ulimit -n %d; exec \"$@\"", p.maxDescriptors)
	p.command = exec.CommandContext(context.Background(), "sh", append([]string{"-c", script, "sh", filepath.Join(binaries, program)}, arguments...)...)
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	must.NoError(t, p.command.Start())
	p.ended = make(chan struct{})
	go func() {
		_ = p.command.Wait() // The tests check whether it has ended, not how.
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.ended
		if t.Failed() {
			lines := strings.Split(p.log.String(), "\n")
			t.Logf("last lines of %s:\n%s", p.name, strings.Join(lines[max(0, len(lines)-15):], "\n"))
		}
	})
}

func loopback(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8%254, os.Getpid()%256, 10+i)
}

var started int // Processes so far; the tests do not run in parallel.

// startEntry starts kumquathitch-entry before a stand-in platform with an engine and a plain upstream.
func startEntry(t *testing.T, maxDescriptors int) *process {
	t.Helper()
	store := standin.NewKeyspace(clock.NewSystem())
	engine := standin.NewInstance("i-0", "llm", "rigging")
	bulk := standin.NewInstance("i-1", "bulk")
	t.Cleanup(engine.Close)
	store.Put("servers/i-0", engine.Registration(serve(t, engine)))
	store.Put("servers/i-1", bulk.Registration(serve(t, http.HandlerFunc(serveBig))))
	store.Put("op/config", []byte(`{"version":1,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"routes":[
 {"name":"book","host":"a.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"service":"llm","max_attempts":1},
 {"name":"bulk","host":"a.example","path_prefix":"/bulk/","kind":"safe","timeout_ms":20000,"target_latency_ms":2000,"service":"bulk","max_attempts":1}],
 "services":[{"name":"llm","max_conns":100,"engine":{"slots":4,"weights_mb":200,"adapter_slots":8,"loads_per_s":5,"models":[{"name":"rigging","weights_mb":90,"load_s":1}]}},
 {"name":"bulk","max_conns":100}],
 "tenants":[{"name":"crew","api_keys":["common"],"unit":"token","plain_tokens":1,"rate_per_s":100000000,"burst":100000000}]}`))
	started++
	ip := loopback(started)
	p := &process{
		name: "kumquathitch-entry", address: ip + ":8080", ready: ip + ":8081", path: "/book/1", maxDescriptors: maxDescriptors,
		head: "Host: a.example\r\nRequest-Id: c1\r\nApi-Key: common\r\nModel: rigging\r\nToken-Count: 10,1\r\n",
	}
	p.bigRequest = "GET /bulk/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: c2\r\nApi-Key: common\r\nToken-Count: 10,1\r\n\r\n"
	settings := filepath.Join(t.TempDir(), "settings.conf")
	text := fmt.Sprintf("node_name=entry-0\nzone=zone-0\nip=%s\ninternal_ports=7380,7381\nlisten.front=%s\nlisten.ready=%s\nplatform.address=%s\nseeds=%s:7380\n"+
		"bootstrap=true\nbounds.lease_ms=500\nbounds.fencing=true\nlimits.memory_mb=%d\nlimits.max_fds=%d\n",
		ip, p.address, p.ready, serve(t, standin.NewKeyspaceHandler(store)), ip, memoryMB, maxDescriptors)
	must.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	p.start(t, []string{"KUMQUATHITCH_NODE_FILE=" + settings}, "kumquathitch-entry")
	p.mustServe(t)
	return p
}

// startDaemon starts kumquathitchd, the product's own interface, in the same way.
func startDaemon(t *testing.T, maxDescriptors int) *process {
	t.Helper()
	store := standin.NewStore(clock.NewSystem())
	key, secret := kumquathitch.NewKey(time.Now())
	engine := standin.NewEngine(standin.EngineSettings{Name: "planner", Resident: []string{"rigging"}}, clock.NewSystem())
	_, err := (&configuration.Repository{Store: store}).Write(t.Context(), kumquathitch.Configuration{
		DataCentres: kumquathitch.DataCentres{{Name: "local", Region: "local"}}, RateSlots: 1,
		Accounts: kumquathitch.Accounts{{Name: "demo", Rate: 1e9, Models: []string{"*"}, Keys: kumquathitch.Keys{key}}},
		Models:   kumquathitch.Models{{Name: "rigging", Bytes: 16 << 30, CacheReserve: 8 << 30}},
		Routes:   kumquathitch.Routes{{Path: "/v1/chat/completions", Class: "interactive", Idempotent: true}, {Method: "GET", Path: "/big", Service: "bulk", Idempotent: true}},
		Upstreams: kumquathitch.Upstreams{
			{Name: "planner", DataCentre: "local", Address: serve(t, engine.Handler()), Models: []string{"rigging"}},
			{Name: "bulk", Kind: kumquathitch.KindService, Service: "bulk", DataCentre: "local", Address: serve(t, http.HandlerFunc(serveBig))},
		},
	})
	must.NoError(t, err)
	started++
	p := &process{
		name: "kumquathitchd", address: loopback(started) + ":8080", path: "/v1/chat/completions", maxDescriptors: maxDescriptors,
		head: "Host: a.example\r\nAuthorization: Bearer " + secret + "\r\n",
	}
	p.bigRequest = "GET /big HTTP/1.1\r\n" + p.head + "\r\n"
	p.start(t, []string{"KUMQUATHITCH_MEMORY_MB=" + strconv.Itoa(memoryMB)}, "kumquathitchd", "--name", "entry-1", "--data-centre", "local",
		"--listen", p.address, "--peer-listen", loopback(started)+":7100", "--platform", serve(t, standin.NewStoreHandler(store)))
	p.mustServe(t)
	return p
}

// serve serves a handler in this process and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections) // Runs before Close, which waits for the requests in flight.
	return server.Listener.Addr().String()
}

// serveBig answers each request with bigResponseBytes.
func serveBig(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/big" && !strings.HasPrefix(r.URL.Path, "/bulk/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "signed")
	w.Header().Set("Content-Length", strconv.Itoa(bigResponseBytes))
	_, _ = w.Write(make([]byte, bigResponseBytes))
}

// request returns an ordinary request with further fields and a body.
func (p *process) request(fields, body string) string {
	return "POST " + p.path + " HTTP/1.1\r\n" + p.head + fields + "\r\n" + body
}

func (p *process) ordinary() string {
	return p.request("Content-Length: "+strconv.Itoa(len(ordinaryBody))+"\r\n", ordinaryBody)
}

// mustServe checks that one ordinary request is answered, and that a readiness check is.
// A caller that is refused or gets no answer tries again.
func (p *process) mustServe(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(patience)
	last := ""
	for {
		if last = exchange(p.address, p.ordinary()); last == "200" {
			if p.ready == "" {
				return
			}
			if last = exchange(p.ready, "GET /v1/readiness HTTP/1.1\r\nHost: a\r\n\r\n"); last == "200" {
				return
			}
		}
		select {
		case <-p.ended:
			t.Fatalf("%s has ended", p.name)
		case <-time.After(50 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: an ordinary request is not answered: %s", p.name, last)
		}
	}
}

// residentMB returns the largest resident memory of the process so far.
func (p *process) residentMB(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	must.NoError(t, err)
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kB, err := strconv.Atoi(strings.Fields(rest + " 0")[0])
	must.NoError(t, err)
	return kB >> 10
}

// settle waits until the process has read what the crowd sent: until it has used no
// processor time for a while, or until patience is over.
func (p *process) settle() {
	before := ""
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
		fields := strings.Fields(string(text))
		if len(fields) < 15 || fields[13]+" "+fields[14] == before {
			return
		}
		before = fields[13] + " " + fields[14]
		<-time.After(150 * time.Millisecond)
	}
}

// sockets returns the number of open sockets and pipes of the process.
func (p *process) sockets() int {
	directory := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	entries, _ := os.ReadDir(directory) // Empty when the process has ended, which the test checks.
	count := 0
	for _, e := range entries {
		link, _ := os.Readlink(filepath.Join(directory, e.Name()))
		if strings.HasPrefix(link, "socket:") || strings.HasPrefix(link, "pipe:") {
			count++
		}
	}
	return count
}
