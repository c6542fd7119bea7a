package node

import (
	"crypto/tls"
	"encoding/json"
	"net"
	"os"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/certs"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// sockets holds the listeners of a node.
type sockets struct {
	caller, gate, control, announce, ops net.Listener
	// ready is nil without a platform.
	ready net.Listener
	// offers receives datagrams at the control address.
	offers net.PacketConn
	// callerTLS is caller, wrapped in TLS when the settings name a certificate.
	callerTLS net.Listener
}

// openSockets listens on every address of the settings.
func openSockets(settings *pb.NodeSettings) (*sockets, error) {
	s := &sockets{}
	type socket struct {
		name    string
		address string
		target  *net.Listener
	}
	wanted := []socket{
		{"caller_address", settings.GetCallerAddress(), &s.caller},
		{"gate_address", settings.GetGateAddress(), &s.gate},
		{"control_address", settings.GetControlAddress(), &s.control},
		{"announce_address", settings.GetAnnounceAddress(), &s.announce},
		{"ops_address", settings.GetOpsAddress(), &s.ops},
	}
	if platform := settings.GetPlatform(); platform != nil {
		wanted = append(wanted, socket{"platform.ready_address", platform.GetReadyAddress(), &s.ready})
	}
	for _, spec := range wanted {
		listener, err := net.Listen("tcp", spec.address)
		if err != nil {
			s.close()
			return nil, eris.Wrap(err, spec.name)
		}
		*spec.target = listener
	}
	offers, err := net.ListenPacket("udp", s.control.Addr().String())
	if err != nil {
		s.close()
		return nil, eris.Wrap(err, "control_address")
	}
	s.offers = offers
	s.caller, s.gate = wire.NewSocketListener(s.caller), wire.NewSocketListener(s.gate)
	return s, s.wrapCallerTLS(settings.GetCallerTls())
}

// wrapCallerTLS sets callerTLS, with TLS when the settings name a certificate. It closes
// all sockets on error.
func (s *sockets) wrapCallerTLS(settings *pb.TlsSettings) error {
	s.callerTLS = s.caller
	if settings.GetCertFile() == "" {
		return nil
	}
	config, err := certs.ServerConfig(settings)
	if err != nil {
		s.close()
		return err
	}
	s.callerTLS = tls.NewListener(s.caller, config)
	return nil
}

// close closes all open sockets.
func (s *sockets) close() {
	for _, listener := range []net.Listener{s.caller, s.gate, s.control, s.announce, s.ops, s.ready} {
		if listener != nil {
			listener.Close()
		}
	}
	if s.offers != nil {
		s.offers.Close()
	}
}

// Addresses holds the addresses that a node listens on.
type Addresses struct {
	Caller   string `json:"caller"`
	Gate     string `json:"gate"`
	Control  string `json:"control"`
	Announce string `json:"announce"`
	Ops      string `json:"ops"`
}

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Caller:   n.sockets.caller.Addr().String(),
		Gate:     n.sockets.gate.Addr().String(),
		Control:  n.sockets.control.Addr().String(),
		Announce: n.sockets.announce.Addr().String(),
		Ops:      n.sockets.ops.Addr().String(),
	}
}

// WriteAddresses writes the addresses to a file as JSON, atomically.
func (n *Node) WriteAddresses(path string) error {
	data, err := json.Marshal(n.Addresses())
	if err != nil {
		return eris.Wrap(err, "addresses")
	}
	if err := os.WriteFile(path+".new", data, 0o644); err != nil {
		return eris.Wrap(err, "addresses")
	}
	return eris.Wrap(os.Rename(path+".new", path), "addresses")
}
