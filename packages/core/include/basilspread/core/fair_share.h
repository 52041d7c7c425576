#ifndef BASILSPREAD_CORE_FAIR_SHARE_H_
#define BASILSPREAD_CORE_FAIR_SHARE_H_

#include <map>

#include "basilspread/core/ids.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// Token bucket of a workspace. Each submission within the share takes a token.
struct ShareBucket {
  double tokens = 0;
  TimePoint refilled_at;
};

/// The leader's buckets; a workspace without an entry has a full one.
struct FairShareState {
  std::map<WorkspaceName, ShareBucket> buckets;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_FAIR_SHARE_H_
