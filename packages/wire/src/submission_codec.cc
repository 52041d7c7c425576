#include "submission_codec.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "common.h"
#include "job_parts.h"

namespace basilspread::wire::submission_codec {
namespace {

using job_codec::PackPart;
using job_codec::ToEnum;
using job_codec::UnpackPart;

std::string TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

/// Packs a string; unset when empty, since an absent string takes no bytes.
flatbuffers::Offset<flatbuffers::String> PackText(Builder& builder,
                                                  const std::string& text) {
  return text.empty() ? flatbuffers::Offset<flatbuffers::String>()
                      : builder.CreateString(text);
}

flatbuffers::Offset<fb::StepSpec> PackStep(Builder& builder,
                                           const StepSpec& step) {
  const auto demand = PackPart(builder, step.demand);
  const auto after = builder.CreateVector(step.after);
  const auto label = PackText(builder, step.required_label);
  const auto rack = PackText(builder, step.data_rack.value);
  const auto image = PackText(builder, step.image);
  return fb::CreateStepSpec(
      builder, step.count, demand, step.expected_run_time.count(), after,
      step.checkpoints, step.gang, step.rack_local, step.speculative,
      step.long_running, step.fills_idle_cpu, label, rack, step.max_per_worker,
      image, step.target_latency.count(), step.max_unavailable);
}

bool IsSmall(const fb::StepSpec& packed) {
  return IsShort(packed.required_label(), limits::kMaxNameBytes) &&
         IsShort(packed.data_rack(), limits::kMaxNameBytes) &&
         IsShort(packed.image(), limits::kMaxNameBytes) &&
         (packed.after() == nullptr ||
          packed.after()->size() <= limits::kMaxSteps);
}

StepSpec UnpackStep(const fb::StepSpec& packed) {
  StepSpec step;
  step.count = packed.count();
  step.demand = UnpackPart(*packed.demand());
  step.expected_run_time = Duration(packed.expected_run_time_ns());
  if (packed.after() != nullptr) {
    step.after.assign(packed.after()->begin(), packed.after()->end());
  }
  step.checkpoints = packed.checkpoints();
  step.gang = packed.gang();
  step.rack_local = packed.rack_local();
  step.speculative = packed.speculative();
  step.long_running = packed.long_running();
  step.fills_idle_cpu = packed.fills_idle_cpu();
  step.required_label = TextOf(packed.required_label());
  step.data_rack = RackName{TextOf(packed.data_rack())};
  step.max_per_worker = packed.max_per_worker();
  step.image = TextOf(packed.image());
  step.target_latency = Duration(packed.target_latency_ns());
  step.max_unavailable = packed.max_unavailable();
  return step;
}

Error TooLarge() {
  return Error{ErrorKind::kBadRequest,
               "a field of the message exceeds its limit"};
}

Result<PeerMessage> Unpack(const fb::SubmissionCall& packed) {
  SubmissionCall message;
  message.call = CallId{packed.call()};
  message.operation =
      ToEnum(packed.operation(), SubmissionOperation::kCountWaiting);
  message.route = RouteName{packed.route()->str()};
  message.id = SubmissionId{packed.id()->str()};
  if (packed.workspace() != nullptr &&
      !IsShort(packed.workspace(), limits::kMaxNameBytes)) {
    return TooLarge();
  }
  message.workspace = WorkspaceName{TextOf(packed.workspace())};
  if (packed.spec() != nullptr) {
    BOOST_OUTCOME_TRY(spec, UnpackSpec(*packed.spec()));
    message.spec = std::move(spec);
  }
  if (message.operation == SubmissionOperation::kSubmit && !message.spec) {
    return Error{ErrorKind::kBadRequest, "a submit call has no specification"};
  }
  return PeerMessage(std::move(message));
}

PeerMessage Unpack(const fb::SubmissionAnswer& packed) {
  SubmissionAnswer message;
  message.call = CallId{packed.call()};
  message.kind = ErrorKindNamed(packed.error()->string_view());
  message.state = ToEnum(packed.state(), SubmissionState::kCancelled);
  message.waiting = packed.waiting();
  message.retry_after = Duration(packed.retry_after_ns());
  return message;
}

/// Limit of a host's capacity in cores or Mbit/s, above that of any host. NaN
/// is rejected too.
constexpr double kMaxCapacity = 1e9;

bool IsCapacity(double processor_share, double link_mbps) {
  return processor_share >= 0 && processor_share <= kMaxCapacity &&
         link_mbps >= 0 && link_mbps <= kMaxCapacity;
}

bool IsWithin(const fb::Candidate& packed) {
  return IsShort(packed.node(), limits::kMaxNameBytes) &&
         IsCapacity(packed.processor_share(), packed.link_mbps());
}

LeaderAck Unpack(const fb::LeaderAck* packed) {
  if (packed == nullptr) {
    return {};
  }
  return {Epoch{packed->epoch()}, TimePoint(Duration(packed->sent_at_ns())),
          TimePoint(Duration(packed->report_sent_at_ns()))};
}

flatbuffers::Offset<fb::LeaderAck> Pack(Builder& builder,
                                        const LeaderAck& ack) {
  if (ack.epoch.value == 0) {
    return {};
  }
  return fb::CreateLeaderAck(builder, ack.epoch.value,
                             ack.sent_at.time_since_epoch().count(),
                             ack.report_sent_at.time_since_epoch().count());
}

/// Whether the list is short and each leader is named; checked before the list
/// is copied.
bool IsSmall(const fb::HelperReport& packed) {
  const auto* leaders = packed.acknowledged_by();
  return leaders == nullptr ||
         (leaders->size() <= kMaxNameCount &&
          std::all_of(leaders->begin(), leaders->end(),
                      [](const fb::AcknowledgingLeader* leader) {
                        return IsShort(leader->node(), limits::kMaxNameBytes);
                      }));
}

Result<PeerMessage> Unpack(const fb::LeaderReport& packed) {
  const auto* candidates = packed.candidates();
  const bool is_small = candidates == nullptr ||
                        (candidates->size() <= kMaxNameCount &&
                         std::all_of(candidates->begin(), candidates->end(),
                                     [](const fb::Candidate* candidate) {
                                       return IsWithin(*candidate);
                                     }));
  if (!AreBoundedNames(packed.members()) || !is_small) {
    return TooLarge();
  }
  LeaderReport message;
  message.leader = packed.leader()->str();
  message.generation = packed.generation();
  message.releases = packed.releases();
  message.ack = Unpack(packed.ack());
  if (packed.members() != nullptr) {
    for (const auto* member : *packed.members()) {
      message.members.push_back(member->str());
    }
  }
  if (packed.candidates() != nullptr) {
    for (const auto* candidate : *packed.candidates()) {
      message.candidates.push_back(
          {NodeName{candidate->node()->str()},
           {candidate->processor_share(), candidate->link_mbps()}});
    }
  }
  return PeerMessage(std::move(message));
}

Result<PeerMessage> Unpack(const fb::HelperReport& packed) {
  const bool is_within =
      IsCapacity(packed.processor_share(), packed.link_mbps()) &&
      packed.busy_share() >= 0 && packed.busy_share() <= kMaxCapacity &&
      IsShort(packed.zone(), limits::kMaxNameBytes) && IsSmall(packed);
  if (!is_within) {
    return TooLarge();
  }
  HelperReport message;
  message.address = packed.address()->str();
  message.capacity = {packed.processor_share(), packed.link_mbps()};
  message.is_candidate = packed.stands();
  message.busy_share = packed.busy_share();
  message.zone = ZoneName{TextOf(packed.zone())};
  message.carries_calls = packed.carries_calls();
  message.misses_leader = packed.misses_leader();
  message.sent_at = TimePoint(Duration(packed.sent_at_ns()));
  message.ack = Unpack(packed.ack());
  message.highest_epoch = Epoch{packed.highest_epoch()};
  message.is_stopping = packed.is_stopping();
  if (packed.acknowledged_by() != nullptr) {
    for (const auto* leader : *packed.acknowledged_by()) {
      message.acknowledged_by.push_back(
          {{NodeName{leader->node()->str()}, leader->incarnation()},
           Duration(leader->age_ns())});
    }
  }
  return PeerMessage(std::move(message));
}

Result<PeerMessage> Unpack(const fb::AdviceCall& packed) {
  if (!AreBoundedNames(packed.workers())) {
    return TooLarge();
  }
  AdviceCall message;
  message.ask.number = packed.number();
  message.ask.submission = SubmissionId{packed.submission()->str()};
  message.ask.step = packed.step();
  for (const auto* worker : *packed.workers()) {
    message.ask.workers.push_back(HostName{worker->str()});
  }
  return PeerMessage(std::move(message));
}

bool IsSmall(const fb::AdviceTicket& packed) {
  return IsShort(packed.worker(), limits::kMaxNameBytes) &&
         IsShort(packed.ticket(), limits::kMaxTextBytes);
}

Result<PeerMessage> Unpack(const fb::AdviceAnswer& packed) {
  const auto* tickets = packed.tickets();
  const bool is_small =
      tickets == nullptr || (tickets->size() <= kMaxNameCount &&
                             std::all_of(tickets->begin(), tickets->end(),
                                         [](const fb::AdviceTicket* ticket) {
                                           return IsSmall(*ticket);
                                         }));
  if (!is_small) {
    return TooLarge();
  }
  AdviceAnswer message;
  message.given.number = packed.number();
  message.given.ok = packed.ok();
  message.given.validity = Duration(packed.validity_ns());
  if (packed.tickets() != nullptr) {
    for (const auto* ticket : *packed.tickets()) {
      message.given.tickets.push_back(
          {HostName{ticket->worker()->str()}, ticket->ticket()->str()});
    }
  }
  return PeerMessage(std::move(message));
}

}  // namespace

PackedBody Pack(Builder& builder, const SubmissionCall& message) {
  const auto route = builder.CreateString(message.route.value);
  const auto id = builder.CreateString(message.id.value);
  const auto spec = message.spec ? PackSpec(builder, *message.spec)
                                 : flatbuffers::Offset<fb::SubmissionSpec>();
  const auto workspace = PackText(builder, message.workspace.value);
  return {fb::PeerBody::SubmissionCall,
          fb::CreateSubmissionCall(builder, message.call.value,
                                   static_cast<std::uint8_t>(message.operation),
                                   route, id, spec, workspace)
              .Union()};
}

PackedBody Pack(Builder& builder, const SubmissionAnswer& message) {
  const auto error =
      builder.CreateString(std::string(AnswerFor(message.kind).name));
  return {
      fb::PeerBody::SubmissionAnswer,
      fb::CreateSubmissionAnswer(builder, message.call.value, error,
                                 static_cast<std::uint8_t>(message.state),
                                 message.waiting, message.retry_after.count())
          .Union()};
}

PackedBody Pack(Builder& builder, const HelperReport& message) {
  const auto address = builder.CreateString(message.address);
  const auto zone = PackText(builder, message.zone.value);
  std::vector<flatbuffers::Offset<fb::AcknowledgingLeader>> leaders;
  for (const AcknowledgingLeader& leader : message.acknowledged_by) {
    const auto node = builder.CreateString(leader.process.node.value);
    leaders.push_back(fb::CreateAcknowledgingLeader(
        builder, node, leader.process.incarnation, leader.age.count()));
  }
  const auto acknowledged_by = builder.CreateVector(leaders);
  const auto ack = Pack(builder, message.ack);
  return {
      fb::PeerBody::HelperReport,
      fb::CreateHelperReport(
          builder, address, message.capacity.processor_share,
          message.capacity.link_mbps, message.is_candidate, message.busy_share,
          zone, message.carries_calls, message.misses_leader,
          message.sent_at.time_since_epoch().count(), ack,
          message.highest_epoch.value, acknowledged_by, message.is_stopping)
          .Union()};
}

PackedBody Pack(Builder& builder, const LeaderReport& message) {
  std::vector<flatbuffers::Offset<fb::Candidate>> packed;
  for (const Candidate& candidate : message.candidates) {
    const auto node = builder.CreateString(candidate.node.value);
    packed.push_back(fb::CreateCandidate(builder, node,
                                         candidate.capacity.processor_share,
                                         candidate.capacity.link_mbps));
  }
  const auto candidates = builder.CreateVector(packed);
  const auto members = builder.CreateVectorOfStrings(message.members);
  const auto leader = builder.CreateString(message.leader);
  const auto ack = Pack(builder, message.ack);
  return {fb::PeerBody::LeaderReport,
          fb::CreateLeaderReport(builder, leader, members, message.generation,
                                 message.releases, candidates, ack)
              .Union()};
}

PackedBody Pack(Builder& builder, const AdviceCall& message) {
  std::vector<flatbuffers::Offset<flatbuffers::String>> workers;
  for (const HostName& worker : message.ask.workers) {
    workers.push_back(builder.CreateString(worker.value));
  }
  const auto names = builder.CreateVector(workers);
  const auto submission = builder.CreateString(message.ask.submission.value);
  return {fb::PeerBody::AdviceCall,
          fb::CreateAdviceCall(builder, message.ask.number, submission,
                               message.ask.step, names)
              .Union()};
}

PackedBody Pack(Builder& builder, const AdviceAnswer& message) {
  std::vector<flatbuffers::Offset<fb::AdviceTicket>> tickets;
  for (const AdviceTicket& ticket : message.given.tickets) {
    const auto worker = builder.CreateString(ticket.worker.value);
    const auto text = builder.CreateString(ticket.ticket);
    tickets.push_back(fb::CreateAdviceTicket(builder, worker, text));
  }
  const auto packed = builder.CreateVector(tickets);
  return {
      fb::PeerBody::AdviceAnswer,
      fb::CreateAdviceAnswer(builder, message.given.number, message.given.ok,
                             packed, message.given.validity.count())
          .Union()};
}

Result<PeerMessage> UnpackMessage(const fb::Frame& frame) {
  switch (frame.body_type()) {
    case fb::PeerBody::SubmissionCall:
      return Unpack(*frame.body_as_SubmissionCall());
    case fb::PeerBody::SubmissionAnswer:
      return Unpack(*frame.body_as_SubmissionAnswer());
    case fb::PeerBody::HelperReport:
      return Unpack(*frame.body_as_HelperReport());
    case fb::PeerBody::LeaderReport:
      return Unpack(*frame.body_as_LeaderReport());
    case fb::PeerBody::AdviceCall:
      return Unpack(*frame.body_as_AdviceCall());
    case fb::PeerBody::AdviceAnswer:
      return Unpack(*frame.body_as_AdviceAnswer());
    default:
      return Error{ErrorKind::kBadRequest,
                   "the kind of the message is unknown"};
  }
}

flatbuffers::Offset<fb::SubmissionSpec> PackSpec(Builder& builder,
                                                 const SubmissionSpec& spec) {
  std::vector<flatbuffers::Offset<fb::StepSpec>> steps;
  for (const StepSpec& step : spec.steps) {
    steps.push_back(PackStep(builder, step));
  }
  const auto packed_steps = builder.CreateVector(steps);
  const auto id = builder.CreateString(spec.id.value);
  const auto route = builder.CreateString(spec.route.value);
  const auto command = builder.CreateString(spec.command);
  const auto workspace = PackText(builder, spec.workspace.value);
  return fb::CreateSubmissionSpec(builder, id, route, command, packed_steps,
                                  spec.repetitions, workspace);
}

Result<SubmissionSpecPtr> UnpackSpec(const fb::SubmissionSpec& packed) {
  const auto& steps = *packed.steps();
  const bool is_small =
      steps.size() <= limits::kMaxSteps &&
      (packed.workspace() == nullptr ||
       IsShort(packed.workspace(), limits::kMaxNameBytes)) &&
      std::all_of(steps.begin(), steps.end(),
                  [](const fb::StepSpec* step) { return IsSmall(*step); });
  if (!is_small) {
    return TooLarge();
  }
  boost::intrusive_ptr<SubmissionSpec> spec(new SubmissionSpec);
  spec->id = SubmissionId{packed.id()->str()};
  spec->route = RouteName{packed.route()->str()};
  spec->workspace = WorkspaceName{TextOf(packed.workspace())};
  spec->command = packed.command()->str();
  spec->repetitions = packed.repetitions();
  for (const auto* step : steps) {
    spec->steps.push_back(UnpackStep(*step));
  }
  if (!limits::IsWithin(*spec)) {
    return Error{ErrorKind::kBadRequest,
                 "a value of the submission is out of bounds"};
  }
  return SubmissionSpecPtr(std::move(spec));
}

}  // namespace basilspread::wire::submission_codec
