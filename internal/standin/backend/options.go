// Package backend implements a stand-in HTTP backend server for tests and
// demonstrations. It simulates slots and service times, has faults that can be set
// while it runs, keeps a journal of its executions, and gives answers that the load
// generator can verify.
package backend

import (
	"os"
	"time"
)

// Defaults of Options, and the limit of a lookup's timeout.
const (
	defaultSlots       = 10
	defaultConnections = 220
	defaultAnswerBytes = 2048
	defaultJournalSize = 1 << 20
	defaultColdFactor  = 5
	maxLookupTimeout   = 10 * time.Second
)

// Options configures a backend server. Zero fields take their defaults.
type Options struct {
	// Name identifies the server in answers and in the journal.
	Name string
	// Service is the service that the server announces, and that lookups without a
	// list of services call.
	Service string
	// Place is the region, or "region/data-centre", that lookups name as their origin.
	Place string
	// Slots is the number of requests that can run at the same time. Default 10.
	Slots int
	// Queue is the number of requests that may wait for a slot; further ones
	// are shed. Zero: none may wait; negative: no limit.
	Queue int
	// Connections is the number of connections accepted. Default 220.
	Connections int
	// ConnectDelay delays the first read of each new connection.
	ConnectDelay time.Duration
	// Mean is the mean service time; Jitter is the largest deviation from it.
	Mean   time.Duration
	Jitter time.Duration
	// TailPercent is the share of requests that take TailFactor times as long.
	TailPercent float64
	TailFactor  float64
	// AnswerBytes is the length of an answer. Default 2048.
	AnswerBytes int64
	// ColdFactor multiplies the service time at the start of the server and falls
	// linearly to 1 over ColdFor. Default factor 5.
	ColdFor    time.Duration
	ColdFactor float64
	// ReportCold makes announcements and the health endpoint tell how much of ColdFor is
	// left.
	ReportCold bool
	// Links holds the one-way delay from other regions and data centres; that of
	// the data centre takes precedence.
	Links map[string]time.Duration
	// LinkRates holds the bandwidth of the links from other regions and data centres
	// in each direction, in bytes per second. Default: no limit.
	LinkRates map[string]int64
	// CallerAddress is the node's address for callers, to which lookups are sent.
	CallerAddress string
	// JournalSize is the number of executions retained. Default 1 Mi.
	JournalSize int
	// JournalFile, if set, is the file to which a line is appended as each execution
	// starts; the lines remain when the process is killed.
	JournalFile string
	// Exit ends the process when a request asks for a crash. Default os.Exit.
	Exit func(code int)
}

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.Connections <= 0 {
		o.Connections = defaultConnections
	}
	if o.AnswerBytes <= 0 {
		o.AnswerBytes = defaultAnswerBytes
	}
	if o.JournalSize <= 0 {
		o.JournalSize = defaultJournalSize
	}
	if o.ColdFactor <= 0 {
		o.ColdFactor = defaultColdFactor
	}
	if o.Exit == nil {
		o.Exit = os.Exit
	}
	return o
}
