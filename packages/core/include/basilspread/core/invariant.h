#ifndef BASILSPREAD_CORE_INVARIANT_H_
#define BASILSPREAD_CORE_INVARIANT_H_

#include <functional>
#include <string>
#include <string_view>

namespace basilspread {

/// Called with the name and the detail of an invariant that does not hold.
using ViolationHandler =
    std::function<void(std::string_view name, const std::string& detail)>;

/// Replaces the handler and returns the one before. The built-in handler
/// prints to standard error and aborts. Not for use beside running checks.
ViolationHandler SetViolationHandler(ViolationHandler handler);

/// Reports a violation unless `holds`. On in release builds too.
void CheckInvariant(bool holds, std::string_view name,
                    const std::function<std::string()>& describe);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_INVARIANT_H_
