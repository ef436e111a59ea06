package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Offsets of a router's ports from its first one.
const (
	frontPort = iota
	readinessPort
	controlPort
	firstInnerPort // of portRange
	innerPorts     = 8
)

// firstStart is the time by which the first router starts before the others, so that it is the first member of the group.
const firstStart = 150 * time.Millisecond

// router is one process of the program that the deploy file names.
type router struct {
	name, zone, ip string
	port           int
	settings       string // path of its settings file
	log            string // path of its output
	process        *exec.Cmd
	exited         chan struct{}
	rec            *recorder
}

func (r *router) address(port int) string { return fmt.Sprintf("%s:%d", r.ip, r.port+port) }

// freePort returns a port from which on enough ports are free on all addresses.
func freePort(ips []string) int {
	for port := 21000 + os.Getpid()%2000*16; port < 60000; port += 16 {
		if allFree(ips, port) {
			return port
		}
	}
	panic(cannotRun{fmt.Errorf("no free ports")})
}

func allFree(ips []string, port int) bool {
	for _, ip := range ips {
		for p := port; p < port+firstInnerPort+innerPorts; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// startRouters starts routers in the given zones, with settings like those of the deployment in Montevideo.
func (w *world) startRouters(zones ...string) {
	var ips, seeds []string
	for n := range zones {
		ips = append(ips, fmt.Sprintf("127.0.1.%d", n+1))
	}
	port := freePort(ips)
	for _, ip := range ips[:min(len(ips), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, port+controlPort)))
	}
	for n, zone := range zones {
		seeds := seeds
		if w.linkDelay > 0 && n == 0 {
			seeds = seeds[:1:1]
			for _, ip := range ips[1:min(len(ips), 3)] {
				seeds = append(seeds, fmt.Sprintf("%q", delayed(fmt.Sprintf("%s:%d", ip, port+controlPort), w.linkDelay)))
			}
		}
		r := &router{name: fmt.Sprintf("edge-%d", n+1), zone: zone, ip: ips[n], port: port, rec: w.rec}
		r.settings, r.log = filepath.Join(w.temporary, r.name+".toml"), filepath.Join(w.temporary, r.name+".log")
		must(os.WriteFile(r.settings, []byte(r.settingsText(w.store.serve(r.name), strings.Join(seeds, ","))), 0o600))
		w.routers = append(w.routers, r)
		r.start()
		if n == 0 {
			time.Sleep(firstStart)
		}
	}
	for _, r := range w.routers {
		r.waitReady()
	}
}

func (r *router) settingsText(store, seeds string) string {
	return fmt.Sprintf(`node = %q
role = "router"
machineClass = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = "mvd"
portRange = [%d,%d]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[listen]
front = %q
readiness = %q
control = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
stretchMs = 5000
strictRevoke = true
revokeMs = 5000
budgetRatio = 0.9
budgetWindowS = 10
budgetSlack = 52
exposeShare = 0.15
exposeSlack = 30
rollbackMs = 5000
coldOver = 1.5
coldSlack = 5
evacuateMs = 5000
recoverS = 12
passMs = 120
reuseWindowS = 10
sessionS = 5
[platform]
addr = %q
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
keep_s = 300
ttlMinMs = 1000
`, r.name, r.ip, r.zone, r.port+firstInnerPort, r.port+firstInnerPort+innerPorts-1, seeds, r.address(frontPort), r.address(readinessPort),
		r.address(controlPort), store)
}

// start starts the process with the command of the deploy file.
func (r *router) start() {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = log.Close() }()
	r.process = exec.Command("target/cranberrylock-router")
	r.process.Env = []string{"CRANBERRYLOCK_NODE_FILE=" + r.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	r.process.Stdout, r.process.Stderr = log, log
	r.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(r.process.Start())
	r.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		close(exited)
	}(r.process, r.exited)
	r.rec.say("router %s starts, process %d", r.name, r.process.Process.Pid)
}

func (r *router) signal(s syscall.Signal) {
	r.rec.say("router %s gets signal %v", r.name, s)
	_ = r.process.Process.Signal(s)
}

func (r *router) kill() {
	if r.process == nil {
		return
	}
	_ = r.process.Process.Signal(syscall.SIGKILL)
	<-r.exited
}

func (r *router) waitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if response, err := http.Get("http://" + r.address(readinessPort) + "/readyz"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.rec.say("router %s is ready", r.name)
				return
			}
		}
	}
	panic(cannotRun{fmt.Errorf("router %s isn't ready after 15 s", r.name)})
}
