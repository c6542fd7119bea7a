package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/egretfield/egretfield/platform/platformtest"
)

// Ports of every machine; each machine has a loopback address of its own.
const (
	portInbound  = 8300
	portApp      = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portStore    = 8309
	portInternal = 7620
	portMetrics  = 9464
)

// Bounds of the deployments, from their sheets; stableWindow is the longest of them.
const (
	stableWindow = 4 * time.Second
	grace        = 6 * time.Second
	lossSlack    = 200 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
)

// machine is one machine: a node process and, beside it, a backend server.
type machine struct {
	env     *environment
	name    string
	ip      string
	zone    string
	service string
	server  *server
	pinger  *pinger

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// environment is a small deployment: the store and the machines.
type environment struct {
	folder   string // temporary
	target   string // the node's program
	template string
	network  string // the first three bytes of all addresses
	store    *platformtest.Store
	storeSrv *http.Server
	machines []*machine
	record   *record
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the time of the record.
func (r *record) since() time.Duration { return time.Since(r.start) }

func newEnvironment(root, recordFile string) (*environment, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "egretfield-review-")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "node.yaml.tmpl"))
	if err != nil {
		return nil, err
	}
	env := &environment{
		folder:   folder,
		target:   filepath.Join(root, "target", "egretnode"),
		template: string(template),
		record:   &record{file: file, start: time.Now()},
	}
	if _, err := os.Stat(env.target); err != nil {
		return nil, fmt.Errorf("build the node with the deploy file first: %w", err)
	}
	if env.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	return env, env.startStore()
}

// freeNetwork returns a part of 127.0.0.0/8 in which the ports of the deployment are free.
func freeNetwork() (string, error) {
	for i := range 200 {
		n := (os.Getpid() + 7*i) % 50000
		network := fmt.Sprintf("127.%d.%d.", 20+n/250, 1+n%250)
		free := true
		for _, port := range []int{portInbound, portApp, portReady, portOutbound, portControl, portInternal, portMetrics, portStore} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", network, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (e *environment) storeAddress() string { return fmt.Sprintf("%s250:%d", e.network, portStore) }

func (e *environment) startStore() error {
	e.store = platformtest.NewStore()
	listener, err := net.Listen("tcp", e.storeAddress())
	if err != nil {
		return err
	}
	e.storeSrv = &http.Server{Handler: e.store}
	go e.storeSrv.Serve(listener)
	return nil
}

// route is one route of the configuration.
type route struct {
	Host    string `json:"host"`
	Prefix  string `json:"path-prefix"`
	Kind    string `json:"kind"`
	Timeout string `json:"timeout"`
	Target  string `json:"target-latency"`
	Rank    int    `json:"priority"`
	Service string `json:"service"`
	Tries   int    `json:"attempts"`
}

// maxHeaderBytes is `max-header-bytes` as the pages show it.
const maxHeaderBytes = 16384

// publish writes a configuration as the operator does.
func (e *environment) publish(version int, routes map[string]route) {
	e.publishLimits(version, routes, maxHeaderBytes)
}

// publishLimits is publish with a limit of its own for consumers' headers.
func (e *environment) publishLimits(version int, routes map[string]route, maxHeaderBytes int) {
	services := map[string]any{}
	for _, r := range routes {
		services[r.Service] = map[string]any{"health-path": "/healthz", "max-connections": 240, "protocol": "h1", "tls": false}
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": maxHeaderBytes, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
	})
	e.store.Append("keyed.op", "config", value)
	e.record.logf("operator: configuration %d is written, with %d routes and max-header-bytes %d", version, len(routes), maxHeaderBytes)
}

// addMachine adds a machine with a server of a service and starts both.
func (e *environment) addMachine(zone, service string) (*machine, error) {
	n := len(e.machines) + 1
	m := &machine{env: e, name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: fmt.Sprintf("%s%d", e.network, n), zone: zone, service: service}
	e.machines = append(e.machines, m)
	var err error
	if m.server, err = startServer(m, fmt.Sprintf("i-%08x", 0x5eed0000+n)); err != nil {
		return nil, err
	}
	if err := m.startNode(); err != nil {
		return nil, err
	}
	m.pinger = startPinger(m)
	return m, nil
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings are the fields by which the platform fills the project's template.
func (m *machine) settings() map[string]string {
	return map[string]string{
		"node-name": m.name, "region": "north", "zone": m.zone, "ip": m.ip, "service": m.service,
		"app-addr": m.address(portApp), "heartbeat": heartbeat.String(),
		"listen.outbound": m.address(portOutbound), "listen.inbound": m.address(portInbound),
		"listen.control": m.address(portControl), "listen.ready-addr": m.address(portReady),
		"internal-port-range.0": fmt.Sprint(portInternal), "platform.address": m.env.storeAddress(),
		"limits.cpu-cores": "1", "bounds.grace": "6s",
		"bounds.retry-budget-ratio": "0.2", "bounds.retry-window": "10s", "bounds.retry-budget-slack": "60",
	}
}

var (
	absentSection = regexp.MustCompile(`(?s)\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}\n?`)
	placeholder   = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// fill fills the template. The deployment has none of the bounds that sections ask for.
func fill(template string, settings map[string]string) (string, error) {
	var missing []string
	text := placeholder.ReplaceAllStringFunc(absentSection.ReplaceAllString(template, ""), func(field string) string {
		value, ok := settings[strings.Trim(field, "{}")]
		if !ok {
			missing = append(missing, field)
		}
		return value
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("the template has fields that are not set: %v", missing)
	}
	return text, nil
}

// startNode starts the node process as the deploy file says.
func (m *machine) startNode() error {
	text, err := fill(m.env.template, m.settings())
	if err != nil {
		return err
	}
	file := filepath.Join(m.env.folder, m.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.env.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(m.env.target, "-settings", file)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = command.Wait(); log.Close(); close(exited) }()
	m.mu.Lock()
	m.process, m.exited = command, exited
	m.mu.Unlock()
	m.env.record.logf("%s: node process started", m.name)
	return nil
}

// signal sends a signal to the node process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.env.record.logf("%s: %s to the node process", m.name, s)
	_ = m.process.Process.Signal(s)
}

// exitedChannel returns a channel that is closed when the node process has ended.
func (m *machine) exitedChannel() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exited
}

// ready asks the node as the platform does.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + m.address(portReady) + "/v1/ready")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready and have seen each other's servers.
func (e *environment) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range e.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(stableWindow + 2*time.Second)
	e.record.logf("all nodes are ready")
	return nil
}

// close ends all processes that the case started.
func (e *environment) close() {
	for _, m := range e.machines {
		if m.pinger != nil {
			m.pinger.stop()
		}
		m.mu.Lock()
		if m.process != nil {
			_ = m.process.Process.Kill()
		}
		exited := m.exited
		m.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	_ = e.storeSrv.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.folder)
	} else {
		fmt.Fprintln(os.Stderr, "kept:", e.folder)
	}
	e.record.file.Close()
}
