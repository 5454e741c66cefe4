package executor

import (
	"context"
	"fmt"

	"github.com/cuminwick/cuminwick/internal/limit/retrier"
	"github.com/cuminwick/cuminwick/internal/proxy/quotakeeper"
)

// refuseBeyondLimit counts the operation that begins with this statement. It returns the text of the
// refusal, empty if the operation is within its customer's limit.
func (a *attempt) refuseBeyondLimit() string {
	if a.session.Limiter == nil || a.customer == "" {
		return ""
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.deadline)
	defer cancel()
	r := a.session.Limiter.Admit(ctx, quotakeeper.Operation{Customer: a.customer, Level: a.importance.Level()})
	if r == nil {
		return ""
	}
	a.reason = limitReason(a.customer, r)
	return a.refusalText(retrier.Step{RetryAfter: r.RetryAfter})
}

// uncount takes back the count of the operation if it has certainly not run.
func (a *attempt) uncount() {
	if a.session.Limiter != nil && a.customer != "" && !a.mayHaveRun {
		a.session.Limiter.Return(a.customer)
	}
}

// limitReason describes a refusal by the customer's limit.
func limitReason(customer string, r *quotakeeper.Refusal) string {
	if r.Unreachable {
		return fmt.Sprintf("no host that counts the operations of customer %s answers", customer)
	}
	return fmt.Sprintf("customer %s is over its limit of %g operations a second, burst %g", customer, r.Limit.Rate, r.Limit.Burst)
}
