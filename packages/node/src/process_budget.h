#ifndef BASILSPREAD_NODE_PROCESS_BUDGET_H_
#define BASILSPREAD_NODE_PROCESS_BUDGET_H_

#include "basilspread/config/node_settings.h"
#include "connection_budget.h"
#include "metrics.h"

namespace basilspread::node {

/// Creates the budget of a process, which counts and logs exceeded limits.
/// `metrics` must outlive it.
ConnectionBudgetPtr MakeBudget(const config::NodeSettings& settings,
                               Metrics& metrics);

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_PROCESS_BUDGET_H_
