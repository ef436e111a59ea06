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

// stepTimeout bounds each wait of the tests with processes.
const stepTimeout = 30 * time.Second

// site is a running set of processes: stand-ins and daemons.
type deployment struct {
	t           *testing.T
	platformURL string
	content     []byte
	bin         string
	daemons     []*process
}

// process is one daemon's process.
type process struct {
	crlfake.DaemonAddresses
	settings string
	command  *exec.Cmd
	link     *tcpProxy // link is the daemon's way to the platform.
}

// build compiles the programs once for a test.
func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "../cranberrylockd", "../cranberrylock-standins", "../cranberrylockctl").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// startSite starts the stand-ins and n daemons and puts the configuration in force.
func startDeployment(t *testing.T, n int) *deployment {
	t.Helper()
	s := &deployment{t: t, bin: build(t)}
	directory := t.TempDir()
	out := filepath.Join(directory, "configuration.ini")
	standins := exec.Command(filepath.Join(s.bin, "cranberrylock-standins"), "--configuration", "../../examples/demo.ini",
		"--platform", "127.0.0.1:0", "--any-port", "--out", out)
	stdout, err := standins.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	start(t, standins)
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		t.Fatalf("stand-ins: %v", err)
	}
	s.platformURL = strings.TrimSpace(strings.TrimPrefix(line, "platform "))
	if s.content, err = os.ReadFile(out); err != nil {
		t.Fatal(err)
	}
	s.startDaemons(directory, n)
	s.applyInitial()
	return s
}

func (s *deployment) startDaemons(directory string, n int) {
	s.t.Helper()
	configuration, err := crlconfig.Parse("configuration", s.content)
	if err != nil {
		s.t.Fatal(err)
	}
	var domains []crlid.Domain
	for id := range configuration.Domains {
		domains = append(domains, id)
	}
	addresses, err := crlfake.FreeDaemonAddresses(n, domains)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, a := range addresses {
		path := filepath.Join(directory, string(a.Name)+".ini")
		link := startProxy(s.t, strings.TrimPrefix(s.platformURL, "http://"))
		content := crlfake.SettingsFile(a, addresses, "http://"+link.listener.Addr().String(), "drain-delay = 100ms")
		if err := os.WriteFile(path, content, 0o600); err != nil {
			s.t.Fatal(err)
		}
		p := &process{DaemonAddresses: a, settings: path, link: link}
		s.startDaemon(p)
		s.daemons = append(s.daemons, p)
	}
}

func (s *deployment) startDaemon(p *process) {
	s.t.Helper()
	p.command = exec.Command(filepath.Join(s.bin, "cranberrylockd"), "--settings", p.settings)
	start(s.t, p.command)
}

// start runs a command and ends it, by its id, when the test is over.
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

func (s *deployment) applyInitial() {
	s.t.Helper()
	s.publish("initial", s.content)
	for _, p := range s.daemons {
		eventually(s.t, "the configuration is in force at "+string(p.Name), func() bool { return s.status(p).Ready })
	}
}

// publish puts a configuration in force and returns when it was accepted.
func (s *deployment) publish(id string, content []byte) (accepted time.Time) {
	s.t.Helper()
	body, err := json.Marshal(crlconfig.Publication{ID: id, Force: true, Content: content})
	if err != nil {
		s.t.Fatal(err)
	}
	eventually(s.t, "the configuration is accepted", func() bool {
		response, err := http.Post("http://"+s.daemons[0].Admin+"/admin/configuration", "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return time.Now()
}

func (s *deployment) status(p *process) crladmin.Status {
	var status crladmin.Status
	response, err := http.Get("http://" + p.Admin + "/admin/status")
	if err != nil {
		return status
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&status)
	return status
}

// file sends a filing and returns its status and body.
func (s *deployment) sendFiling(p *process, key, body string) (int, string) {
	s.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+p.Listen+"/v1/services/filing", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
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

// runs returns how often the backend servers ran a key.
func (s *deployment) runsOf(key string) int {
	s.t.Helper()
	n := 0
	for _, r := range s.backendRuns() {
		if r.Key == key {
			n++
		}
	}
	return n
}

// eventually repeats a check until it holds.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("%s: not within %s", what, stepTimeout)
}

func TestProcessesFilingRunsOnce(t *testing.T) {
	s := startDeployment(t, 3)
	status, first := s.sendFiling(s.daemons[0], "filing-1", `{"entry":1}`)
	if status != http.StatusOK {
		t.Fatalf("first filing: status %d: %s", status, first)
	}
	if err := s.daemons[0].command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	for _, p := range s.daemons[1:] {
		if status, text := s.sendFiling(p, "filing-1", `{"entry":1}`); status != http.StatusOK || text != first {
			t.Errorf("%s: status %d: %s, want the recorded answer %s", p.Name, status, text, first)
		}
		if status, text := s.sendFiling(p, "filing-1", `{"entry":2}`); status != http.StatusUnprocessableEntity {
			t.Errorf("%s: another body under the same key: status %d: %s", p.Name, status, text)
		}
	}
	if n := s.runsOf("filing-1"); n != 1 {
		t.Errorf("the filing ran %d times, want 1", n)
	}
}

func TestProcessesGracefulStopCutsNothing(t *testing.T) {
	s := startDeployment(t, 2)
	leaver := s.daemons[0]
	request, err := http.NewRequest(http.MethodPost, "http://"+leaver.Listen+"/v1/chat/completions",
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
	if err := leaver.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		t.Fatalf("the stream was cut (%v) after: %s", err, body)
	}
	if err := leaver.command.Wait(); err != nil {
		t.Fatalf("graceful stop: %v", err)
	}
}
