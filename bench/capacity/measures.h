#ifndef BASILSPREAD_BENCH_CAPACITY_MEASURES_H_
#define BASILSPREAD_BENCH_CAPACITY_MEASURES_H_

#include <vector>

#include "capacity/slope.h"

namespace capacity {

using Slopes = std::vector<Slope>;

/// Idle entry processes under virtual time, by the number of members.
Slopes MeasureMembers();

/// Reading and keeping the host list, by the number of hosts.
Slopes MeasureHostList();

/// Parsing and keeping the tables, by the number of teams with a quota.
Slopes MeasureTables();

/// The control thread's time for requests, by the number of minions.
Slopes MeasureRequests();

/// Real idle entry processes, by the number of hosts in the list.
Slopes MeasureIdleProcesses();

}  // namespace capacity

#endif  // BASILSPREAD_BENCH_CAPACITY_MEASURES_H_
