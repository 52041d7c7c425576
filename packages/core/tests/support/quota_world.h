#ifndef BASILSPREAD_CORE_TESTS_SUPPORT_QUOTA_WORLD_H_
#define BASILSPREAD_CORE_TESTS_SUPPORT_QUOTA_WORLD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "support/store_world.h"

namespace basilspread::test {

/// Id of a submission of the workspace, "first" or "other".
std::string WorkspaceId(const std::string& workspace, int number);

/// Tables in which the quota of "first" is this many cores, and that of "other"
/// is not limited.
WorkspaceTable MakeQuotaTable(std::int64_t cores);

/// Four workers with room for four tasks each. The quota of "first" is three
/// cores, that of "other" is not limited.
struct QuotaWorld : StoreWorld {
  QuotaWorld();

  CallId SubmitAs(const std::string& workspace, int number,
                  std::vector<StepSpec> steps);
  SubmissionState StateAs(const std::string& workspace, int number);
  int Running(const std::string& workspace);
  /// Most tasks of "first" at any time of the run.
  int MostRunning(Duration duration);
};

}  // namespace basilspread::test

#endif  // BASILSPREAD_CORE_TESTS_SUPPORT_QUOTA_WORLD_H_
