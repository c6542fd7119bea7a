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
	"github.com/egretfield/egretfield/internal/pipeline"
	"github.com/egretfield/egretfield/internal/wire"
)

// configDigestName is the name of the configuration digest in gossip.
const configDigestName = "config"

// registerRPC registers the node's RPC services with the control server and adds the
// configuration digest to gossip.
func (n *Node) registerRPC(Options) error {
	if err := n.members.Register(n.controlServer); err != nil {
		return err
	}
	if n.keeper != nil {
		if err := n.keeper.Register(n.controlServer); err != nil {
			return err
		}
	}
	receivers := map[string]any{
		configlog.RPCName: configlog.NewRPC(n.follower, configlog.NewPublisher(n.log, n.follower)),
		gate.RPCName:      gate.RPC{Gate: n.gate},
		ctl.StatusRPCName: ctl.NewStatusRPC(&status{node: n}),
	}
	for name, receiver := range receivers {
		if err := n.controlServer.RegisterName(name, receiver); err != nil {
			return err
		}
	}
	n.members.AddDigest(configDigestName, n.configDigest, n.onConfigDigest)
	return nil
}

// configDigest returns the encoded digest of this node's configuration; nil: none.
func (n *Node) configDigest() []byte {
	data, err := proto.Marshal(n.follower.Digest())
	if err != nil {
		return nil
	}
	return data
}

// onConfigDigest passes another node's digest to the follower. asked is when this node
// requested it, or zero for a digest that wasn't requested.
func (n *Node) onConfigDigest(addr string, data []byte, asked time.Time) {
	digest := &pb.ConfigDigest{}
	if err := proto.Unmarshal(data, digest); err != nil {
		return
	}
	n.follower.OnDigest(addr, digest)
	if !asked.IsZero() {
		n.follower.OnDigestReply(digest, asked)
	}
}

// makeHTTPServers creates the HTTP servers. Run starts them.
func (n *Node) makeHTTPServers(options Options) error {
	n.callerHTTP = pipeline.NewServer(n.entry, pipeline.Options{
		Depth:       int(n.settings.GetPipelining().GetDepth()),
		Concurrent:  int(n.settings.GetPipelining().GetConcurrent()),
		UnreadBytes: int(n.settings.GetPipelining().GetUnreadKib()) << 10,
		AnswerBytes: int(n.settings.GetPipelining().GetAnswerKib()) << 10,
		Limits:      n.entry.CallerLimits,
		Logger:      n.logger.Named("callers"),
		Meter:       options.Metrics.Meter(),
	})
	n.gateHTTP = wire.NewServer(n.gate)
	n.gateHTTP.ErrorLog = discardLog(n.logger)
	n.announceHTTP = newHTTPServer(n.announceHandler(), n.logger.Named("announce"))
	if n.platform != nil {
		n.readyHTTP = newHTTPServer(n.platform.ReadyHandler(n.acceptsCallers), n.logger.Named("ready"))
	}
	n.opsHTTP = newHTTPServer(n.opsHandler(options), n.logger.Named("ops"))
	return nil
}

// announceHandler returns the handler of the backend server's announcements.
func (n *Node) announceHandler() http.Handler {
	if n.platform != nil {
		return n.platform.AnnounceHandler(n.receiver, n.logger.Named("announce"))
	}
	return n.receiver.Handler()
}

// newHTTPServer returns a server with timeouts and a limit on headers.
func newHTTPServer(handler http.Handler, logger *zap.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          discardLog(logger),
	}
}

// discardLog returns a logger that drops net/http's messages about single connections,
// which are counted in metrics.
func discardLog(logger *zap.Logger) *log.Logger {
	return zap.NewStdLog(logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
}

// opsHandler returns the handler of health, readiness, metrics, log level and profiles.
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

// readyBody is the response body of /readyz.
type readyBody struct {
	Ready   bool          `json:"ready"`
	Reasons []readyReason `json:"reasons,omitempty"`
}

// readyReason is one reason why the node isn't ready.
type readyReason struct {
	Part    string `json:"part"`
	Message string `json:"message"`
}

// serveReady responds with 200 when the node is ready, else with 503 and the reasons.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := n.ready()
	body := readyBody{Ready: state.GetReady()}
	for _, reason := range state.GetReasons() {
		body.Reasons = append(body.Reasons, readyReason{reason.GetPart(), reason.GetMessage()})
	}
	w.Header().Set("Content-Type", "application/json")
	if !body.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.logger.Debug("ready", zap.Error(err))
	}
}
