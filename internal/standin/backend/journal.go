package backend

import (
	"bufio"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/pb"
)

// journal keeps the latest executions in a ring buffer. It is safe for concurrent use.
type journal struct {
	server string
	runID  string
	size   int

	mu        sync.Mutex
	ring      []*pb.Execution
	oldest    int
	forgotten uint32
	file      *os.File
}

func newJournal(server string, size int, path string) (*journal, error) {
	j := &journal{server: server, runID: uuid.NewString(), size: size}
	if path == "" {
		return j, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "journal file")
	}
	j.file = file
	return j, nil
}

// record adds an execution; it is called before the execution has any effect. If it
// returns an error, the journal file lacks the execution, which must not start.
func (j *journal) record(operation, requestID string) error {
	execution := &pb.Execution{Operation: operation, RequestId: requestID, TimeUnixUs: time.Now().UnixMicro()}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file != nil {
		if _, err := j.file.WriteString(formatLine(j.server, j.runID, execution)); err != nil {
			return eris.Wrap(err, "journal file")
		}
	}
	if len(j.ring) < j.size {
		j.ring = append(j.ring, execution)
		return nil
	}
	j.ring[j.oldest] = execution
	j.oldest = (j.oldest + 1) % j.size
	j.forgotten++
	return nil
}

// snapshot returns the retained executions, oldest first.
func (j *journal) snapshot() *pb.Journal {
	j.mu.Lock()
	defer j.mu.Unlock()
	executions := make([]*pb.Execution, 0, len(j.ring))
	executions = append(executions, j.ring[j.oldest:]...)
	executions = append(executions, j.ring[:j.oldest]...)
	return &pb.Journal{Server: j.server, RunId: j.runID, Executions: executions, Forgotten: j.forgotten}
}

func (j *journal) close() {
	if j.file != nil {
		j.file.Close()
	}
}

// journalFieldCount is the number of tab-separated fields of a line: server, run
// ID, operation, request ID and time in Unix microseconds.
const journalFieldCount = 5

// separatorReplacer replaces the separators of fields and lines, which can't be part
// of a field.
var separatorReplacer = strings.NewReplacer("\t", " ", "\n", " ")

func formatLine(server, runID string, e *pb.Execution) string {
	fields := []string{server, runID, e.GetOperation(), e.GetRequestId(), strconv.FormatInt(e.GetTimeUnixUs(), 10)}
	for i, field := range fields {
		fields[i] = separatorReplacer.Replace(field)
	}
	return strings.Join(fields, "\t") + "\n"
}

// ReadJournalFile reads a server's journal file and returns a journal for each run of
// the process. It skips a truncated last line.
func ReadJournalFile(r io.Reader) ([]*pb.Journal, error) {
	journals := []*pb.Journal{}
	byRun := map[string]*pb.Journal{}
	lines := bufio.NewReader(r)
	for number := 1; ; number++ {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return journals, nil
		}
		if err != nil {
			return nil, eris.Wrap(err, "journal file")
		}
		fields := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		if len(fields) != journalFieldCount {
			return nil, eris.Errorf("journal file line %d: want %d fields, got %d", number, journalFieldCount, len(fields))
		}
		timeUnixUs, err := strconv.ParseInt(fields[4], 10, 64)
		if err != nil {
			return nil, eris.Errorf("journal file line %d: invalid time %q", number, fields[4])
		}
		j := byRun[fields[1]]
		if j == nil {
			j = &pb.Journal{Server: fields[0], RunId: fields[1]}
			byRun[fields[1]] = j
			journals = append(journals, j)
		}
		j.Executions = append(j.Executions, &pb.Execution{Operation: fields[2], RequestId: fields[3], TimeUnixUs: timeUnixUs})
	}
}
