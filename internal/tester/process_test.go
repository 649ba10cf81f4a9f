// Package tester contains end-to-end tests that run the built programs as separate
// processes.
package tester

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/server"
)

// waitTimeout is the timeout of a wait. A passing test needs far less.
const waitTimeout = 60 * time.Second

// binFolder is the folder of the built programs.
var binFolder string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	var err error
	if binFolder, err = os.MkdirTemp("", "coltsfoot"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(binFolder) }()
	build := exec.Command("go", "build", "-o", binFolder, "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// process is a started program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a program and kills it at the end of the test. Its output is logged
// if the test fails.
func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	out, err := os.Create(filepath.Join(t.TempDir(), program+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		cmd:  exec.Command(filepath.Join(binFolder, program), args...),
		done: make(chan struct{}),
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			text, _ := os.ReadFile(out.Name())
			t.Logf("%s %v:\n%s", program, args, text)
		}
	})
	return p
}

// signal sends a signal to the process. It waits for the process to exit, unless the
// signal is SIGSTOP or SIGCONT.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
	if s == syscall.SIGSTOP || s == syscall.SIGCONT {
		return
	}
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatalf("%v did not exit", p.cmd.Args)
	}
}

// Listening ports are below the ephemeral ports of outgoing connections. An
// outgoing connection could otherwise occupy a port between the check and its use.
const (
	lowestPort  = 10_000
	highestPort = 20_000
)

// portOffset is the offset of the last port handed out. It starts at a random offset
// and only increases, so that no port is handed out twice before it wraps around.
var portOffset atomic.Int64

func init() { portOffset.Store(rand.Int64N(highestPort - lowestPort)) }

// freeAddress returns a loopback address that is not in use. It returns each port only
// once before portOffset wraps around.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+portOffset.Add(1)%(highestPort-lowestPort))
		ln, err := net.Listen("tcp", address)
		if err == nil {
			_ = ln.Close()
			return address
		}
	}
}

// eventually polls until ok returns true. It fails the test after waitTimeout.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met before the timeout: %s", condition)
}

// vm is a simulated VM: a daemon process and its settings.
type vm struct {
	settings loader.Settings
	daemon   *process
}

const testKey = "a key for tests only"

// newVM returns a VM whose daemon is not started. The daemon will join through the
// seeds.
func newVM(t *testing.T, name, dc, platform string, seeds ...string) *vm {
	t.Helper()
	return &vm{settings: loader.Settings{
		Name: name,
		DC:   dc,
		Listen: loader.Listen{
			Traffic:  freeAddress(t),
			Admit:    freeAddress(t),
			Control:  freeAddress(t),
			Operator: freeAddress(t),
		},
		Platform: "http://" + platform,
		Seeds:    seeds,
		Key:      testKey,
		Log:      loader.Log{Level: "debug"},
	}}
}

// startVM returns a VM and starts its daemon, which joins through the seeds.
func startVM(t *testing.T, name, dc, platform string, seeds ...string) *vm {
	t.Helper()
	v := newVM(t, name, dc, platform, seeds...)
	v.start(t)
	return v
}

