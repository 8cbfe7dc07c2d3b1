package rate

import (
	"slices"
	"time"
)

// BorrowMethod is the peer method that carries a BorrowRequest.
const BorrowMethod = "rate.borrow"

const (
	// borrowMargin is the multiple of its recent demand that a borrower wants to
	// have as rate, because demand varies around its mean.
	borrowMargin = 1.2
	// lendMargin is the multiple of its recent demand that a lender keeps as rate.
	lendMargin = 1.2
	// slowDemandTimeConstant and fastDemandTimeConstant are the time constants of
	// two exponentially decayed estimates of demand, of which the higher one
	// counts. The slow one covers the gaps between single requests. The fast one
	// follows a shift of traffic within half a loan term; with the slow one alone,
	// loans expired in the first seconds of a shift although they were needed.
	slowDemandTimeConstant = 10 * time.Second
	fastDemandTimeConstant = 2 * time.Second
	// minLoanFraction is the smallest fraction of a lender's limit that is lent,
	// also for smaller loan requests. Without this minimum, a VM without shares
	// would refuse requests that cost less than a thousandth of its only lender's tokens.
	minLoanFraction = 1e-3
)

// LoanRequest is the loan that a borrower asks for one account.
type LoanRequest struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`   // Tokens per second, >= 0.
	Tokens  float64 `json:"tokens"` // Tokens needed now, >= 0.
}

// Split returns the request to send to each of a number of lenders. The rate is
// divided evenly; of the tokens each lender is asked for overRequestFactor times
// an even share.
func (r LoanRequest) Split(lenders int) LoanRequest {
	r.Rate /= float64(lenders)
	r.Tokens *= overRequestFactor / float64(lenders)
	return r
}

// BorrowRequest asks a VM for loans of several accounts and for extensions of loans that it has made.
type BorrowRequest struct {
	ID         string        `json:"id"` // Unique over all requests of all processes.
	Borrower   Holder        `json:"borrower"`
	Loans      []LoanRequest `json:"wants,omitempty"`
	Extensions []Extension   `json:"extend,omitempty"`
}

// Extension asks for a later deadline of a loan.
type Extension struct {
	Loan    string `json:"loan"`
	Account string `json:"account"`
}

// Loan moves rate, burst and tokens of one account from a lender to a borrower
// until a deadline.
type Loan struct {
	ID       string    `json:"id"` // Unique over all loans of all processes.
	Account  string    `json:"account"`
	Lender   Holder    `json:"lender"`
	Rate     float64   `json:"rate"`     // Tokens per second.
	Burst    float64   `json:"burst"`    // Tokens.
	Level    float64   `json:"level"`    // Tokens that move permanently; 0 in the response to an extension.
	Deadline time.Time `json:"deadline"` // When the borrower stops using the loan, by its own clock.
}

// BorrowResponse is the response to a BorrowRequest, with the loans that were made or extended.
type BorrowResponse struct {
	ID       string `json:"id"`       // Of the request.
	Borrower Holder `json:"borrower"` // Of the request.
	Loans    []Loan `json:"loans,omitempty"`
}

// LenderState is the state of one account at the lender that the decision on a loan depends on.
type LenderState struct {
	Lendable Limit   // Own limit less all loans made, counting only shares that outlast the loan.
	Level    float64 // Tokens available now.
	Demand   float64 // Own recent demand, tokens per second.
}

// DecideLoan returns the fraction of the lendable limit to lend, in [0, 1]. It is
// what the request needs, but at least minLoanFraction and at most what the
// lender's own demand leaves; 0 if that is below minLoanFraction.
func DecideLoan(lender LenderState, request LoanRequest) float64 {
	if lender.Lendable.Rate <= 0 || lender.Lendable.Burst <= 0 || request.Rate <= 0 && request.Tokens <= 0 {
		return 0
	}
	unused := 1 - lender.Demand*lendMargin/lender.Lendable.Rate
	fraction := request.Rate / lender.Lendable.Rate
	if lender.Level > 0 {
		fraction = max(fraction, request.Tokens/lender.Level)
	}
	if fraction = min(max(fraction, minLoanFraction), unused, 1); fraction < minLoanFraction {
		return 0
	}
	return fraction
}

// NewLoanRequest returns the loan that a VM needs from its peers: the rate by
// which its recent demand, with borrowMargin, exceeds its limit, and the tokens
// that its waiting requests lack.
func NewLoanRequest(account string, limit Limit, demand, missing float64) LoanRequest {
	return LoanRequest{Account: account, Rate: max(0, demand*borrowMargin-limit.Rate), Tokens: max(0, missing)}
}

// DecideExtension reports whether a lender can extend a loan by another term,
// given that lender.Lendable excludes the loan.
func DecideExtension(lender LenderState) bool {
	return lender.Demand*lendMargin <= lender.Lendable.Rate
}

// dueForExtension returns the loans that end in less than half a loan term and
// without which the rate would not cover the demand.
func dueForExtension(loans []Loan, limit Limit, demand float64, settings Settings, now time.Time) []Loan {
	spare := limit.Rate - demand*borrowMargin
	var due []Loan
	for _, l := range loans {
		if !now.Before(l.Deadline) {
			continue
		}
		if spare >= l.Rate {
			spare -= l.Rate
			continue
		}
		if l.Deadline.Sub(now) < settings.LoanTerm/2 {
			due = append(due, l)
		}
	}
	return due
}

func findLoan(loans []Loan, id string) *Loan {
	i := slices.IndexFunc(loans, func(l Loan) bool { return l.ID == id })
	if i < 0 {
		return nil
	}
	return &loans[i]
}
