#ifndef BASILSPREAD_CTL_SRC_AWAIT_H_
#define BASILSPREAD_CTL_SRC_AWAIT_H_

#include <functional>

#include "basilspread/core/time.h"

namespace basilspread::ctl {

/// Asks the condition at intervals until it holds; false when the timeout
/// passes first. The condition is asked at least once.
bool Await(Duration timeout, const std::function<bool()>& condition);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_AWAIT_H_
