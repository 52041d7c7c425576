#ifndef BASILSPREAD_CORE_INVARIANT_H_
#define BASILSPREAD_CORE_INVARIANT_H_

#include <functional>
#include <string>
#include <string_view>

namespace basilspread {

/// Called with the name of a violated invariant and a description.
using ViolationHandler =
    std::function<void(std::string_view name, const std::string& detail)>;

/// Replaces the handler and returns the previous one. The built-in handler
/// prints to standard error and aborts. Not thread-safe: must not run
/// concurrently with CheckInvariant.
ViolationHandler SetViolationHandler(ViolationHandler handler);

/// Reports a violation unless `holds`. Active in release builds too.
void CheckInvariant(bool holds, std::string_view name,
                    const std::function<std::string()>& describe);

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_INVARIANT_H_
