#ifndef BASILSPREAD_CORE_TESTS_RANDOM_TEST_TABLES_H_
#define BASILSPREAD_CORE_TESTS_RANDOM_TEST_TABLES_H_

#include <vector>

#include "basilspread/core/hooks.h"
#include "basilspread/core/host.h"
#include "basilspread/core/record.h"
#include "basilspread/core/tables.h"

namespace random_test {

/// A kind of request of the test's tables, and how long a minion works on it.
struct RouteUse {
  const char* route;
  bool idempotent;
  basilspread::Duration work;
};

inline constexpr RouteUse kRouteUses[] = {
    {"preview", true, std::chrono::milliseconds(20)},
    {"move", false, std::chrono::milliseconds(40)},
    {"plan", true, std::chrono::milliseconds(800)},
};
inline constexpr const char* kJobRoute = "rebalance";

/// An edit as the hook below reads it: the text is the edit's own name.
basilspread::TablesRecord MakeEdit(basilspread::TablesVersion base,
                                   const std::string& author);

/// The built-in policies and a parser that gives each edit the same tables.
basilspread::Hooks MakeHooks();

std::vector<basilspread::Host> MakeHosts();

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_TEST_TABLES_H_
