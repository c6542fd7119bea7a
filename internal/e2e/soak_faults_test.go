package e2e

import (
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/backend"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

const (
	// A cold server takes at most coldBound requests in any second, for coldDuration.
	coldBound    = 20
	coldDuration = 3 * time.Second
	// coldSeedInterval: every seed that is three above a multiple of it has cold servers,
	// and every seed that is a multiple of it a withdrawn key. The exceptions are those of
	// evacuationSeedInterval.
	coldSeedInterval = 5
	// keyBound is the time after the acknowledgement of a withdrawal from which no request
	// with the key runs.
	keyBound = 3 * time.Second
	// keyRequestPause is the pause between two requests with the key to be withdrawn.
	keyRequestPause = 20 * time.Millisecond
	// Operations of requests with that key begin with withdrawnPrefix.
	withdrawnPrefix = "withdrawn-"
	loadKey         = "soak-load-key"
	withdrawnKey    = "soak-withdrawn-key"
)

// mayHaveFaults reports whether a seed may have the faults of this file: planned seeds have
// none, and the schedules of the regressions stay the same.
func mayHaveFaults(seed uint64) bool {
	return seed%plannedSeedInterval != 0 && !slices.Contains(soakRegressions, seed)
}

func hasColdServers(seed uint64) bool  { return mayHaveFaults(seed) && seed%coldSeedInterval == 3 }
func hasWithdrawnKey(seed uint64) bool { return mayHaveFaults(seed) && seed%coldSeedInterval == 0 }

// configureFaults sets what the faults of a seed need, before the fleet starts.
func (s *soak) configureFaults(seed uint64) {
	if hasColdServers(seed) {
		s.places = places[:len(places)/2] // several instances in a data centre
		s.serverFlags = []string{"-cold-for", coldDuration.String(), "-cold-factor", "2", "-report-cold"}
		s.serviceFields = "    health_path: /health\n    cold_ms: 3000\n    cold_requests_per_s: 20\n"
	}
	if hasWithdrawnKey(seed) {
		s.apiKey = loadKey
		s.topFields = organisationsWith(loadKey, withdrawnKey)
	}
}

func organisationsWith(keys ...string) string {
	return "organisations: [{name: callers, api_keys: [" + strings.Join(keys, ", ") + "]}]\n"
}

// coldTime is a time in which the server of an instance was cold.
type coldTime struct {
	instance    *instance
	from, until time.Time
}

// The actions with cold servers. The instance's lock is held meanwhile, so that its gate and
// its server run undisturbed.
var (
	serverCold = soakAction{"server cold", false, func(s *soak, i *instance, _ time.Duration) { s.chill(i) }}

	dataCentreCold = soakAction{"data centre cold", false, func(s *soak, i *instance, _ time.Duration) {
		var chilled []*instance
		for index, other := range s.instances {
			if other.dataCentre != i.dataCentre {
				continue
			}
			if other != i {
				s.instanceLocks[index].Lock()
				defer s.instanceLocks[index].Unlock()
			}
			chilled = append(chilled, other)
		}
		s.chill(chilled...)
	}}

	serverColdAfterRestart = soakAction{"server restarted cold", false, func(s *soak, i *instance, _ time.Duration) {
		i.server.kill()
		from := time.Now()
		s.startServer(i)
		time.Sleep(coldDuration)
		s.addColdTime(coldTime{i, from, from.Add(coldDuration)})
	}}
)

// chill makes the servers of instances cold and returns when they are warm again.
func (s *soak) chill(instances ...*instance) {
	for _, i := range instances {
		request, _ := http.NewRequest(http.MethodPut, "http://"+i.admin+"/faults", strings.NewReader(`{"chill": true}`))
		response, err := http.DefaultClient.Do(request)
		if err != nil || response.StatusCode != http.StatusOK {
			s.t.Errorf("%s: server not made cold: %v", i.name, err)
			return
		}
		_ = response.Body.Close()
		// The cold time began before the answer, so it ends before this time.
		now := time.Now()
		s.addColdTime(coldTime{i, now, now.Add(coldDuration)})
	}
	time.Sleep(coldDuration)
}

func (s *soak) addColdTime(c coldTime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldTimes = append(s.coldTimes, c)
}

// coldSteps draws the steps with cold servers of a seed: one each of a server alone, a data
// centre and a restart, on consecutive instances and so in different data centres. Only one
// of them locks more than one instance, so they can't block each other.
func coldSteps(seed uint64, instances int) []soakStep {
	if !hasColdServers(seed) {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, 3))
	first := random.IntN(instances)
	var steps []soakStep
	for n, action := range []soakAction{serverCold, dataCentreCold, serverColdAfterRestart} {
		steps = append(steps, soakStep{
			at:            time.Duration(random.Int64N(int64(maxFaultStart))),
			instanceIndex: (first + n) % instances,
			action:        action,
			length:        coldDuration,
		})
	}
	return steps
}

