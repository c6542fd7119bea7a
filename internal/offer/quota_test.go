package offer

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/quota"
)

// quotaManager returns a manager of one node with two caps.
func quotaManager(e *Exchange) *quota.Manager {
	self := quota.Member{Instance: "a", Region: "north", Address: e.ownAddress, Started: time.Now()}
	m := quota.NewManager(quota.Options{
		Self:   self,
		Limits: quota.NewLimits(quota.DefaultWindow, quota.DefaultOvershoot, quota.DefaultSlack),
		View:   func() quota.View { return quota.View{Joined: true, Members: []quota.Member{self}} },
		Send:   e.SendQuotaRequest,
		Slots:  4,
	})
	m.SetCaps([]*pb.Organisation{{Name: "o", RatePerS: 5, Burst: 5}, {Name: "p", RatePerS: 1e9, Burst: 1e9}})
	return m
}

// TestQuotaDatagrams guards against requests for tokens and grants that are lost in the
// exchange or given to the wrong receiver.
func TestQuotaDatagrams(t *testing.T) {
	const key = "a key of sixteen"
	Convey("A request for tokens is answered with its number, within the budget", t, func() {
		a, b := newExchange(t, key, answerWithWait(1)), newExchange(t, key, answerWithWait(1))
		received := make(chan uint64, 1)
		a.SetQuota(recordedQuota{grants: received})
		b.SetQuota(recordedQuota{reply: &pb.QuotaGrant{Tokens: 3, Owner: true}})
		serveExchange(t, a)
		serveExchange(t, b)
		So(a.SendQuotaRequest(b.ownAddress, 42, &pb.QuotaRequest{Organisation: "o", Wanted: 3}), ShouldBeTrue)
		So(<-received, ShouldEqual, 42)
		a.allow = func(class budget.Class, _ int) bool { return class != budget.ClassQuota }
		So(a.SendQuotaRequest(b.ownAddress, 43, &pb.QuotaRequest{}), ShouldBeFalse)
		So(a.SendQuotaRequest("not an address", 44, &pb.QuotaRequest{}), ShouldBeFalse)
	})
}

// TestQuotaOverSockets guards against managers and exchanges that don't fit together: two
// nodes own the parts of ten organisations, and each takes tokens from the other.
func TestQuotaOverSockets(t *testing.T) {
	Convey("Both nodes get tokens of all organisations, also from each other", t, func() {
		const key = "a key of sixteen"
		a, b := newExchange(t, key, answerWithWait(1)), newExchange(t, key, answerWithWait(1))
		now := time.Now()
		members := []quota.Member{
			{Instance: "a", Region: "north", Address: a.ownAddress, Started: now},
			{Instance: "b", Region: "north", Address: b.ownAddress, Started: now},
		}
		var organisations []*pb.Organisation
		for i := range 10 {
			organisations = append(organisations, &pb.Organisation{Name: string(rune('a' + i)), RatePerS: 100, Burst: 100})
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var managers []*quota.Manager
		for i, e := range []*Exchange{a, b} {
			m := quota.NewManager(quota.Options{
				Self:   members[i],
				Limits: quota.NewLimits(quota.DefaultWindow, quota.DefaultOvershoot, quota.DefaultSlack),
				View:   func() quota.View { return quota.View{Version: 1, Joined: true, Members: members} },
				Send:   e.SendQuotaRequest,
			})
			m.SetCaps(organisations)
			e.SetQuota(m)
			serveExchange(t, e)
			managers = append(managers, m)
		}
		for _, m := range managers {
			go m.Run(ctx)
		}
		for _, m := range managers {
			for _, o := range organisations {
				So(acquired(m, o.GetName()), ShouldBeTrue)
			}
		}
		So(a.Stats().QuotaRequests.Load(), ShouldBeGreaterThan, 0)
		So(b.Stats().QuotaRequests.Load(), ShouldBeGreaterThan, 0)
		So(a.Stats().QuotaGrants.Load(), ShouldBeGreaterThan, 0)
	})
}

// acquired takes a token, in several tries because a busy machine delays datagrams.
func acquired(m *quota.Manager, organisation string) bool {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if _, ok := m.Begin(organisation).Wait(context.Background(), deadline); ok {
			return true
		}
	}
	return false
}

// recordedQuota replies with a fixed grant and records the numbers of those received.
type recordedQuota struct {
	reply  *pb.QuotaGrant
	grants chan uint64
}

func (q recordedQuota) HandleRequest(string, uint64, *pb.QuotaRequest) *pb.QuotaGrant { return q.reply }
func (q recordedQuota) HandleGrant(number uint64, _ *pb.QuotaGrant)                   { q.grants <- number }

// FuzzSignedDatagram guards against bytes with a valid signature that stop the exchange
// or make it grant more than a request may ask for.
func FuzzSignedDatagram(f *testing.F) {
	for _, message := range []*pb.OfferMessage{
		{},
		{Number: 1, Content: &pb.OfferMessage_QuotaRequest{QuotaRequest: &pb.QuotaRequest{Organisation: "o", Region: "north", Wanted: 1<<32 - 1}}},
		{Number: 1, Content: &pb.OfferMessage_QuotaRequest{}},
		{Number: 1<<64 - 1, Content: &pb.OfferMessage_QuotaGrant{QuotaGrant: &pb.QuotaGrant{Tokens: 1<<32 - 1, RetryAfterUs: 1<<32 - 1, Owner: true}}},
		{Content: &pb.OfferMessage_Question{Question: &pb.OfferQuestion{Service: "s"}}},
		{Content: &pb.OfferMessage_Offer{}},
	} {
		body, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Add([]byte{0xff, 0xff, 0xff})
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	defer conn.Close()
	sent := func(budget.Class, int) bool { return false }
	e := New(conn, []byte("a key of sixteen"), func(context.Context, *pb.OfferQuestion) *pb.Offer { return &pb.Offer{} }, sent, zap.NewNop())
	m := quotaManager(e)
	e.SetQuota(m)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	f.Fuzz(func(t *testing.T, body []byte) {
		e.receive(from, append(e.mac(body), body...))
		message := &pb.OfferMessage{}
		if proto.Unmarshal(body, message) != nil {
			return
		}
		if request := message.GetQuotaRequest(); request != nil {
			if reply := m.HandleRequest("x", message.Number, request); reply.GetTokens() > request.GetWanted() {
				t.Errorf("%d tokens granted for %d", reply.GetTokens(), request.GetWanted())
			}
		}
	})
}
