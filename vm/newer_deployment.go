package vm

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kumquathitch.example/kumquathitch"
)

// A store that was restored from a copy has an older configuration until the operator writes the newest
// one again. VMs that know the newest one pass it on, also while none of them leads.

const (
	// questionTimeout bounds a question for a newer configuration. It is asked between exchanges.
	questionTimeout = 300 * time.Millisecond
	// maxFirstQuestions is the number of VMs that a VM asks at its start. Some seeds are out of date.
	maxFirstQuestions = 8
)

// newerDeployments holds which other VM has a newer configuration, and what other VMs know of this one's.
type newerDeployments struct {
	informed atomic.Bool   // Another VM has been asked, or there is none that answers.
	revision atomic.Uint64 // The store's revision of the configuration in force; 0 if another VM sent it.

	mutex   sync.Mutex
	vm      string // Name of the VM that has the highest version reported.
	version uint64
}

// note records the version of a VM that sent a request.
func (n *newerDeployments) note(request *kumquathitch.ExchangeRequest, version uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if request.DeploymentVersion > max(version, n.version) {
		n.vm, n.version = request.From, request.DeploymentVersion
	}
}

// holder returns the VM that has a higher version, and nothing if none is known.
func (n *newerDeployments) holder(version uint64) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.version <= version {
		return ""
	}
	return n.vm
}

// forget drops the VM that has a newer configuration, as it does not answer.
func (n *newerDeployments) forget() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.vm, n.version = "", 0
}

// runFirstQuestion asks other VMs for a newer configuration once, before this VM reports itself ready:
// the seeds, and if none of them answers the members that the store lists.
func (v *VM) runFirstQuestion(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		if !v.askAll(ctx, v.environment.Seeds) {
			select {
			case <-v.watcher.scanDone:
			case <-ctx.Done():
			}
			var addresses []string
			for _, m := range v.watcher.memberList() {
				addresses = append(addresses, m.Address)
			}
			v.askAll(ctx, addresses)
		}
		v.newer.informed.Store(true)
		end <- nil
	}()
	return end
}

// askAll asks some of the VMs with the given addresses at once, and reports whether any has answered.
func (v *VM) askAll(ctx context.Context, addresses []string) bool {
	others := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == v.environment.PeerAddress })
	slices.Sort(others)
	for i := range others { // Draws the VMs that are asked.
		j := i + int(v.random.Int64N(int64(len(others)-i)))
		others[i], others[j] = others[j], others[i]
	}
	others = others[:min(len(others), maxFirstQuestions)]
	answers := make(chan bool, len(others))
	for _, address := range others {
		go func() { answers <- v.askForDeployment(ctx, address) }()
	}
	answered := false
	for range others {
		answered = <-answers || answered
	}
	return answered
}

// askForNewer asks the VM that has a newer configuration than this one, if one is known, and any VM while
// there is no leader to exchange with.
func (v *VM) askForNewer(ctx context.Context, leaderless bool) {
	if holder := v.newer.holder(v.deployments.Version()); holder != "" {
		for _, m := range v.watcher.memberList() {
			if m.Name != holder {
				continue
			}
			if !v.askForDeployment(ctx, m.Address) {
				v.newer.forget()
			}
			return
		}
	}
	if !leaderless {
		return
	}
	if address := v.anyPeer(); address != "" {
		v.askForDeployment(ctx, address)
	}
}

// askForDeployment asks a VM for a newer configuration, and reports whether it has answered.
func (v *VM) askForDeployment(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	request := kumquathitch.ExchangeRequest{From: v.environment.Name, DeploymentOnly: true, DeploymentVersion: v.deployments.Version()}
	var response kumquathitch.ExchangeResponse
	if err := v.peers.Call(ctx, address, methodExchange, request, &response); err != nil {
		v.log.Debug("question for a newer configuration failed", zap.String("peer", address), zap.Error(err))
		return false
	}
	v.applyPeerDeployment(&response)
	return true
}

// applyPeerDeployment applies the configuration in a response of another VM, if it has one. It returns
// false for one that cannot be read.
func (v *VM) applyPeerDeployment(response *kumquathitch.ExchangeResponse) bool {
	if len(response.Deployment) == 0 {
		return true
	}
	document, err := decompress(response.Deployment)
	if err != nil {
		v.log.Warn("cannot decompress the configuration from another VM", zap.Uint64("version", response.DeploymentVersion), zap.Error(err))
		return false
	}
	v.applyDeployment(document, 0, "peer")
	return true
}

// addDeployment adds the version in force to a response, and its document if the requesting VM has an
// older version, unless the changes in the response include it.
func (v *VM) addDeployment(response *kumquathitch.ExchangeResponse, request *kumquathitch.ExchangeRequest) {
	document, version := v.deployments.Document()
	response.DeploymentVersion = version
	included := response.SegmentsComplete && v.newer.revision.Load() > request.StoreRevision
	if version > request.DeploymentVersion && !included {
		response.Deployment = v.compressed.forVersion(document, version)
	}
}
