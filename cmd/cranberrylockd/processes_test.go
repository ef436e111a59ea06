package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crladmin"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// stepTimeout bounds each wait for a condition.
const stepTimeout = 30 * time.Second

// deployment is a set of running processes: the stand-ins and some daemons.
type deployment struct {
	t           *testing.T
	platformURL string
	content     []byte // configuration with the addresses of the stand-ins
	bin         string // directory of the programs
	daemons     []*process
}

// process is the process of one daemon.
type process struct {
	crlfake.DaemonAddresses
	settings string // path of the settings file
	command  *exec.Cmd
	link     *tcpProxy // connection of the daemon to the platform
}

// build compiles the programs into a directory that is removed at the end of the test, and returns the directory.
func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/",
		"../cranberrylockd", "../cranberrylock-standins", "../cranberrylockctl").CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return bin
}

// startDeployment starts the stand-ins and n daemons, and waits until the configuration is in force at every daemon.
func startDeployment(t *testing.T, n int) *deployment {
	t.Helper()
	d := &deployment{t: t, bin: build(t)}
	directory := t.TempDir()
	out := filepath.Join(directory, "configuration.ini")
	standins := exec.Command(filepath.Join(d.bin, "cranberrylock-standins"), "--configuration", "../../examples/demo.ini",
		"--platform", "127.0.0.1:0", "--any-port", "--out", out)
	stdout, err := standins.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	start(t, standins)
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		t.Fatalf("read the platform's URL from cranberrylock-standins: %v", err)
	}
	d.platformURL = strings.TrimSpace(strings.TrimPrefix(line, "platform "))
	if d.content, err = os.ReadFile(out); err != nil {
		t.Fatal(err)
	}
	d.startDaemons(directory, n)
	d.applyInitial()
	return d
}

// startDaemons writes the settings files of n daemons into a directory and starts the daemons.
func (d *deployment) startDaemons(directory string, n int) {
	d.t.Helper()
	configuration, err := crlconfig.Parse("configuration", d.content)
	if err != nil {
		d.t.Fatal(err)
	}
	var domains []crlid.Domain
	for id := range configuration.Domains {
		domains = append(domains, id)
	}
	addresses, err := crlfake.FreeDaemonAddresses(n, domains)
	if err != nil {
		d.t.Fatal(err)
	}
	for _, a := range addresses {
		path := filepath.Join(directory, string(a.Name)+".ini")
		link := startProxy(d.t, strings.TrimPrefix(d.platformURL, "http://"))
		content := crlfake.SettingsFile(a, addresses, "http://"+link.listener.Addr().String(), "drain-delay = 100ms")
		if err := os.WriteFile(path, content, 0o600); err != nil {
			d.t.Fatal(err)
		}
		p := &process{DaemonAddresses: a, settings: path, link: link}
		d.startDaemon(p)
		d.daemons = append(d.daemons, p)
	}
}

// startDaemon starts the process of a daemon, for the first time or after its previous process ended.
func (d *deployment) startDaemon(p *process) {
	d.t.Helper()
	p.command = exec.Command(filepath.Join(d.bin, "cranberrylockd"), "--settings", p.settings)
	start(d.t, p.command)
}

// start starts a command. If the command is still running at the end of the test, start kills just its process.
func start(t *testing.T, command *exec.Cmd) {
	t.Helper()
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if command.ProcessState == nil {
			_ = command.Process.Kill()
			_ = command.Wait()
		}
	})
}

// applyInitial publishes the configuration and waits until every daemon is ready.
func (d *deployment) applyInitial() {
	d.t.Helper()
	d.publish("initial", d.content)
	for _, p := range d.daemons {
		eventually(d.t, "the configuration is in force at "+string(p.Name), func() bool { return d.status(p).Ready })
	}
}

// publish publishes a configuration through the first daemon, whichever configuration is in force, and returns a time just after
// its acceptance.
func (d *deployment) publish(id string, content []byte) (accepted time.Time) {
	d.t.Helper()
	body, err := json.Marshal(crlconfig.Publication{ID: id, Force: true, Content: content})
	if err != nil {
		d.t.Fatal(err)
	}
	eventually(d.t, "the configuration is accepted", func() bool {
		response, err := http.Post("http://"+d.daemons[0].Admin+"/admin/configuration", "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return time.Now()
}

// status returns the status of a daemon, or a zero status when it does not answer.
func (d *deployment) status(p *process) crladmin.Status {
	var status crladmin.Status
	response, err := http.Get("http://" + p.Admin + "/admin/status")
	if err != nil {
		return status
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&status)
	return status
}

// sendFiling sends a request of the plain service "filing", which must run once per key, and returns the response's status and
// body.
func (d *deployment) sendFiling(p *process, key, body string) (int, string) {
	d.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+p.Listen+"/v1/services/filing", strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer key-firm-a")
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// runsOf returns how often the backend servers ran requests with the idempotency key.
func (d *deployment) runsOf(key string) int {
	d.t.Helper()
	n := 0
	for _, r := range d.backendRuns() {
		if r.Key == key {
			n++
		}
	}
	return n
}

// eventually repeats the check of a condition until it holds, and fails the test if it does not within stepTimeout.
func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("condition %q not met within %s", condition, stepTimeout)
}

// TestProcessesFilingRunsOnce checks that a filing runs once though its daemon is killed and it is sent again to others: they
// return the recorded answer, and refuse another body under the same idempotency key.
func TestProcessesFilingRunsOnce(t *testing.T) {
	d := startDeployment(t, 3)
	status, first := d.sendFiling(d.daemons[0], "filing-1", `{"entry":1}`)
	if status != http.StatusOK {
		t.Fatalf("first filing: status %d: %s", status, first)
	}
	if err := d.daemons[0].command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	for _, p := range d.daemons[1:] {
		if status, text := d.sendFiling(p, "filing-1", `{"entry":1}`); status != http.StatusOK || text != first {
			t.Errorf("%s: status %d: %s, want the recorded answer %s", p.Name, status, text, first)
		}
		if status, text := d.sendFiling(p, "filing-1", `{"entry":2}`); status != http.StatusUnprocessableEntity {
			t.Errorf("%s: another body under the same key: status %d: %s", p.Name, status, text)
		}
	}
	if n := d.runsOf("filing-1"); n != 1 {
		t.Errorf("the filing ran %d times, want 1", n)
	}
}

// TestProcessesGracefulStopCutsNothing checks that a daemon that receives SIGTERM completes a stream that is open, then exits.
func TestProcessesGracefulStopCutsNothing(t *testing.T) {
	d := startDeployment(t, 2)
	stopped := d.daemons[0]
	request, err := http.NewRequest(http.MethodPost, "http://"+stopped.Listen+"/v1/chat/completions",
		strings.NewReader(`{"model":"auto","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer key-firm-a")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := stopped.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		t.Fatalf("the stream was cut (%v) after: %s", err, body)
	}
	if err := stopped.command.Wait(); err != nil {
		t.Fatalf("graceful stop: %v", err)
	}
}
