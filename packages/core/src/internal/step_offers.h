#ifndef BASILSPREAD_CORE_INTERNAL_STEP_OFFERS_H_
#define BASILSPREAD_CORE_INTERNAL_STEP_OFFERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Where the tasks of a step fit. Answers the load of many waiting steps: a
/// look at one costs what it may use, not what the fleet holds.
namespace basilspread::internal::step_offers {

/// What a step still needs.
struct Round {
  Submission& submission;
  std::uint32_t index;
  const StepSpec& spec;
  StepState& step;
  /// Tasks without a worker.
  std::vector<std::uint32_t> waiting;
  /// Tasks of the step that a worker has.
  std::map<HostName, std::uint32_t> placed;
};

/// A worker, and how many of the step's tasks it has room for.
struct Offer {
  FleetWorker* worker = nullptr;
  std::uint32_t room = 0;
};

Round MakeRound(Submission& submission, std::uint32_t index);
/// Whether none of the gang's members may start before there is room for all.
bool IsNewGang(const Round& round);

/// Waiting tasks of the step that fit on the worker now.
std::uint32_t RoomOn(const Context& context, const Round& round,
                     const FleetWorker& worker);
/// Those that would fit if nothing ran there.
std::uint32_t RoomWhenIdle(const Round& round, const FleetWorker& worker);

enum class Tickets { kValid, kExpired, kAny };

/// Workers with room that the advisor allows.
std::vector<Offer> Allowed(Context& context, const Round& round,
                           Tickets tickets);

/// Visits usable workers with room for a task of the step, the tightest first
/// or, for a new gang, the emptiest; until `visit` returns false.
void VisitRoom(Context& context, const Round& round,
               const std::function<bool(const Offer&)>& visit);

/// Visits workers that would have room for a member of the gang if nothing ran
/// there, the emptiest first; until `visit` returns false.
void VisitWhenIdle(Context& context, const Round& round,
                   const std::function<bool(const Offer&)>& visit);

std::uint32_t TotalRoom(const std::vector<Offer>& offers);

}  // namespace basilspread::internal::step_offers

#endif  // BASILSPREAD_CORE_INTERNAL_STEP_OFFERS_H_
