#ifndef BASILSPREAD_TESTS_PLATFORM_CONTEXT_H_
#define BASILSPREAD_TESTS_PLATFORM_CONTEXT_H_

#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/payload.h"
#include "platform/submission.h"

namespace standin {

using basilspread::CallId;
using basilspread::PayloadPtr;

/// Answers a call that arrived at a stand-in.
struct AnswerCall {
  CallId call;
  Duration after{};
  PayloadPtr answer;
};

/// What a stand-in needs to handle a call, and where its answers go.
struct Context {
  TimePoint now;
  std::vector<AnswerCall>& answers;
};

}  // namespace standin

#endif  // BASILSPREAD_TESTS_PLATFORM_CONTEXT_H_
