#ifndef BASILSPREAD_CORE_INTERNAL_PREDECESSORS_H_
#define BASILSPREAD_CORE_INTERNAL_PREDECESSORS_H_

#include "basilspread/core/event.h"
#include "basilspread/core/submission_message.h"
#include "basilspread/core/submission_record.h"
#include "internal/context.h"

/// Earlier leaders that may go on without knowing of this one, and how long
/// this one waits for the leases that they may have granted.
namespace basilspread::internal::predecessors {

/// Notes a leader that the work log names, and connects to it.
void Load(Context& context, const LeaderRecord& record);
/// Handles that all records of leaders were read.
void OnLoaded(Context& context);
/// Handles a report that repeats an acknowledgement of this takeover.
void OnReport(Context& context, const ProcessId& from,
              const HelperReport& report);
/// Removes the records of leaders whose leases have surely lapsed.
void OnTimer(Context& context);

/// When the leases that earlier leaders granted, or may yet grant, on workers
/// that this leader has not reached have surely ended.
TimePoint LeasesEnd(const Context& context);

}  // namespace basilspread::internal::predecessors

#endif  // BASILSPREAD_CORE_INTERNAL_PREDECESSORS_H_
