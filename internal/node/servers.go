package node

import (
	"encoding/json"
	"log"
	"net/http"
	"net/http/pprof"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/ctl"
	"github.com/egretfield/egretfield/internal/gate"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// configDigestName is the name of the configuration's digest in gossip.
const configDigestName = "config"

// register offers the node's services to control calls and lets the
// configuration ride on gossip.
func (n *Node) register(Options) error {
	if err := n.members.Register(n.control); err != nil {
		return err
	}
	if n.keeper != nil {
		if err := n.keeper.Register(n.control); err != nil {
			return err
		}
	}
	receivers := map[string]any{
		configlog.ServiceName: configlog.NewRPC(n.follower, configlog.NewPublisher(n.log, n.follower)),
		gate.RPCName:          gate.RPC{Gate: n.gate},
		ctl.StatusServiceName: ctl.NewStatusRPC(&status{node: n}),
	}
	for name, receiver := range receivers {
		if err := n.control.RegisterName(name, receiver); err != nil {
			return err
		}
	}
	n.members.AddDigest(configDigestName, n.configDigest, n.takeConfigDigest)
	return nil
}

// configDigest encodes how far this node has folded the configuration.
func (n *Node) configDigest() []byte {
	data, err := proto.Marshal(n.follower.Digest())
	if err != nil {
		return nil
	}
	return data
}

// takeConfigDigest hands another node's digest to the follower.
func (n *Node) takeConfigDigest(addr string, data []byte, asked time.Time) {
	digest := &pb.ConfigDigest{}
	if err := proto.Unmarshal(data, digest); err != nil {
		return
	}
	n.follower.OnDigest(addr, digest)
	if !asked.IsZero() {
		n.follower.OnAnswer(digest, asked)
	}
}

// makeServers makes the HTTP servers; Run starts them.
func (n *Node) makeServers(options Options) error {
	n.callerHTTP = wire.NewServer(n.entry)
	n.gateHTTP = wire.NewServer(n.gate)
	for _, server := range []*http.Server{n.callerHTTP, n.gateHTTP} {
		server.ErrorLog = quietLog(n.logger)
	}
	n.announceHTTP = newHTTPServer(n.announceHandler(), n.logger.Named("announce"))
	if n.platform != nil {
		n.readyHTTP = newHTTPServer(n.platform.ReadyHandler(n.takesCallers), n.logger.Named("ready"))
	}
	n.opsHTTP = newHTTPServer(n.opsHandler(options), n.logger.Named("ops"))
	return nil
}

// announceHandler serves the announcements of the backend server.
func (n *Node) announceHandler() http.Handler {
	if n.platform != nil {
		return n.platform.AnnounceHandler(n.receiver, n.logger.Named("announce"))
	}
	return n.receiver.Handler()
}

// newHTTPServer returns a server with the limits on what arrives.
func newHTTPServer(handler http.Handler, logger *zap.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          quietLog(logger),
	}
}

// quietLog drops net/http's lines about single connections; counters show them.
func quietLog(logger *zap.Logger) *log.Logger {
	return zap.NewStdLog(logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
}

// opsHandler serves health, readiness, metrics, the log level and profiles.
func (n *Node) opsHandler(options Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.Handle("GET "+n.settings.GetMetricsPath(), options.Metrics.Handler())
	mux.Handle("/log-level", options.Level)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

// readyAnswer is the body of /readyz.
type readyAnswer struct {
	Ready   bool          `json:"ready"`
	Reasons []readyReason `json:"reasons,omitempty"`
}

// readyReason is one thing that the node waits for.
type readyReason struct {
	Part    string `json:"part"`
	Message string `json:"message"`
}

// serveReady answers 200 when the node takes requests, else 503 and why not.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := n.ready()
	answer := readyAnswer{Ready: state.GetReady()}
	for _, reason := range state.GetReasons() {
		answer.Reasons = append(answer.Reasons, readyReason{reason.GetPart(), reason.GetMessage()})
	}
	w.Header().Set("Content-Type", "application/json")
	if !answer.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		n.logger.Debug("ready", zap.Error(err))
	}
}
