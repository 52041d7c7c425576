#ifndef BASILSPREAD_CORE_TESTS_RANDOM_TEST_TABLES_H_
#define BASILSPREAD_CORE_TESTS_RANDOM_TEST_TABLES_H_

#include <vector>

#include "basilspread/core/hooks.h"
#include "basilspread/core/host.h"
#include "basilspread/core/record.h"
#include "basilspread/core/tables.h"

namespace random_test {

/// A route of the test tables and the time that a minion works on a request.
struct RouteLoad {
  const char* route;
  bool idempotent;
  basilspread::Duration work;
};

inline constexpr RouteLoad kRouteLoads[] = {
    {"preview", true, std::chrono::milliseconds(20)},
    {"move", false, std::chrono::milliseconds(40)},
    {"plan", true, std::chrono::milliseconds(800)},
};
inline constexpr const char* kJobRoute = "rebalance";

/// An edit for the parser of MakeHooks; its text only names the edit.
basilspread::TablesRecord MakeEdit(basilspread::TablesVersion base,
                                   const std::string& author);

/// The default policies with a parser that returns the same tables for each
/// edit.
basilspread::Hooks MakeHooks();

std::vector<basilspread::Host> MakeHosts();

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_TEST_TABLES_H_
