#include "basilspread/core/invariant.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace basilspread {
namespace {

void Abort(std::string_view name, const std::string& detail) {
  fmt::print(stderr, "invariant: Invariant violated. name={} detail=\"{}\"\n",
             name, detail);
  std::abort();
}

ViolationHandler& CurrentHandler() {
  static ViolationHandler handler = Abort;
  return handler;
}

}  // namespace

ViolationHandler SetViolationHandler(ViolationHandler handler) {
  return std::exchange(CurrentHandler(), std::move(handler));
}

void CheckInvariant(bool holds, std::string_view name,
                    const std::function<std::string()>& describe) {
  if (!holds) {
    CurrentHandler()(name, describe());
  }
}

}  // namespace basilspread
