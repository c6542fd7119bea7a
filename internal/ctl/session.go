package ctl

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	defaultTimeout = 30 * time.Second
	// baseInForce is the value of -base that stands for the version in force when the
	// command starts.
	baseInForce = int64(-1)
)

// session is one run of a command with its flags and arguments.
type session struct {
	command command
	env     Env
	flags   *flag.FlagSet
	args    []string

	node        string
	log         string
	keyFile     string
	certs       pb.TlsSettings
	output      string
	timeout     time.Duration
	operator    string
	reason      string
	id          string
	base        int64
	preset      string
	settings    bool
	auditLimit  int
	listChanges bool
	showKeys    bool
	force       bool
	end         bool

	// question is that of where.
	question pb.WhereRequest

	startOver bool
}

func newSession(chosen command, env Env) *session {
	s := &session{command: chosen, env: env, base: baseInForce}
	s.flags = flag.NewFlagSet(chosen.name, flag.ContinueOnError)
	s.flags.SetOutput(io.Discard)
	s.flags.Usage = func() {}
	s.flags.StringVar(&s.node, "node", env.Getenv("EGRETFIELD_NODE"), "control address of any node, host:port")
	s.flags.StringVar(&s.log, "log", env.Getenv("EGRETFIELD_LOG"), "URL of the platform's log, to use it directly")
	s.flags.StringVar(&s.keyFile, "key-file", "", "file with the shared key (default: EGRETFIELD_KEY)")
	s.flags.StringVar(&s.certs.ClientCaFile, "ca", env.Getenv("EGRETFIELD_CA"), "file with the authorities that sign nodes' certificates, for TLS")
	s.flags.StringVar(&s.certs.CertFile, "cert", env.Getenv("EGRETFIELD_CERT"), "file with your certificate, for TLS")
	s.flags.StringVar(&s.certs.KeyFile, "cert-key", env.Getenv("EGRETFIELD_CERT_KEY"), "file with the key of -cert")
	s.flags.StringVar(&s.output, "o", "table", "output: table or json")
	s.flags.DurationVar(&s.timeout, "timeout", defaultTimeout, "how long to wait in all, for example 30s")
	if chosen.flags != nil {
		chosen.flags(s)
	}
	return s
}

// flagsChange adds the flags of every command that changes the configuration.
func flagsChange(s *session) {
	s.flags.StringVar(&s.operator, "operator", s.defaultOperator(), "your name in the audit trail")
	s.flags.StringVar(&s.reason, "reason", "", "why, for the audit trail")
	s.flags.StringVar(&s.id, "id", "", "id of an earlier try, to learn its outcome without doing it twice")
	s.flags.Int64Var(&s.base, "base", baseInForce, "version that the change is based on (default: the one in force)")
}

// flagsDrain adds the flags of drain.
func flagsDrain(s *session) {
	flagsChange(s)
	s.flags.BoolVar(&s.force, "force", false, "drain an instance that the node doesn't know")
}

// flagsEvacuate adds the flags of evacuate.
func flagsEvacuate(s *session) {
	flagsChange(s)
	s.flags.BoolVar(&s.end, "end", false, "end the evacuation: send requests there again")
	s.flags.BoolVar(&s.force, "force", false, "evacuate a data centre of which the node knows no instance")
}

func (s *session) defaultOperator() string {
	if name := s.env.Getenv("EGRETFIELD_OPERATOR"); name != "" {
		return name
	}
	return s.env.Getenv("USER")
}

// parse parses and checks flags and arguments. On error it prints the usage.
func (s *session) parse(args []string) error {
	if err := s.parseMixed(args); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintf(s.env.Stderr, "egretctl %s: %v\n", s.command.name, err)
		}
		s.printCommandUsage()
		if errors.Is(err, flag.ErrHelp) {
			return flag.ErrHelp
		}
		return errUsage
	}
	if s.output != "table" && s.output != "json" {
		return s.usageError("-o is %q, expected table or json", s.output)
	}
	want := strings.Fields(s.command.args)
	maxArgs, minArgs := len(want), len(want)
	if maxArgs > 0 && strings.HasSuffix(want[maxArgs-1], "...") {
		maxArgs = 1 << 16
	}
	for _, word := range want {
		if strings.HasPrefix(word, "[") {
			minArgs--
		}
	}
	if len(s.args) < minArgs || len(s.args) > maxArgs {
		return s.usageError("got %d arguments, expected: %s", len(s.args), orNone(s.command.args))
	}
	return nil
}

// parseMixed parses flags before, between and after arguments.
func (s *session) parseMixed(args []string) error {
	for {
		if err := s.flags.Parse(args); err != nil {
			return err
		}
		if s.flags.NArg() == 0 {
			return nil
		}
		s.args = append(s.args, s.flags.Arg(0))
		args = s.flags.Args()[1:]
	}
}

// arg returns the argument at index, or the empty string.
func (s *session) arg(index int) string {
	if index >= len(s.args) {
		return ""
	}
	return s.args[index]
}

func (s *session) usageError(format string, args ...any) error {
	fmt.Fprintf(s.env.Stderr, "egretctl %s: %s\n", s.command.name, fmt.Sprintf(format, args...))
	s.printCommandUsage()
	return errUsage
}

// finish prints err, unless that was done before, and returns the exit code.
func (s *session) finish(err error) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return 0
	case errors.Is(err, errUsage):
		return exitUsage
	}
	kind := errkind.KindOf(err)
	if s.output == "json" {
		s.printJSONError(kind, err)
	} else {
		fmt.Fprintln(s.env.Stderr, "egretctl:", withKind(kind, err))
	}
	return errkind.Of(kind).ExitCode
}

// withKind returns err's text with the name of its kind in front.
func withKind(kind pb.ErrorKind, err error) string {
	name := errkind.Of(kind).Name
	if text := err.Error(); strings.HasPrefix(text, name+": ") {
		return text
	}
	return name + ": " + err.Error()
}

// jsonError is the form of an error on stderr with -o json.
type jsonError struct {
	Error   string `json:"error"`
	Message string `json:"message"`
	Exit    int    `json:"exit"`
}

func (s *session) printJSONError(kind pb.ErrorKind, err error) {
	properties := errkind.Of(kind)
	line, _ := json.Marshal(jsonError{
		Error:   properties.Name,
		Message: strings.TrimPrefix(err.Error(), properties.Name+": "),
		Exit:    properties.ExitCode,
	})
	fmt.Fprintln(s.env.Stderr, string(line))
}
