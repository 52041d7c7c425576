#include "relay_codec.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "basilspread/core/limits.h"
#include "common.h"
#include "job_parts.h"

namespace basilspread::wire::relay_codec {
namespace {

using flatbuffers::Offset;
using job_codec::ToEnum;

/// Collects the submissions that the runs of a message refer to.
class SubmissionTable {
 public:
  std::uint32_t IndexOf(const SubmissionId& id) {
    const auto [found, is_new] = this->indices.try_emplace(
        id, static_cast<std::uint32_t>(this->rows.size()));
    if (is_new) {
      this->rows.push_back({&found->first, {}});
    }
    return found->second;
  }

  void AddSpec(const SubmissionSpecPtr& spec) {
    this->rows[this->IndexOf(spec->id)].spec = spec;
  }

  fb::HandRun MakeRunReference(const RunName& name) {
    return {this->IndexOf(name.task.submission), name.task.step,
            name.task.index, name.run.value};
  }

  auto Pack(Builder& builder) const {
    std::vector<Offset<fb::HandSubmission>> packed;
    for (const Row& row : this->rows) {
      const auto id = builder.CreateString(row.id->value);
      const auto command = row.spec ? builder.CreateString(row.spec->command)
                                    : Offset<flatbuffers::String>();
      packed.push_back(fb::CreateHandSubmission(builder, id, command));
    }
    return builder.CreateVector(packed);
  }

 private:
  struct Row {
    const SubmissionId* id;
    SubmissionSpecPtr spec;
  };

  std::map<SubmissionId, std::uint32_t> indices;
  std::vector<Row> rows;
};

std::string TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

/// Packs a string; unset when empty, since an absent string takes no bytes.
/// Equal strings of a message share their bytes.
Offset<flatbuffers::String> PackText(Builder& builder,
                                     const std::string& text) {
  return text.empty() ? Offset<flatbuffers::String>()
                      : builder.CreateSharedString(text);
}

/// Visitor that packs an order.
struct OrderPacker {
  Builder& builder;
  SubmissionTable& submissions;

  Offset<fb::HandOrder> operator()(const StartRun& order) const {
    this->submissions.AddSpec(order.spec);
    const fb::HandRun run = this->submissions.MakeRunReference(order.name);
    const auto checkpoint = PackText(this->builder, order.checkpoint);
    const auto ticket = PackText(this->builder, order.ticket);
    fb::HandOrderBuilder packed = this->Begin(order, fb::HandCall::Start);
    packed.add_run(&run);
    packed.add_lease_until_ns(order.lease_until.count());
    packed.add_checkpoint(checkpoint);
    packed.add_ticket(ticket);
    return packed.Finish();
  }

  Offset<fb::HandOrder> operator()(const StopRun& order) const {
    const fb::HandRun run = this->submissions.MakeRunReference(order.name);
    fb::HandOrderBuilder packed = this->Begin(order, fb::HandCall::Stop);
    packed.add_run(&run);
    return packed.Finish();
  }

  Offset<fb::HandOrder> operator()(const PollWorker& order) const {
    fb::HandOrderBuilder packed = this->Begin(order, fb::HandCall::Look);
    packed.add_acknowledged(order.acknowledged);
    packed.add_lease_until_ns(order.lease_until.count());
    packed.add_wait_ns(order.wait.count());
    return packed.Finish();
  }

