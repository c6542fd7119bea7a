package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/egretfield/egretfield/platform/platformtest"
)

// Bounds of the smallest deployment of the users' pages.
const (
	heartbeat   = 1500 * time.Millisecond
	drainBound  = 2500 * time.Millisecond
	configApply = 2500 * time.Millisecond
	touchWindow = 3 * time.Second
)

// Ports of a node on its loopback address.
const (
	portInbound  = 8300
	portServer   = 8301
	portReady    = 8302
	portOutbound = 8304
	portControl  = 8306
	portInternal = 7620
	portOps      = 9464
)

const healthPath = "/healthz"

const (
	binary       = "target/egretnode"
	templateFile = "deploy/node.yaml.tmpl"
	readyTimeout = 25 * time.Second
)

// env is the deployment of one case.
type env struct {
	// trouble reports whether the disruption takes place.
	trouble bool
	started time.Time
	record  *os.File
	temp    string
	// subnet is the prefix of the loopback addresses of this run.
	subnet       string
	storeAddress string
	store        *platformtest.Store
	// storeLink is the network between the nodes and the store.
	storeLink *link
	// maxHeaderBytes is a limit of the configurations that the operator publishes.
	maxHeaderBytes int
	machines       []*machine

	recordMu sync.Mutex
	closers  []func()
}

// machine is a node with the backend server beside it.
type machine struct {
	name, ip, zone, service string
	node                    *exec.Cmd
	server                  *server
}

func newEnv(directory string, trouble bool) (*env, error) {
	for _, file := range []string{binary, templateFile} {
		if _, err := os.Stat(file); err != nil {
			return nil, fmt.Errorf("run the build of deploy/system.toml in the repository root first: %w", err)
		}
	}
	record, err := os.Create(filepath.Join(directory, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "egretfield-review-")
	if err != nil {
		return nil, err
	}
	e := &env{trouble: trouble, started: time.Now(), record: record, temp: temp, store: platformtest.NewStore(), maxHeaderBytes: 16 << 10}
	if e.subnet, err = freeSubnet(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", e.subnet+"250:0")
	if err != nil {
		return nil, err
	}
	store := &http.Server{Handler: e.store}
	go func() { _ = store.Serve(listener) }()
	e.closers = append(e.closers, func() { _ = store.Close() })
	if e.storeLink, err = newLink(e.subnet+"251:0", listener.Addr().String()); err != nil {
		return nil, err
	}
	e.closers = append(e.closers, e.storeLink.close)
	e.storeAddress = e.storeLink.address()
	e.logf("disruption: %v", trouble)
	return e, nil
}

// freeSubnet returns a loopback prefix on which nothing listens at a node's ports.
func freeSubnet() (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if isFree(subnet+"1") && isFree(subnet+"2") {
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func isFree(ip string) bool {
	for _, port := range []int{portInbound, portServer, portReady, portOutbound, portControl, portInternal, portOps} {
		listener, err := net.Listen("tcp", address(ip, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// logf writes a line to record.txt.
func (e *env) logf(format string, args ...any) {
	e.recordMu.Lock()
	defer e.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(e.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = e.record.WriteString(line)
	if strings.HasPrefix(format, "BROKEN") || strings.HasPrefix(format, "the ") {
		fmt.Print(line)
	}
}

// close ends everything that the case started.
func (e *env) close() {
	for _, m := range e.machines {
		if m.server != nil {
			m.server.close()
		}
		m.killNode()
	}
	for _, closer := range e.closers {
		closer()
	}
	_ = os.RemoveAll(e.temp)
	_ = e.record.Close()
}

// addMachine starts a backend server and the node beside it.
func (e *env) addMachine(service string) error {
	number := len(e.machines) + 1
	m := &machine{
		name:    fmt.Sprintf("machine-%d", number),
		ip:      fmt.Sprintf("%s%d", e.subnet, number),
		zone:    "taipei",
		service: service,
	}
	e.machines = append(e.machines, m)
	if err := e.startNode(m); err != nil {
		return err
	}
	var err error
	m.server, err = startServer(e, m)
	return err
}

// startNode starts a node with the command of deploy/system.toml. The settings file has
// another place, as only the platform may write to /etc.
func (e *env) startNode(m *machine) error {
	settings, err := e.settings(m)
	if err != nil {
		return err
	}
	file := filepath.Join(e.temp, m.name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.temp, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.node = exec.Command(binary, "-settings", file)
	m.node.Stdout, m.node.Stderr = log, log
	m.node.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.node.Start(); err != nil {
		return err
	}
	e.logf("%s (%s, %s): node started", m.name, m.ip, m.service)
	return nil
}

func (m *machine) killNode() {
	if m.node == nil {
		return
	}
	_ = m.node.Process.Kill()
	_ = m.node.Wait()
	m.node = nil
}

// settings fills in the template of the deploy file.
func (e *env) settings(m *machine) (string, error) {
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return "", err
	}
	text := strings.NewReplacer(
		"{{node-name}}", m.name,
		"{{region}}", "north",
		"{{zone}}", m.zone,
		"{{ip}}", m.ip,
		"{{internal-port-range.0}}", fmt.Sprint(portInternal),
		"{{listen.outbound}}", address(m.ip, portOutbound),
		"{{listen.inbound}}", address(m.ip, portInbound),
		"{{listen.control}}", address(m.ip, portControl),
		"{{listen.ready-addr}}", address(m.ip, portReady),
		"{{platform.address}}", e.storeAddress,
		"{{limits.cpu-cores}}", "1",
		"{{service}}", m.service,
		"{{app-addr}}", address(m.ip, portServer),
		"{{heartbeat}}", "1500ms",
		"{{bounds.grace}}", "6s",
		"{{bounds.retry-budget-ratio}}", "0.2",
		"{{bounds.retry-window}}", "10s",
		"{{bounds.retry-budget-slack}}", "56",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("%s has a placeholder that the case doesn't know", templateFile)
	}
	return text, nil
}

// table is a JSON object.
type table map[string]any

// route returns a route of the operator's configuration.
func route(host, prefix, kind, service, timeout string) table {
	return table{"host": host, "path-prefix": prefix, "kind": kind, "timeout": timeout,
		"target-latency": "400ms", "priority": 1, "service": service, "attempts": 2}
}

// publish writes a configuration to the store, whose return is the operator's ack.
func (e *env) publish(version int, routes map[string]table, services ...string) {
	described := table{}
	for _, service := range services {
		described[service] = table{"health-path": healthPath, "max-connections": 220, "protocol": "h1", "tls": false}
	}
	// A table always marshals.
	body, _ := json.Marshal(table{"version": version, "routes": routes, "services": described, "limits": table{
		"max-header-bytes": e.maxHeaderBytes, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"}})
	e.store.Append("keyed.op", "config", body)
	e.logf("operator: the store acknowledged version %d: %s", version, body)
}

// awaitReady waits until all nodes are ready and all servers known everywhere.
func (e *env) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range e.machines {
		for {
			answer, err := http.Get("http://" + address(m.ip, portReady) + "/v1/ready")
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// Heartbeats and membership settle, and the machines are in touch.
	time.Sleep(heartbeat + touchWindow)
	e.logf("all nodes are ready")
	return nil
}
