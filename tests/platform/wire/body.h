#ifndef BASILSPREAD_TESTS_PLATFORM_WIRE_BODY_H_
#define BASILSPREAD_TESTS_PLATFORM_WIRE_BODY_H_

#include <string>
#include <vector>

#include "basilspread/core/time.h"

/// Parts of JSON bodies.
namespace standin::wire {

/// A JSON string.
std::string Quote(const std::string& text);
/// A JSON list of values that are JSON already.
std::string ListOf(const std::vector<std::string>& values);

std::int64_t ToMilliseconds(basilspread::Duration duration);

}  // namespace standin::wire

#endif  // BASILSPREAD_TESTS_PLATFORM_WIRE_BODY_H_