// shouldKeepColdBound checks that no server ran more than coldBound requests in any second
// of its cold times.
func (s *soak) shouldKeepColdBound() {
	all := 0
	for _, c := range s.coldTimes {
		times := s.executionTimes(c.instance, "")
		most, total, first := 0, 0, 0
		for last, at := range times {
			if at.Before(c.from) || at.After(c.until) {
				first = last + 1
				continue
			}
			for at.Sub(times[first]) >= time.Second {
				first++
			}
			most, total = max(most, last-first+1), total+1
		}
		s.t.Logf("%s: cold from %.2f s: %d requests, %d in a second", c.instance.name, c.from.Sub(s.startTime).Seconds(), total, most)
		So(most, ShouldBeLessThanOrEqualTo, coldBound)
		all += total
	}
	So(all, ShouldBeGreaterThan, 0)
}

// executionTimes returns when the server of an instance ran the operations with a prefix, in
// order.
func (s *soak) executionTimes(i *instance, prefix string) []time.Time {
	file, err := os.Open(i.journal)
	So(err, ShouldBeNil)
	defer file.Close()
	journals, err := backend.ReadJournalFile(file)
	So(err, ShouldBeNil)
	var times []time.Time
	for _, journal := range journals {
		for _, execution := range journal.GetExecutions() {
			if strings.HasPrefix(execution.GetOperation(), prefix) {
				times = append(times, time.UnixMicro(execution.GetTimeUnixUs()))
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// keyWithdrawal sends requests with a key through the node of an instance while a
// configuration withdraws the key. The instance's lock is held meanwhile, so that its node
// runs undisturbed and is connected to the log.
var keyWithdrawal = soakAction{"key withdrawn", false, func(s *soak, i *instance, length time.Duration) {
	var sending sync.WaitGroup
	var stopped atomic.Bool
	sending.Go(func() {
		client := &http.Client{Timeout: attemptTimeout}
		for n := 0; !stopped.Load(); n++ {
			sendWithdrawn(client, i.addresses.Caller, n)
			time.Sleep(keyRequestPause)
		}
	})
	time.Sleep(length)
	s.topFields = organisationsWith(loadKey)
	file := s.dir + "/withdrawal.yaml"
	if err := os.WriteFile(file, []byte(s.configuration()), 0o600); err != nil {
		s.t.Fatal(err)
	}
	var acknowledged time.Time
	s.await("withdrawal of the key", func() bool {
		// Paused nodes may keep the command from seeing the change in force everywhere.
		out, exit := s.ctlVia(i, "publish", file, "-timeout", keyBound.String())
		if exit != 0 {
			s.addEvent("%s: withdrawal not confirmed: %s", i.name, strings.TrimSpace(out))
		}
		acknowledged = s.withdrawalTime(i)
		return !acknowledged.IsZero()
	})
	time.Sleep(time.Until(acknowledged.Add(keyBound + length)))
	stopped.Store(true)
	sending.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keyWithdrawnAt = acknowledged
}}

// shouldKeepKeyBound checks that requests ran with the key until its withdrawal, and none
// later than keyBound after it.
func (s *soak) shouldKeepKeyBound() {
	var before, within, beyond int
	for _, i := range s.instances {
		for _, at := range s.executionTimes(i, withdrawnPrefix) {
			switch {
			case at.Before(s.keyWithdrawnAt):
				before++
			case at.Before(s.keyWithdrawnAt.Add(keyBound)):
				within++
			default:
				beyond++
			}
		}
	}
	s.t.Logf("requests that ran with the key before its withdrawal, within its bound and beyond: %d, %d, %d", before, within, beyond)
	So(before, ShouldBeGreaterThan, 0)
	So(beyond, ShouldEqual, 0)
}

// withdrawalTime returns when the log accepted the withdrawal of a key, as the node of an
// instance has it; zero: it doesn't know of it.
func (s *soak) withdrawalTime(i *instance) time.Time {
	out, _ := s.ctlVia(i, "audit", "-n", "0", "-o", "json")
	state := &pb.ConfigState{}
	if protojson.Unmarshal([]byte(out), state) != nil {
		return time.Time{}
	}
	for _, entry := range state.GetAudit() {
		for _, change := range entry.GetChanges() {
			if entry.GetAccepted() && change.GetBefore() != "" && strings.HasSuffix(change.GetPath(), ".api_keys") {
				return time.UnixMilli(entry.GetLogTimeUnixMs())
			}
		}
	}
	return time.Time{}
}

// withdrawnKeyStep draws the withdrawal of a seed's key.
func withdrawnKeyStep(seed uint64, instances int) soakStep {
	random := rand.New(rand.NewPCG(seed, 4))
	return soakStep{
		at:            time.Duration(random.Int64N(int64(maxFaultStart))),
		instanceIndex: random.IntN(instances),
		action:        keyWithdrawal,
		length:        time.Duration(500+random.IntN(1000)) * time.Millisecond,
	}
}

// sendWithdrawn sends a request with the key to be withdrawn over a kept connection. Its
// result is in the journals.
func sendWithdrawn(client *http.Client, address string, number int) {
	request, _ := http.NewRequest(http.MethodGet, "http://"+address+"/svc/orders/withdrawn", nil)
	request.Header.Set("Authorization", "Bearer "+withdrawnKey)
	request.Header.Set(wire.HeaderOp, withdrawnPrefix+strconv.Itoa(number))
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
