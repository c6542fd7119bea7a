// Package ctl implements egretctl, the operators' command-line tool: its commands, their
// output and exit codes. It also has the RPC service by which a node answers egretctl's
// status and explain commands.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/version"
)

// exitUsage is the exit code of a wrong command line.
const exitUsage = 2

// errUsage is returned for a wrong command line once the problem and usage were printed.
var errUsage = errors.New("usage")

// Env holds the commands' access to the outside: output, environment, files and network.
type Env struct {
	Stdout   io.Writer
	Stderr   io.Writer
	Getenv   func(string) string
	ReadFile func(string) ([]byte, error)
	// NewLog opens the platform's log at a URL.
	NewLog func(url string) (platformlog.Log, error)
	// NewControlClient returns a client of nodes' control addresses. It uses TLS if certs
	// names files, else plain TCP.
	NewControlClient func(key []byte, certs *pb.TlsSettings) (peer.Client, error)
	// NewID returns a new id for a change. Nil: a UUIDv7.
	NewID func() string
}

// command is one command of egretctl.
type command struct {
	name string
	args string
	help string
	// flags adds the command's own flags to the session's. Nil: it has none.
	flags func(*session)
	run   func(context.Context, *session) error
}

func commands() []command {
	return []command{
		{"validate", "FILE...", "check configuration files", flagsValidate, runValidate},
		{"publish", "FILE", "put a configuration in force", flagsPublish, runPublish},
		{"preset list", "", "list presets", nil, runPresetList},
		{"preset use", "NAME", "put a preset in force", flagsChange, runPresetUse},
		{"config show", "", "print the configuration in force", flagsConfigShow, runConfigShow},
		{"status", "", "show nodes and what is in force on them", nil, runStatus},
		{"drain", "INSTANCE", "let an instance finish its work and take no more", flagsDrain, runDrain},
		{"undrain", "INSTANCE", "let an instance take work again", flagsChange, runUndrain},
		{"evacuate", "DATA_CENTRE", "send no more requests to the servers of a data centre", flagsEvacuate, runEvacuate},
		{"audit", "", "list changes, accepted and refused", flagsAudit, runAudit},
		{"where", "", "say what would be decided about a request, without sending it", flagsWhere, runWhere},
		{"explain", "config|instance|service|key|quarantine|organisation [NAME]", "say why", nil, runExplain},
	}
}

// Main runs the command line args, which lacks the program's name, and returns the exit
// code.
func Main(ctx context.Context, args []string, env Env) int {
	if env.NewID == nil {
		env.NewID = configlog.NewID
	}
	if len(args) > 0 && (args[0] == "-version" || args[0] == "--version") {
		fmt.Fprintln(env.Stdout, "egretctl", version.Version)
		return 0
	}
	if len(args) == 0 || isHelp(args[0]) {
		printUsage(env.Stdout)
		return helpExitCode(args)
	}
	chosen, rest, ok := findCommand(args)
	if !ok {
		fmt.Fprintf(env.Stderr, "egretctl: unknown command %q; egretctl help lists them\n", args[0])
		return exitUsage
	}
	s := newSession(chosen, env)
	err := s.parse(rest)
	if err == nil {
		err = chosen.run(ctx, s)
	}
	return s.finish(err)
}

func isHelp(arg string) bool {
	return arg == "help" || arg == "-h" || arg == "-help" || arg == "--help"
}

func helpExitCode(args []string) int {
	if len(args) == 0 {
		return exitUsage
	}
	return 0
}

// findCommand returns the command that args begins with and the arguments after it.
func findCommand(args []string) (command, []string, bool) {
	for _, c := range commands() {
		if c.name == args[0] {
			return c, args[1:], true
		}
		if len(args) > 1 && c.name == args[0]+" "+args[1] {
			return c, args[2:], true
		}
	}
	return command{}, nil, false
}

func printUsage(w io.Writer) {
	fmt.Fprint(w, "Usage: egretctl COMMAND [flags] [arguments]\n\nCommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-12s %s\n", c.name, c.help)
	}
	fmt.Fprint(w, `
egretctl COMMAND -h shows a command's flags; egretctl -version the version.

A command talks to the fleet through any node's control address (-node) with the
shared key, or to the platform's log itself (-log), or both:
  EGRETFIELD_NODE, EGRETFIELD_LOG   defaults of -node and -log
  EGRETFIELD_KEY                    the shared key, unless -key-file is given
  EGRETFIELD_CA, EGRETFIELD_CERT, EGRETFIELD_CERT_KEY
                                    defaults of -ca, -cert and -cert-key (TLS)
  EGRETFIELD_OPERATOR               your name in the audit trail

Exit codes: 0 done, 2 wrong command line, others by kind of error:
`)
	for _, kind := range []pb.ErrorKind{
		pb.ErrorKind_ERROR_KIND_CONFLICT,
		pb.ErrorKind_ERROR_KIND_INVALID_CONFIG,
		pb.ErrorKind_ERROR_KIND_LOG_UNAVAILABLE,
		pb.ErrorKind_ERROR_KIND_LOG_OUTCOME_UNKNOWN,
		pb.ErrorKind_ERROR_KIND_NOT_FOUND,
		pb.ErrorKind_ERROR_KIND_TIMEOUT,
		pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED,
	} {
		properties := errkind.Of(kind)
		fmt.Fprintf(w, "  %d %s\n", properties.ExitCode, properties.Name)
	}
}

// printCommandUsage prints the usage of the session's command.
func (s *session) printCommandUsage() {
	w := s.env.Stderr
	fmt.Fprintf(w, "Usage: egretctl %s [flags] %s\n%s\n\nFlags:\n", s.command.name, s.command.args, s.command.help)
	s.flags.VisitAll(func(f *flag.Flag) {
		fmt.Fprintf(w, "  -%-10s %s\n", f.Name, f.Usage)
	})
}