 private:
  template <typename Order>
  fb::HandOrderBuilder Begin(const Order& order, fb::HandCall kind) const {
    const auto worker = this->builder.CreateSharedString(order.worker.value);
    const auto address = this->builder.CreateSharedString(order.address);
    fb::HandOrderBuilder packed(this->builder);
    packed.add_number(order.number);
    packed.add_kind(kind);
    packed.add_worker(worker);
    packed.add_address(address);
    packed.add_fence(order.fence);
    return packed;
  }
};

Offset<fb::HandReport> PackReport(Builder& builder,
                                  SubmissionTable& submissions,
                                  const RelayReport& report) {
  std::vector<Offset<fb::HandListedRun>> running;
  for (const ListedRun& listed : report.running) {
    const fb::HandRun run = submissions.MakeRunReference(listed.name);
    const auto checkpoint = PackText(builder, listed.checkpoint);
    running.push_back(
        fb::CreateHandListedRun(builder, &run, checkpoint, listed.percent));
  }
  std::vector<Offset<fb::HandListedEnd>> ended;
  for (const ListedEnd& listed : report.ended) {
    const fb::HandRun run = submissions.MakeRunReference(listed.name);
    const auto checkpoint = PackText(builder, listed.checkpoint);
    ended.push_back(fb::CreateHandListedEnd(
        builder, listed.number, &run, static_cast<std::uint8_t>(listed.end),
        checkpoint));
  }
  const auto packed_running =
      running.empty() ? 0 : builder.CreateVector(running);
  const auto packed_ended = ended.empty() ? 0 : builder.CreateVector(ended);
  return fb::CreateHandReport(
      builder, report.number, static_cast<std::uint8_t>(report.result),
      report.took.count(), report.clock.count(), report.incarnation,
      packed_running, packed_ended, report.may_have_more_ends);
}

/// The submissions of a message, by their index in it.
using Submissions = std::vector<SubmissionSpecPtr>;
using PackedSubmissions = flatbuffers::Vector<Offset<fb::HandSubmission>>;

Error TooLarge() {
  return Error{ErrorKind::kBadRequest,
               "a field of the message exceeds its size limit"};
}

Result<Submissions> UnpackSubmissions(const PackedSubmissions* packed) {
  Submissions submissions;
  if (packed == nullptr) {
    return submissions;
  }
  for (const fb::HandSubmission* row : *packed) {
    if (!IsShort(row->id(), limits::kMaxNameBytes) ||
        !IsShort(row->command(), limits::kMaxTextBytes)) {
      return TooLarge();
    }
    boost::intrusive_ptr<SubmissionSpec> spec(new SubmissionSpec);
    spec->id = SubmissionId{row->id()->str()};
    spec->command = TextOf(row->command());
    submissions.push_back(std::move(spec));
  }
  return submissions;
}

Result<RunName> UnpackRun(const Submissions& submissions,
                          const fb::HandRun* packed) {
  if (packed == nullptr || packed->submission() >= submissions.size()) {
    return Error{ErrorKind::kBadRequest,
                 "a run refers to a submission that is not in the message"};
  }
  return RunName{
      {submissions[packed->submission()]->id, packed->step(), packed->index()},
      Attempt{packed->run()}};
}

template <typename Order>
Order UnpackCommon(const fb::HandOrder& packed) {
  Order order;
  order.worker = HostName{packed.worker()->str()};
  order.address = packed.address()->str();
  order.fence = packed.fence();
  order.number = packed.number();
  return order;
}

Result<WorkerOrder> UnpackOrder(const Submissions& submissions,
                                const fb::HandOrder& packed) {
  const bool is_small = IsShort(packed.worker(), limits::kMaxNameBytes) &&
                        IsShort(packed.address(), limits::kMaxNameBytes) &&
                        IsShort(packed.checkpoint(), limits::kMaxTextBytes) &&
                        IsShort(packed.ticket(), limits::kMaxTextBytes);
  if (!is_small) {
    return TooLarge();
  }
  if (packed.kind() == fb::HandCall::Look) {
    auto poll = UnpackCommon<PollWorker>(packed);
    poll.acknowledged = packed.acknowledged();
    poll.lease_until = WorkerTime(packed.lease_until_ns());
    poll.wait = Duration(packed.wait_ns());
    return WorkerOrder(std::move(poll));
  }
  BOOST_OUTCOME_TRY(name, UnpackRun(submissions, packed.run()));
  if (packed.kind() == fb::HandCall::Stop) {
    auto stop = UnpackCommon<StopRun>(packed);
    stop.name = std::move(name);
    return WorkerOrder(std::move(stop));
  }
  if (packed.kind() != fb::HandCall::Start) {
    return Error{ErrorKind::kBadRequest, "the kind of an order is unknown"};
  }
  auto start = UnpackCommon<StartRun>(packed);
  start.name = std::move(name);
  start.spec = submissions[packed.run()->submission()];
  start.lease_until = WorkerTime(packed.lease_until_ns());
  start.checkpoint = TextOf(packed.checkpoint());
  start.ticket = TextOf(packed.ticket());
  return WorkerOrder(std::move(start));
}

Result<RelayReport> UnpackReport(const Submissions& submissions,
                                 const fb::HandReport& packed) {
  RelayReport report;
  report.number = packed.number();
  report.result = ToEnum(packed.result(), OrderResult::kUnknown);
  report.took = Duration(packed.took_ns());
  report.clock = WorkerTime(packed.clock_ns());
  report.incarnation = packed.incarnation();
  report.may_have_more_ends = packed.may_have_more_ends();
  if (packed.running() != nullptr) {
    for (const fb::HandListedRun* listed : *packed.running()) {
      BOOST_OUTCOME_TRY(name, UnpackRun(submissions, listed->run()));
      if (!IsShort(listed->checkpoint(), limits::kMaxTextBytes)) {
        return TooLarge();
      }
      report.running.push_back(
          {std::move(name), TextOf(listed->checkpoint()), listed->percent()});
    }
  }
  if (packed.ended() != nullptr) {
    for (const fb::HandListedEnd* listed : *packed.ended()) {
      BOOST_OUTCOME_TRY(name, UnpackRun(submissions, listed->run()));
      if (!IsShort(listed->checkpoint(), limits::kMaxTextBytes)) {
        return TooLarge();
      }
      report.ended.push_back({listed->number(), std::move(name),
                              ToEnum(listed->end(), RunEnd::kGangAlone),
                              TextOf(listed->checkpoint())});
    }
  }
  return report;
}

Result<PeerMessage> Unpack(const fb::HandOrders& packed) {
  RelayOrders message;
  message.epoch = Epoch{packed.epoch()};
  BOOST_OUTCOME_TRY(submissions, UnpackSubmissions(packed.submissions()));
  for (const fb::HandOrder* row : *packed.orders()) {
    BOOST_OUTCOME_TRY(order, UnpackOrder(submissions, *row));
    message.orders.push_back(std::move(order));
  }
  return PeerMessage(std::move(message));
}

Result<PeerMessage> Unpack(const fb::HandReports& packed) {
  RelayReports message;
  message.epoch = Epoch{packed.epoch()};
  BOOST_OUTCOME_TRY(submissions, UnpackSubmissions(packed.submissions()));
  for (const fb::HandReport* row : *packed.reports()) {
    BOOST_OUTCOME_TRY(report, UnpackReport(submissions, *row));
    message.reports.push_back(std::move(report));
  }
  return PeerMessage(std::move(message));
}

}  // namespace

PackedBody Pack(Builder& builder, const RelayOrders& message) {
  SubmissionTable submissions;
  std::vector<Offset<fb::HandOrder>> orders;
  for (const WorkerOrder& order : message.orders) {
    orders.push_back(std::visit(OrderPacker{builder, submissions}, order));
  }
  const auto packed_orders = builder.CreateVector(orders);
  const auto packed_submissions = submissions.Pack(builder);
  return {fb::PeerBody::HandOrders,
          fb::CreateHandOrders(builder, message.epoch.value, packed_submissions,
                               packed_orders)
              .Union()};
}

PackedBody Pack(Builder& builder, const RelayReports& message) {
  SubmissionTable submissions;
  std::vector<Offset<fb::HandReport>> reports;
  for (const RelayReport& report : message.reports) {
    reports.push_back(PackReport(builder, submissions, report));
  }
  const auto packed_reports = builder.CreateVector(reports);
  const auto packed_submissions = submissions.Pack(builder);
  return {fb::PeerBody::HandReports,
          fb::CreateHandReports(builder, message.epoch.value,
                                packed_submissions, packed_reports)
              .Union()};
}

Result<PeerMessage> UnpackMessage(const fb::Frame& frame) {
  switch (frame.body_type()) {
    case fb::PeerBody::HandOrders:
      return Unpack(*frame.body_as_HandOrders());
    case fb::PeerBody::HandReports:
      return Unpack(*frame.body_as_HandReports());
    default:
      return Error{ErrorKind::kBadRequest,
                   "the kind of the message is unknown"};
  }
}

}  // namespace basilspread::wire::relay_codec
