#ifndef BASILSPREAD_CTL_SRC_AWAIT_H_
#define BASILSPREAD_CTL_SRC_AWAIT_H_

#include <functional>

#include "basilspread/core/time.h"

namespace basilspread::ctl {

/// Polls the condition until it holds; false when the timeout passes first. The
/// condition is evaluated at least once.
bool Await(Duration timeout, const std::function<bool()>& condition);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_AWAIT_H_
