#include "fair_order/share.h"

#include <algorithm>

#include "internal/queue_tables.h"

namespace basilspread::internal::fair_order {
namespace {

double WindowOf(const Context& context) {
  const Duration window = context.state.settings.admission.quota_window;
  return std::chrono::duration<double>(window).count();
}

/// Submissions that the workspace may send in each window.
double BurstOf(const Context& context, const Workspace& row) {
  // A smaller bucket would never hold a whole token.
  return std::max(1.0, row.weight * WindowOf(context) +
                           context.state.settings.admission.quota_slack);
}

/// The workspace's bucket with the tokens of the elapsed time; null if its
/// share has no limit.
ShareBucket* Refill(Context& context, const WorkspaceName& name) {
  const Workspace* row = queue_tables::FindWorkspace(context, name);
  if (row == nullptr || row->weight <= 0) {
    return nullptr;
  }
  const double burst = BurstOf(context, *row);
  auto& buckets = context.state.submissions.fair_share.buckets;
  ShareBucket& bucket =
      buckets.try_emplace(name, ShareBucket{burst, context.now}).first->second;
  const std::chrono::duration<double> elapsed =
      context.now - bucket.refilled_at;
  bucket.tokens = std::min(
      burst, bucket.tokens + burst * elapsed.count() / WindowOf(context));
  bucket.refilled_at = context.now;
  return &bucket;
}

}  // namespace

bool IsBeyondShare(Context& context, const WorkspaceName& name) {
  const ShareBucket* bucket = Refill(context, name);
  return bucket != nullptr && bucket->tokens < 1;
}

void OnAdmitted(Context& context, const Submission& submission) {
  const WorkspaceName& name = submission.spec->workspace;
  if (submission.is_beyond_share) {
    context.Count(Metric::kBeyondShare, name.value);
  } else if (ShareBucket* bucket = Refill(context, name)) {
    bucket->tokens -= 1;
  }
}

void OnNotAccepted(Context& context, const Submission& submission) {
  ShareBucket* bucket = Refill(context, submission.spec->workspace);
  if (bucket != nullptr && !submission.is_beyond_share) {
    bucket->tokens += 1;
  }
}

}  // namespace basilspread::internal::fair_order
