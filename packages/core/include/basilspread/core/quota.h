#ifndef BASILSPREAD_CORE_QUOTA_H_
#define BASILSPREAD_CORE_QUOTA_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

#include "basilspread/core/ids.h"
#include "basilspread/core/queue_rank.h"
#include "basilspread/core/resources.h"
#include "basilspread/core/time.h"

namespace basilspread {

/// What the tasks of one workspace reserve on all workers. Counts every run
/// that may exist.
struct WorkspaceUsage
    : boost::intrusive_ref_counter<WorkspaceUsage,
                                   boost::thread_unsafe_counter> {
  WorkspaceName name;
  Resources reserved;
  /// Part of `reserved` that long-running tasks hold.
  Resources long_running;
  std::size_t runs = 0;
  /// Queued submissions that wait for the quota, the most urgent first.
  std::set<std::pair<QueueRank, SubmissionId>> waiting;
  /// Submissions with a gang that waits for the quota, by their arrival. A gang
  /// that the quota or the pool cannot hold is not among them.
  std::set<std::pair<TimePoint, SubmissionId>> waiting_gangs;
};

using WorkspaceUsagePtr = boost::intrusive_ptr<WorkspaceUsage>;

/// A run that occupies capacity of a worker.
struct RunReservation {
  Resources demand;
  /// Null for a run of no known workspace.
  WorkspaceUsagePtr usage;
  /// The run ends only when its submission is cancelled.
  bool is_long_running = false;
  /// The run is of no submission that is known, so that `demand` and `usage`
  /// are not, either.
  bool is_unattributed = false;
};

/// The leader's ledger of what workspaces use.
struct QuotaState {
  std::map<WorkspaceName, WorkspaceUsagePtr> usage;
  /// Upper bound of what tasks that an earlier leader may have started reserve
  /// on workers that have not answered, and when it was computed.
  std::map<WorkspaceName, Resources> uncertain;
  TimePoint uncertain_at;
  /// Number of reserved runs by submission.
  std::map<SubmissionId, std::size_t> runs;
  /// Ended submissions whose specifications stay in the work log, so that a
  /// later leader knows what their runs use.
  std::set<SubmissionId> retained_specs;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_QUOTA_H_
