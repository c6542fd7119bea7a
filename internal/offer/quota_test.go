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
		a, b := startExchange(t, key, answerWithWait(1)), startExchange(t, key, answerWithWait(1))
		received := make(chan uint64, 1)
		a.SetQuota(recordedQuota{grants: received})
		b.SetQuota(recordedQuota{reply: &pb.QuotaGrant{Tokens: 3, Owner: true}})
		So(a.SendQuotaRequest(b.ownAddress, 42, &pb.QuotaRequest{Organisation: "o", Wanted: 3}), ShouldBeTrue)
		So(<-received, ShouldEqual, 42)
		a.allow = func(class budget.Class, _ int) bool { return class != budget.ClassQuota }
		So(a.SendQuotaRequest(b.ownAddress, 43, &pb.QuotaRequest{}), ShouldBeFalse)
		So(a.SendQuotaRequest("not an address", 44, &pb.QuotaRequest{}), ShouldBeFalse)
	})
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
