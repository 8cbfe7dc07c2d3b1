package rate

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"kumquathitch.example/kumquathitch"
)

const (
	// maxPeersPerRound bounds the number of peers asked in one round.
	maxPeersPerRound = 8
	// borrowTimeout bounds one peer call, so that two rounds with unreachable
	// peers fit into maxTokenWait.
	borrowTimeout = 80 * time.Millisecond
	// overRequestFactor is the multiple of an even share of the missing tokens
	// that each peer is asked for, because some peers have none to lend.
	overRequestFactor = 1.5
	// minBackoff and maxBackoff bound the exponential backoff of an account after
	// rounds without new loans. Without it, an account far above its rate would
	// flood the peers with requests.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
	// extensionInterval is the time between checks for loans to extend. It is well
	// under half a loan term.
	extensionInterval = time.Second
)

// Borrower asks peers for loans on behalf of waiting requests, in rounds. All
// requests that arrive during a round share the next one. It is safe for
// concurrent use.
type Borrower struct {
	Buckets  *Buckets
	Clock    kumquathitch.Clock
	Members  kumquathitch.Membership
	Peers    kumquathitch.Peers
	Self     Holder
	Settings Settings

	wake chan struct{}

	mutex    sync.Mutex
	requests uint64
	waiting  map[string]*waitingAccount
	changed  chan struct{} // Closed and replaced when loans have arrived or a round has ended.
}

// waitingAccount is the state of one account with waiting requests. It is kept
// for a while after the last request, for the backoff.
type waitingAccount struct {
	waiters   int       // Number of waiting requests.
	missing   float64   // Tokens that the waiting requests lack.
	nextPeer  int       // Index of the next peer to ask.
	notBefore time.Time // Earliest time of the next round for this account.
	backoff   time.Duration
}

// NewBorrower initializes a borrower whose exported fields are set, and returns it.
func NewBorrower(b *Borrower) *Borrower {
	b.wake = make(chan struct{}, 1)
	b.waiting = map[string]*waitingAccount{}
	b.changed = make(chan struct{})
	return b
}

// Run runs rounds and extends loans until ctx ends, then returns nil.
func (b *Borrower) Run(ctx context.Context) error {
	ticker := time.NewTicker(extensionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.Extend(ctx)
			b.dropIdleAccounts()
		case <-b.wake:
			if b.Round(ctx) {
				b.wakeUp() // Run rounds until all accounts are served or in backoff.
			}
		}
	}
}

// AddWaiter adds a waiting request that lacks tokens. Every call must be followed
// by one call of RemoveWaiter with the same arguments.
func (b *Borrower) AddWaiter(account string, missing float64) {
	b.mutex.Lock()
	w := b.waiting[account]
	if w == nil {
		w = &waitingAccount{}
		b.waiting[account] = w
	}
	w.waiters++
	w.missing += missing
	b.mutex.Unlock()
	b.wakeUp()
}

// RemoveWaiter removes a request that AddWaiter added.
func (b *Borrower) RemoveWaiter(account string, missing float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if w := b.waiting[account]; w != nil {
		w.waiters--
		w.missing = max(0, w.missing-missing)
	}
}

// Progress returns a channel that is closed when loans arrive or a round ends.
// moreRounds is false while the account is in backoff and no round will ask for it.
func (b *Borrower) Progress(account string, now time.Time) (changed <-chan struct{}, moreRounds bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	w := b.waiting[account]
	return b.changed, w != nil && !now.Before(w.notBefore)
}

func (b *Borrower) wakeUp() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *Borrower) broadcast() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}

// Round asks up to maxPeersPerRound peers for loans of all accounts that are due.
// It reports whether another round is due.
func (b *Borrower) Round(ctx context.Context) bool {
	now := b.Clock.Now()
	peers := b.peerOrder(now)
	due, firstPeer := b.due(now)
	if len(due) == 0 {
		return false
	}
	var asked kumquathitch.EntryVMs
	if firstPeer < len(peers) {
		asked = peers[firstPeer:min(firstPeer+maxPeersPerRound, len(peers))]
	}
	requests := make([]BorrowRequest, len(asked))
	for i := range asked {
		requests[i] = b.request()
		for account, missing := range due {
			requests[i].Loans = append(requests[i].Loans, b.Buckets.LoanRequest(account, missing, now).Split(len(asked)))
		}
	}
	gained := b.sendRequests(ctx, asked, requests)
	more := b.finishRound(due, gained, firstPeer+len(asked), len(peers))
	b.broadcast()
	return more
}