func (v *vm) start(t *testing.T) {
	t.Helper()
	data, err := json.Marshal(v.settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	v.daemon = start(t, "coltsfootd", "--settings", path)
}

// status returns the daemon's status and whether the daemon responded.
func (v *vm) status() (server.Status, bool) {
	var s server.Status
	resp, err := http.Get("http://" + v.settings.Listen.Operator + "/v1/status")
	if err != nil {
		return s, false
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// call makes one call through the daemon. It returns the status and the body.
func (v *vm) call(method, path, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.settings.Listen.Traffic+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// coltsfoot runs the coltsfoot command and returns its output.
func coltsfoot(t *testing.T, args ...string) (string, error) {
	t.Helper()
	out, err := exec.Command(filepath.Join(binFolder, "coltsfoot"), args...).CombinedOutput()
	return string(out), err
}

// startPlatform starts the simulated platform and returns its address.
func startPlatform(t *testing.T) string {
	t.Helper()
	address, _ := startPlatformProcess(t)
	return address
}

// startPlatformProcess is like startPlatform. It also returns the process, for tests
// that freeze it.
func startPlatformProcess(t *testing.T) (string, *process) {
	t.Helper()
	address := freeAddress(t)
	p := start(t, "coltsfootsim", "platform", "--listen", address)
	eventually(t, "the platform responds", func() bool {
		resp, err := http.Get("http://" + address + "/v1/counts")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
	return address, p
}

func startTarget(t *testing.T, v *vm, service, version string, flags ...string) *process {
	t.Helper()
	args := []string{
		"target", "--listen", freeAddress(t), "--service", service,
		"--target-version", version, "--daemon", v.settings.Listen.Operator,
	}
	return start(t, "coltsfootsim", append(args, flags...)...)
}

// TestRequestPath sends calls through a daemon to a target in another data centre,
// right after the configuration was published. It also checks a call without a route
// and a call after the target's daemon has stopped.
func TestRequestPath(t *testing.T) {
	platform := startPlatform(t)
	a := startVM(t, "a-1", "a", platform)
	b := startVM(t, "b-1", "b", platform, a.settings.Listen.Control)
	startTarget(t, b, "renewal", "v1")
	out, err := coltsfoot(t, "publish", "--platform", "http://"+platform, "../../examples/services")
	if err != nil {
		t.Fatalf("publish: %v\n%s", err, out)
	}
	eventually(t, "a call through a daemon in another data centre succeeds", func() bool {
		status, body, err := a.call("GET", "/renewals/17", "")
		return err == nil && status == 200 && body == "renewal v1 /renewals/17 0\n"
	})
	if s, ok := a.status(); !ok || s.Revision != 1 || len(s.Members) != 2 {
		t.Errorf("status of the daemon: got %+v, want revision 1 and 2 members", s)
	}
	out, err = coltsfoot(t, "status", "--members", "--daemon", a.settings.Listen.Operator)
	if err != nil || !strings.Contains(out, "DIVERGED") || !strings.Contains(out, "renewal") {
		t.Errorf("coltsfoot status --members: %v\n%s", err, out)
	}
	status, body, err := a.call("POST", "/renewals/payments", "12 euro")
	if err != nil || status != 200 || body != "renewal v1 /renewals/payments 7\n" {
		t.Errorf("POST of a payment: got status %d, body %q, error %v; want status 200 from renewal v1", status, body, err)
	}
	status, body, err = a.call("GET", "/nowhere", "")
	if err != nil || status != 404 || !strings.Contains(body, `"verdict":"not-run"`) {
		t.Errorf("call without a route: got status %d, body %q, error %v; want status 404 and verdict not-run", status, body, err)
	}
	b.daemon.signal(t, syscall.SIGTERM)
	status, body, err = a.call("GET", "/renewals/17", "")
	if err != nil || status != 503 || !strings.Contains(body, `"verdict":"not-run"`) {
		t.Errorf("call without a target: got status %d, body %q, error %v; want status 503 and verdict not-run", status, body, err)
	}
}

func TestBadPublishChangesNothing(t *testing.T) {
	platform := startPlatform(t)
	bad := t.TempDir()
	file := `{"name":"a","versions":[{"name":"v1","share":100}],"routes":[{"path":"/a"}],"needs":["gone"]}`
	if err := os.WriteFile(filepath.Join(bad, "a.json"), []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := coltsfoot(t, "publish", "--platform", "http://"+platform, bad)
	if err == nil || !strings.Contains(out, `needs "gone"`) {
		t.Errorf("publish of a file that needs an unknown service: got error %v, output %s", err, out)
	}
	out, err = coltsfoot(t, "publish", "--platform", "http://"+platform, "../../examples/services")
	if err != nil || !strings.Contains(out, "revision 1 committed") {
		t.Errorf("publish after a rejected one: got error %v, output %s; want revision 1", err, out)
	}
}
