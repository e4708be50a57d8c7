package magnoliaworks

import (
	"magnoliaworks/core/config"
	"magnoliaworks/core/limit"
)

// budgetBurst is the burst of a budget: the number of extra sub-requests that it grants at once.
const budgetBurst = 20

// budgets bound the shares of hedges, of retries and of sub-requests that cross data centres.
type budgets struct {
	hedge *limit.Budget
	retry *limit.Budget
	cross *limit.Budget
}

func newBudgets(b config.Budgets) budgets {
	return budgets{
		hedge: limit.NewBudget(b.Hedge, budgetBurst),
		retry: limit.NewBudget(b.Retry, budgetBurst),
		cross: limit.NewBudget(b.Cross, budgetBurst),
	}
}