// Extend asks lenders to extend the loans that this VM still needs.
func (b *Borrower) Extend(ctx context.Context) {
	byAddress := map[string]*BorrowRequest{}
	for _, loan := range b.Buckets.DueExtensions(b.Clock.Now()) {
		request := byAddress[loan.Lender.Address]
		if request == nil {
			fresh := b.request()
			request = &fresh
			byAddress[loan.Lender.Address] = request
		}
		request.Extensions = append(request.Extensions, Extension{Loan: loan.ID, Account: loan.Account})
	}
	var asked kumquathitch.EntryVMs
	var requests []BorrowRequest
	for address, request := range byAddress {
		asked = append(asked, kumquathitch.EntryVM{Address: address})
		requests = append(requests, *request)
	}
	for start := 0; start < len(asked); start += maxPeersPerRound {
		end := min(start+maxPeersPerRound, len(asked))
		b.sendRequests(ctx, asked[start:end], requests[start:end])
	}
}

// peerOrder returns the peers to ask, those of this VM's data centre first. Both
// lists start after this VM's name, so that borrowers start with different lenders.
func (b *Borrower) peerOrder(now time.Time) kumquathitch.EntryVMs {
	own := b.Members.Self()
	near := b.Members.Live(own.DataCentre, now)
	var far kumquathitch.EntryVMs
	for _, v := range b.Members.Live("", now) {
		if v.DataCentre != own.DataCentre {
			far = append(far, v)
		}
	}
	return slices.Concat(rotate(near, own.Name), rotate(far, own.Name))
}

func rotate(vms kumquathitch.EntryVMs, name string) kumquathitch.EntryVMs {
	start := max(0, slices.IndexFunc(vms, func(v kumquathitch.EntryVM) bool { return v.Name > name }))
	return slices.Concat(vms[start:], vms[:start])
}

func (b *Borrower) request() BorrowRequest {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.requests++
	return BorrowRequest{ID: fmt.Sprintf("%s/%d", b.Self, b.requests), Borrower: b.Self}
}

// due returns the accounts for the next round with the tokens that they lack, and
// the index of the first peer to ask. These are the accounts that have advanced
// least in the list of peers; the others wait for a later round.
func (b *Borrower) due(now time.Time) (due map[string]float64, firstPeer int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	due = map[string]float64{}
	for account, w := range b.waiting {
		if w.waiters == 0 || now.Before(w.notBefore) {
			continue
		}
		if len(due) > 0 && w.nextPeer < firstPeer {
			clear(due)
		}
		if len(due) == 0 || w.nextPeer == firstPeer {
			firstPeer = w.nextPeer
			due[account] = w.missing
		}
	}
	return due, firstPeer
}

// sendRequests sends each peer its request concurrently and returns the accounts that received loans.
func (b *Borrower) sendRequests(ctx context.Context, peers kumquathitch.EntryVMs, requests []BorrowRequest) map[string]bool {
	responses := make(chan BorrowResponse, len(peers))
	for i := range peers {
		go func() {
			call, cancel := context.WithTimeout(ctx, borrowTimeout)
			defer cancel()
			var response BorrowResponse
			if err := b.Peers.Call(call, peers[i].Address, BorrowMethod, requests[i], &response); err != nil {
				response = BorrowResponse{} // Loans of a lost response expire at the lender.
			}
			responses <- response
		}()
	}
	gained := map[string]bool{}
	for range peers {
		response := <-responses
		if len(response.Loans) == 0 || !b.Buckets.Accept(response, b.Self, b.Clock.Now()) {
			continue
		}
		for _, loan := range response.Loans {
			gained[loan.Account] = true
		}
		b.broadcast()
	}
	return gained
}

// finishRound moves the accounts of a round on to the next peers, sets the
// backoff of those without new loans, and reports whether any account is due.
func (b *Borrower) finishRound(due map[string]float64, gained map[string]bool, next, peers int) bool {
	now := b.Clock.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	more := false
	for account := range due {
		w := b.waiting[account]
		if w == nil {
			continue
		}
		w.nextPeer = next
		if next >= peers {
			w.nextPeer = 0
		}
		if gained[account] {
			w.backoff = 0
		} else {
			w.backoff = min(maxBackoff, max(minBackoff, 2*w.backoff))
			w.notBefore = now.Add(w.backoff)
		}
	}
	for _, w := range b.waiting {
		more = more || w.waiters > 0 && !now.Before(w.notBefore)
	}
	return more
}

// dropIdleAccounts removes accounts without waiting requests whose backoff ended maxBackoff ago.
func (b *Borrower) dropIdleAccounts() {
	now := b.Clock.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for account, w := range b.waiting {
		if w.waiters == 0 && !now.Before(w.notBefore.Add(maxBackoff)) {
			delete(b.waiting, account)
		}
	}
}
