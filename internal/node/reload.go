package node

import (
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

// Reload applies settings that were read again, or logs the error err of reading them.
// Only the log level changes while the node runs; all other changes need a restart.
func (n *Node) Reload(next *pb.NodeSettings, err error) {
	if err != nil {
		n.logger.Error("settings not reloaded", zap.Error(err))
		return
	}
	if err := n.level.UnmarshalText([]byte(next.GetLogLevel())); err != nil {
		n.logger.Error("log level not changed", zap.Error(err))
	}
	withCurrentLevel := proto.CloneOf(next)
	withCurrentLevel.LogLevel = n.settings.GetLogLevel()
	n.logger.Info("settings reloaded", zap.String("log_level", next.GetLogLevel()),
		zap.Bool("needs_restart", !proto.Equal(withCurrentLevel, n.settings)))
}
