package vm_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch"
	"kumquathitch.example/kumquathitch/peer"
	"kumquathitch.example/kumquathitch/telemetry"
)

// startOlderLeader plays a leader whose program knows no epochs: its changes are complete for each revision that is not
// below its own, and its revision is the store's own. It returns its address.
func startOlderLeader(t *testing.T, revision uint64) string {
	t.Helper()
	tracing, err := telemetry.NewTracing(t.Context(), "test", "")
	must.NoError(t, err)
	server := peer.NewServer(tracing)
	address := loopback() + ":7380"
	peer.Handle(server, "vm.exchange", func(_ context.Context, request kumquathitch.ExchangeRequest) (kumquathitch.ExchangeResponse, error) {
		return kumquathitch.ExchangeResponse{
			Leader: true, LeaderAddress: address, StoreRevision: revision, DeploymentVersion: 1, SegmentsComplete: request.StoreRevision >= revision,
		}, nil
	})
	listener, err := net.Listen("tcp", address)
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.WithoutCancel(t.Context()))
	end := server.Serve(ctx, listener)
	t.Cleanup(func() {
		stop()
		must.NoError(t, <-end)
	})
	return address
}

// TestVMDoesNotRelyOnLeaderWithoutEpochs guards against a VM that gets no changes at all while a VM with an older program
// leads, in a store that has been restored before.
func TestVMDoesNotRelyOnLeaderWithoutEpochs(t *testing.T) {
	p := newTestPlatform(t)
	p.store.Put("op/config", testDeployment(1, "k1"))
	p.startEngine("m")
	p.store.Restore(p.store.Copy(), false)
	address := startOlderLeader(t, 2)
	record, err := json.Marshal(kumquathitch.Member{Name: "older", Address: address})
	must.NoError(t, err)
	p.store.Put("kumquathitch/leader", record)
	p.startVM("entry-1")
	p.awaitVersion(1)
	<-time.NewTimer(3 * time.Second).C // Longer than a watch.
	p.store.Put("op/config", testDeployment(2, "k2"))
	p.awaitVersion(2)
}
